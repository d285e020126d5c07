package testbed

import (
	"sync"
	"time"
)

// machineClock is the clock of a machine that may be suspended. Timers go on during a
// suspension, but a suspended machine sends and receives nothing.
type machineClock struct {
	started time.Time

	mu    sync.Mutex
	slept time.Duration // in all suspensions that are over
	since time.Time     // begin of the suspension; zero: the machine runs
}

func newMachineClock() *machineClock { return &machineClock{started: time.Now()} }

// Steady implements clock.Source.
func (c *machineClock) Steady() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootLocked() - c.slept
}

// Boot implements clock.Source. It stands still during a suspension, for goroutines of the node
// that would not run then.
func (c *machineClock) Boot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootLocked()
}

// bootLocked returns what Boot does; mu is held.
func (c *machineClock) bootLocked() time.Duration {
	if !c.since.IsZero() {
		return c.since.Sub(c.started)
	}
	return time.Since(c.started)
}

func (c *machineClock) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

func (c *machineClock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slept += time.Since(c.since)
	c.since = time.Time{}
}

// Suspend suspends machines for a span. Their clients get no new work meanwhile.
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
