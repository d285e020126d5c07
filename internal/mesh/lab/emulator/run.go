package emulator

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// Plan is what happens in a run. All times are virtual.
type Plan struct {
	Deployment *deployment.Deployment
	Mechanisms Mechanisms
	Seed       uint64
	Length     time.Duration
	Callers    Callers
	Users      int
	Changes    []Change
}

// Change is something that happens at a time.
type Change struct {
	At    time.Duration
	Apply func(*Control)
}

// Control lets a change act on the run.
type Control struct {
	world   *world
	callers *Callers
}

// SetCallers changes how the callers behave.
func (c *Control) SetCallers(change func(*Callers)) { change(c.callers) }

// SetSlowdown makes the back ends of a service slower by a factor; 1 is normal.
// An empty target is all of them.
func (c *Control) SetSlowdown(service, target string, factor float64) {
	c.each(service, target, func(n *node) { n.backend.fault.slowdown = factor })
}

// SetReset has the back ends reset a share of their requests.
func (c *Control) SetReset(service, target string, share float64) {
	c.each(service, target, func(n *node) { n.backend.fault.reset = share })
}

// SetDead has the back ends refuse connections.
func (c *Control) SetDead(service, target string, dead bool) {
	c.each(service, target, func(n *node) {
		n.backend.fault.dead = dead
		if !dead {
			n.backend.warmAt = c.world.clock.Now() + coldFor
		}
	})
}

func (c *Control) each(service, target string, apply func(*node)) {
	for _, name := range c.world.names {
		n := c.world.nodes[name]
		if n.service == service && n.service != "" && (target == "" || target == name) {
			apply(n)
		}
	}
}

// CutZone takes a zone off the network, or back.
func (c *Control) CutZone(zone string, cut bool) { c.world.cutZones[zone] = cut }

// Restart restarts a node without memory; it is down for a span.
func (c *Control) Restart(name string, down time.Duration) {
	n := c.world.nodes[name]
	if n == nil || n.service == "" {
		return
	}
	n.down = true
	c.world.clock.After(down, func() {
		n.down = false
		n.restart()
	})
}

// Targets gives the names of the nodes beside targets, sorted.
func (c *Control) Targets() []string {
	var names []string
	for _, name := range c.world.names {
		if c.world.nodes[name].service != "" {
			names = append(names, name)
		}
	}
	return names
}

const (
	defaultUsers = 500
	settle       = 12 * time.Second // after the last arrival, for what is in flight
)

// Run runs a plan to its end.
func Run(plan Plan) *Result {
	w := newWorld(plan.Deployment, plan.Mechanisms, plan.Seed)
	callers := plan.Callers
	if callers.Mix == nil {
		callers.Mix = plan.Deployment.Mix
	}
	if callers.Backoff == 0 {
		callers.Backoff = 200 * time.Millisecond
	}
	control := &Control{world: w, callers: &callers}
	changes := append([]Change(nil), plan.Changes...)
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].At < changes[j].At })
	for _, change := range changes {
		w.clock.After(change.At, func() { change.Apply(control) })
	}
	users := plan.Users
	if users == 0 {
		users = defaultUsers
	}
	w.generate(plan.Length, func() Callers { return callers }, users)
	w.clock.Run(plan.Length + settle)
	return w.result(plan.Deployment.Mix, plan.Length)
}
