package testbed

import (
	"sync"
	"time"
)

// machineClock is the clock of a machine that can be suspended. Timers still fire during a
// suspension, but the machine sends and receives nothing.
type machineClock struct {
	started time.Time

	mu             sync.Mutex
	suspendedTotal time.Duration // total of the completed suspensions
	suspendedAt    time.Time     // start of the current suspension; zero while running
}

func newMachineClock() *machineClock { return &machineClock{started: time.Now()} }

// Monotonic implements clock.Source.
func (c *machineClock) Monotonic() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootLocked() - c.suspendedTotal
}

// Boot implements clock.Source. It is frozen during a suspension because the node's
// goroutines, which keep running in the simulation, must not see time advance.
func (c *machineClock) Boot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootLocked()
}

// bootLocked is Boot with mu held.
func (c *machineClock) bootLocked() time.Duration {
	if !c.suspendedAt.IsZero() {
		return c.suspendedAt.Sub(c.started)
	}
	return time.Since(c.started)
}

func (c *machineClock) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedAt = time.Now()
}

func (c *machineClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedTotal += time.Since(c.suspendedAt)
	c.suspendedAt = time.Time{}
}

// Suspend suspends machines for the given time and takes them out of rotation meanwhile.
func (m *Mesh) Suspend(machines []*Machine, span time.Duration) {
	for _, machine := range machines {
		machine.outOfRotation.Store(true)
		machine.clock.suspend()
		m.Network.SetIsolated(machine.IP, true)
		m.Judge.Frozen(machine.IP)
	}
	m.ReportDisturbance(machines, span)
	for _, machine := range machines {
		m.Network.SetIsolated(machine.IP, false)
		machine.clock.resume()
		m.Judge.Frozen(machine.IP)
		machine.outOfRotation.Store(false)
	}
}
