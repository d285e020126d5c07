package emulator

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// Plan configures a run. All times are virtual.
type Plan struct {
	Deployment *deployment.Deployment
	Mechanisms Mechanisms
	Seed       uint64
	Length     time.Duration
	Callers    Callers
	Users      int
	Changes    []Change
}

// Change is a scheduled change of the run.
type Change struct {
	At    time.Duration
	Apply func(*Control)
}

// Control gives a Change access to the run.
type Control struct {
	sim     *simulation
	callers *Callers
}

// SetCallers updates the configuration of the callers.
func (c *Control) SetCallers(change func(*Callers)) { change(c.callers) }

// SetSlowdown multiplies the service times of a target, or of all targets of the
// service if target is empty.
func (c *Control) SetSlowdown(service, target string, factor float64) {
	c.forEachNode(service, target, func(n *node) { n.backend.fault.slowdown = factor })
}

// SetReset sets the share of requests that end with a connection reset.
func (c *Control) SetReset(service, target string, share float64) {
	c.forEachNode(service, target, func(n *node) { n.backend.fault.reset = share })
}

// SetDead makes back ends refuse connections, or restarts them cold.
func (c *Control) SetDead(service, target string, dead bool) {
	c.forEachNode(service, target, func(n *node) {
		n.backend.fault.dead = dead
		if !dead {
			n.backend.warmAt = c.sim.clock.Now() + coldStartDuration
		}
	})
}

func (c *Control) forEachNode(service, target string, apply func(*node)) {
	for _, name := range c.sim.names {
		n := c.sim.nodes[name]
		if n.service == service && n.service != "" && (target == "" || target == name) {
			apply(n)
		}
	}
}

// CutZone disconnects a zone from the network or reconnects it.
func (c *Control) CutZone(zone string, cut bool) { c.sim.cutZones[zone] = cut }

// Restart takes a node down for a span and restarts it with empty state.
func (c *Control) Restart(name string, down time.Duration) {
	n := c.sim.nodes[name]
	if n == nil || n.service == "" {
		return
	}
	n.down = true
	c.sim.clock.After(down, func() {
		n.down = false
		n.restart()
	})
}

// Targets returns the sorted names of all target nodes.
func (c *Control) Targets() []string {
	var names []string
	for _, name := range c.sim.names {
		if c.sim.nodes[name].service != "" {
			names = append(names, name)
		}
	}
	return names
}

const (
	defaultUsers = 500
	drainTime    = 12 * time.Second // for requests in flight after the last arrival
)

// Run runs a plan and returns its result.
func Run(plan Plan) *Result {
	sim := newSimulation(plan.Deployment, plan.Mechanisms, plan.Seed)
	callers := plan.Callers
	if callers.Mix == nil {
		callers.Mix = plan.Deployment.Mix
	}
	if callers.Backoff == 0 {
		callers.Backoff = 200 * time.Millisecond
	}
	control := &Control{sim: sim, callers: &callers}
	changes := append([]Change(nil), plan.Changes...)
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].At < changes[j].At })
	for _, change := range changes {
		sim.clock.After(change.At, func() { change.Apply(control) })
	}
	users := plan.Users
	if users == 0 {
		users = defaultUsers
	}
	sim.generate(plan.Length, func() Callers { return callers }, users)
	sim.clock.Run(plan.Length + drainTime)
	return sim.result(plan.Deployment.Mix, plan.Length)
}
