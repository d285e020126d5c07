package emulator

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/gate"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/retry"
	"github.com/landingmast/landingmast/internal/mesh/core/routing"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/virtualtime"
)

// world is one emulated deployment.
type world struct {
	clock      virtualtime.Clock
	random     *rand.Rand
	deployment *deployment.Deployment
	bundle     *bundle.Bundle
	mechanisms Mechanisms
	nodes      map[string]*node
	names      []string // of nodes, sorted
	entries    []*node
	cutZones   map[string]bool
	nextID     uint64
	usefulWork map[*userRequest]time.Duration
	stats      Stats
}

// node is one landingmastd: routes out, and the gate of the target beside it.
type node struct {
	world   *world
	name    string
	zone    string
	service string
	routes  map[string]*routing.Route
	turn    map[string]int // round-robin of the baseline
	gate    *gate.Gate
	backend *backend
	waiting map[uint64]*ingress
	active  map[uint64]*ingress
	ticking bool
	down    bool
}

// call is a call at the hop that serves it: what its deeper calls inherit.
type call struct {
	node       *node
	user       *userRequest
	class      string
	level      int
	rank       admission.Rank
	deadline   time.Duration
	ledger     *retry.Ledger
	depth      int
	job        *job
	children   []*outboundCall
	abandoned  bool
	own        limiter.OwnTime
	pathCursor int
}

func newWorld(d *deployment.Deployment, mechanisms Mechanisms, seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), deployment: d, mechanisms: mechanisms, nodes: map[string]*node{}, cutZones: map[string]bool{},
		usefulWork: map[*userRequest]time.Duration{},
	}
	port := 0
	w.bundle = d.Bundle(1, func(string) string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	})
	for _, entry := range w.bundle.Entries {
		w.entries = append(w.entries, w.addNode(entry, nil, 0))
	}
	for index := range w.bundle.Services {
		service := d.Service(w.bundle.Services[index].Name)
		for target, described := range w.bundle.Services[index].Targets {
			w.addNode(described, service, target)
		}
	}
	for name := range w.nodes {
		w.names = append(w.names, name)
	}
	sort.Strings(w.names)
	for _, name := range w.names {
		w.nodes[name].connect()
	}
	return w
}

func (w *world) addNode(described bundle.Node, service *deployment.Service, target int) *node {
	made := &node{
		world: w, name: described.Name, zone: described.Zone, routes: map[string]*routing.Route{}, turn: map[string]int{},
		waiting: map[uint64]*ingress{}, active: map[uint64]*ingress{},
	}
	if service != nil {
		made.service = service.Name
		made.backend = &backend{world: w, service: service, slots: service.Slots(target)}
		made.gate = w.newGate()
	}
	w.nodes[described.Name] = made
	return made
}

func (w *world) newGate() *gate.Gate {
	config := gate.DefaultConfig(len(w.bundle.Levels))
	config.Open = !w.mechanisms.Cursor
	if !w.mechanisms.Limit {
		config.Limiter.InitialLimit, config.Limiter.MinLimit, config.Limiter.MaxLimit = connectionMax, connectionMax, connectionMax
	}
	if !w.mechanisms.Preempt {
		config.Limiter.PreemptAfter = 0
	}
	return gate.New(config)
}

// connect gives a node its routes, as a bundle does.
func (n *node) connect() {
	config := routing.DefaultConfig()
	if !n.world.mechanisms.Outlier {
		config.EjectAfter, config.EjectBelow = 1<<30, -1
	}
	for _, service := range n.world.bundle.Services {
		balancer := routing.New(config, n.name, n.zone, n.world.random)
		n.routes[service.Name] = routing.NewRoute(balancer, !n.world.mechanisms.Feedback)
	}
	n.refresh()
}

// refresh tells a node's routes of the targets.
func (n *node) refresh() {
	for _, service := range n.world.bundle.Services {
		targets := make([]routing.Target, 0, len(service.Targets))
		for _, target := range service.Targets {
			targets = append(targets, routing.Target{Node: target.Name, Address: target.Address, Zone: target.Zone, Leaving: target.State == bundle.Leaving})
		}
		n.routes[service.Name].Balancer.Update(n.world.clock.Now(), targets)
	}
}

// restart is a node that ends at once and starts again without memory.
func (n *node) restart() {
	n.gate = n.world.newGate()
	for _, service := range n.world.bundle.Services {
		delete(n.routes, service.Name)
	}
	n.connect()
}

// delay is the time that a message takes from node to node.
func (w *world) delay(from, to *node) time.Duration {
	const loopback = 30 * time.Microsecond
	if from.zone == to.zone {
		return loopback
	}
	return w.deployment.ZoneDelay
}

