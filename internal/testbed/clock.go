package testbed

import (
	"sync"
	"time"
)

// machineClock is the clock of a machine that may be suspended. The timers of its processes
// go on in virtual time; a suspended machine says and hears nothing.
type machineClock struct {
	started time.Time

	mutex sync.Mutex
	slept time.Duration
	since time.Time // of the suspension; zero: it runs
}

func newMachineClock() *machineClock { return &machineClock{started: time.Now()} }

// Steady implements clock.Source.
func (c *machineClock) Steady() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bootLocked() - c.slept
}

// Boot implements clock.Source. What runs on a suspended machine in the mesh, and would not,
// sees it stand still.
func (c *machineClock) Boot() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bootLocked()
}

func (c *machineClock) bootLocked() time.Duration {
	if !c.since.IsZero() {
		return c.since.Sub(c.started)
	}
	return time.Since(c.started)
}

func (c *machineClock) suspend() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.since = time.Now()
}

func (c *machineClock) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slept += time.Since(c.since)
	c.since = time.Time{}
}

// Suspend suspends machines for some time. Their clients get no new work meanwhile.
func (m *Mesh) Suspend(machines []*Machine, span time.Duration) {
	for _, machine := range machines {
		machine.out.Store(true)
		machine.clock.suspend()
		m.Network.Dark(machine.IP, true)
	}
	m.HarmedFor(machines, span)
	for _, machine := range machines {
		m.Network.Dark(machine.IP, false)
		machine.clock.wake()
		machine.out.Store(false)
	}
}