// reachable tells whether a message gets from node to node.
func (w *world) reachable(from, to *node) bool {
	return !to.down && !w.cutZones[to.zone] && !w.cutZones[from.zone]
}

// spend counts the service time of a request.
func (w *world) spend(j *job) {
	w.stats.Work += j.work
	w.usefulWork[j.call.user] += j.work
}

// ingress is a call that has come to the node beside its target.
type ingress struct {
	id     uint64
	call   *call
	route  *deployment.Route
	finish func(result hopResult)
	over   bool
}

// hopResult is what the hop above learns.
type hopResult struct {
	outcome    outcome.Outcome
	reason     outcome.Reason
	ok         bool // answered with success
	cursor     int
	pathCursor int
	unspent    int
}

// arrive takes a call in at the node beside its target.
func (n *node) arrive(in *ingress, repeatable bool) {
	w := n.world
	w.nextID++
	in.id = w.nextID
	if w.mechanisms.isBaseline() {
		n.active[in.id] = in
		n.handOver(in)
		return
	}
	n.waiting[in.id] = in
	call := limiter.Call{ID: in.id, Level: in.call.level, Class: in.call.class, Deadline: in.call.deadline, Preemptible: repeatable}
	n.apply(n.gate.Arrive(w.clock.Now(), call, in.call.rank))
}

func (n *node) apply(actions []limiter.Action) {
	for _, action := range actions {
		switch action.Kind {
		case limiter.Admit:
			if in := n.waiting[action.ID]; in != nil {
				delete(n.waiting, action.ID)
				n.active[action.ID] = in
				n.handOver(in)
			}
		case limiter.Refuse:
			if in := n.waiting[action.ID]; in != nil {
				delete(n.waiting, action.ID)
				n.world.refusedAt(n, in, action)
				in.end(n.result(in, outcome.NotRun, action.Reason, false))
			}
		case limiter.Preempt:
			if in := n.active[action.ID]; in != nil {
				n.world.stats.Preempted++
				in.end(n.result(in, outcome.Unknown, outcome.ReasonPreempted, false))
				in.call.cancel()
			}
		}
	}
	if n.gate.Queued() > 0 && !n.ticking {
		n.ticking = true
		n.world.clock.After(gateTick, func() {
			n.ticking = false
			n.apply(n.gate.Tick(n.world.clock.Now()))
		})
	}
}

const gateTick = 5 * time.Millisecond

func (i *ingress) end(result hopResult) {
	if !i.over {
		i.over = true
		i.finish(result)
	}
}

func (n *node) result(in *ingress, how outcome.Outcome, reason outcome.Reason, ok bool) hopResult {
	return hopResult{
		outcome: how, reason: reason, ok: ok, cursor: int(n.gate.Cursor()), pathCursor: in.call.pathCursor, unspent: in.call.ledger.Close(),
	}
}

// handOver sends the call to the target.
func (n *node) handOver(in *ingress) {
	started := n.world.clock.Now()
	in.call.job = &job{call: in.call, route: in.route, finish: func(result backendResult) {
		own := in.call.own.Since(started, n.world.clock.Now())
		delete(n.active, in.id)
		n.world.stats.Received++
		if !n.world.mechanisms.isBaseline() {
			defer func() {
				n.apply(n.gate.Finish(n.world.clock.Now(), in.id, own, result == backendAnswered, result == backendShed))
			}()
		}
		in.end(n.judge(in, result))
	}}
	n.backend.receive(in.call.job)
}

func (n *node) judge(in *ingress, result backendResult) hopResult {
	switch result {
	case backendAnswered:
		return n.result(in, outcome.Answered, outcome.ReasonNone, true)
	case backendFailed:
		return n.result(in, outcome.Answered, outcome.ReasonNone, false)
	case backendShed:
		return n.result(in, outcome.NotRun, outcome.ReasonTargetShed, false)
	case backendRefused:
		return n.result(in, outcome.NotRun, outcome.ReasonUnreachable, false)
	default:
		return n.result(in, outcome.Unknown, outcome.ReasonReset, false)
	}
}

// withdraw takes a call back that nobody waits for.
func (n *node) withdraw(in *ingress) {
	if n.waiting[in.id] != nil {
		n.gate.Withdraw(in.id)
		delete(n.waiting, in.id)
		in.over = true
		return
	}
	in.call.cancel()
}

// cancel stops the work of a call and of everything below it.
func (c *call) cancel() {
	if c.abandoned {
		return
	}
	c.abandoned = true
	for _, child := range c.children {
		child.abandon()
	}
	if c.job != nil {
		c.node.backend.cancel(c.job)
	}
}

// lower keeps the lowest cursor met below; -1 is none.
func (c *call) lower(cursor int) {
	if cursor >= 0 && (c.pathCursor < 0 || cursor < c.pathCursor) {
		c.pathCursor = cursor
	}
}
