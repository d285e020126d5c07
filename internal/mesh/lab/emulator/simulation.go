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

// simulation is the state of an emulated deployment.
type simulation struct {
	clock         virtualtime.Clock
	random        *rand.Rand
	deployment    *deployment.Deployment
	bundle        *bundle.Bundle
	mechanisms    Mechanisms
	nodes         map[string]*node
	names         []string // of nodes, sorted
	entries       []*node
	cutZones      map[string]bool
	nextID        uint64
	workByRequest map[*userRequest]time.Duration
	stats         Stats
}

// node models a landingmastd: its outbound routes and the gate of its target.
type node struct {
	sim        *simulation
	name       string
	zone       string
	service    string
	routes     map[string]*routing.Route
	roundRobin map[string]int // next target by service, for the baseline
	gate       *gate.Gate
	backend    *backend
	waiting    map[uint64]*ingress
	active     map[uint64]*ingress
	ticking    bool
	down       bool
}

// call is a call at the node that serves it. Downstream calls inherit its values.
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
	own        limiter.SelfTime
	pathCursor int
}

func newSimulation(d *deployment.Deployment, mechanisms Mechanisms, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), deployment: d, mechanisms: mechanisms, nodes: map[string]*node{}, cutZones: map[string]bool{},
		workByRequest: map[*userRequest]time.Duration{},
	}
	port := 0
	s.bundle = d.Bundle(1, func(string) string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	})
	for _, entry := range s.bundle.Entries {
		s.entries = append(s.entries, s.addNode(entry, nil, 0))
	}
	for index := range s.bundle.Services {
		service := d.Service(s.bundle.Services[index].Name)
		for target, definition := range s.bundle.Services[index].Targets {
			s.addNode(definition, service, target)
		}
	}
	for name := range s.nodes {
		s.names = append(s.names, name)
	}
	sort.Strings(s.names)
	for _, name := range s.names {
		s.nodes[name].connect()
	}
	return s
}

func (s *simulation) addNode(definition bundle.Node, service *deployment.Service, target int) *node {
	added := &node{
		sim: s, name: definition.Name, zone: definition.Zone, routes: map[string]*routing.Route{}, roundRobin: map[string]int{},
		waiting: map[uint64]*ingress{}, active: map[uint64]*ingress{},
	}
	if service != nil {
		added.service = service.Name
		added.backend = &backend{sim: s, service: service, slots: service.Slots(target)}
		added.gate = s.newGate()
	}
	s.nodes[definition.Name] = added
	return added
}

func (s *simulation) newGate() *gate.Gate {
	config := gate.DefaultConfig(len(s.bundle.Levels))
	config.DisableAdmission = !s.mechanisms.Cursor
	if !s.mechanisms.Limit {
		config.Limiter.InitialLimit, config.Limiter.MinLimit, config.Limiter.MaxLimit = maxConnections, maxConnections, maxConnections
	}
	if !s.mechanisms.Preempt {
		config.Limiter.PreemptAfter = 0
	}
	return gate.New(config)
}

// connect creates the routes of a node from the bundle.
func (n *node) connect() {
	config := routing.DefaultConfig()
	if !n.sim.mechanisms.Outlier {
		config.ConsecutiveFailures, config.MinSuccessRate = 1<<30, -1
	}
	for _, service := range n.sim.bundle.Services {
		balancer := routing.New(config, n.name, n.zone, n.sim.random)
		n.routes[service.Name] = routing.NewRoute(balancer, !n.sim.mechanisms.Feedback)
	}
	n.updateTargets()
}

// updateTargets passes the targets of the bundle to the balancers.
func (n *node) updateTargets() {
	for _, service := range n.sim.bundle.Services {
		targets := make([]routing.Target, 0, len(service.Targets))
		for _, target := range service.Targets {
			targets = append(targets, routing.Target{Node: target.Name, Address: target.Address, Zone: target.Zone, Leaving: target.State == bundle.Leaving})
		}
		n.routes[service.Name].Balancer.Update(n.sim.clock.Now(), targets)
	}
}

// restart resets a node to its initial state.
func (n *node) restart() {
	n.gate = n.sim.newGate()
	for _, service := range n.sim.bundle.Services {
		delete(n.routes, service.Name)
	}
	n.connect()
}

// delay returns the network latency between two nodes.
func (s *simulation) delay(from, to *node) time.Duration {
	const loopback = 30 * time.Microsecond
	if from.zone == to.zone {
		return loopback
	}
	return s.deployment.ZoneDelay
}

// reachable reports whether messages between two nodes are delivered.
func (s *simulation) reachable(from, to *node) bool {
	return !to.down && !s.cutZones[to.zone] && !s.cutZones[from.zone]
}

// recordWork adds the service time of a request to the statistics.
func (s *simulation) recordWork(j *job) {
	s.stats.Work += j.work
	s.workByRequest[j.call.user] += j.work
}

// ingress is a call received by the node of its target.
type ingress struct {
	id     uint64
	call   *call
	route  *deployment.Route
	finish func(result hopResult)
	ended  bool
}

// hopResult is the result of a call as reported to the upstream hop.
type hopResult struct {
	outcome    outcome.Outcome
	reason     outcome.Reason
	ok         bool // answered with success
	cursor     int
	pathCursor int
	unspent    int
}

// arrive passes a received call to the gate, or straight to the target in the
// baseline.
func (n *node) arrive(in *ingress, repeatable bool) {
	sim := n.sim
	sim.nextID++
	in.id = sim.nextID
	if sim.mechanisms.isBaseline() {
		n.active[in.id] = in
		n.dispatch(in)
		return
	}
	n.waiting[in.id] = in
	call := limiter.Call{ID: in.id, Level: in.call.level, Class: in.call.class, Deadline: in.call.deadline, Preemptible: repeatable}
	n.apply(n.gate.Arrive(sim.clock.Now(), call, in.call.rank))
}

func (n *node) apply(actions []limiter.Action) {
	for _, action := range actions {
		switch action.Kind {
		case limiter.Admit:
			if in := n.waiting[action.ID]; in != nil {
				delete(n.waiting, action.ID)
				n.active[action.ID] = in
				n.dispatch(in)
			}
		case limiter.Refuse:
			if in := n.waiting[action.ID]; in != nil {
				delete(n.waiting, action.ID)
				n.sim.recordGateRefusal(n, in, action)
				in.end(n.result(in, outcome.NotRun, action.Reason, false))
			}
		case limiter.Preempt:
			if in := n.active[action.ID]; in != nil {
				n.sim.stats.Preempted++
				in.end(n.result(in, outcome.Unknown, outcome.ReasonPreempted, false))
				in.call.cancel()
			}
		}
	}
	if n.gate.Queued() > 0 && !n.ticking {
		n.ticking = true
		n.sim.clock.After(gateTickInterval, func() {
			n.ticking = false
			n.apply(n.gate.Tick(n.sim.clock.Now()))
		})
	}
}

const gateTickInterval = 5 * time.Millisecond

func (i *ingress) end(result hopResult) {
	if !i.ended {
		i.ended = true
		i.finish(result)
	}
}

func (n *node) result(in *ingress, how outcome.Outcome, reason outcome.Reason, ok bool) hopResult {
	return hopResult{
		outcome: how, reason: reason, ok: ok, cursor: int(n.gate.Cursor()), pathCursor: in.call.pathCursor, unspent: in.call.ledger.Close(),
	}
}

// dispatch sends an admitted call to the target.
func (n *node) dispatch(in *ingress) {
	started := n.sim.clock.Now()
	in.call.job = &job{call: in.call, route: in.route, finish: func(result backendResult) {
		own := in.call.own.Elapsed(started, n.sim.clock.Now())
		delete(n.active, in.id)
		n.sim.stats.Received++
		if !n.sim.mechanisms.isBaseline() {
			defer func() {
				n.apply(n.gate.Finish(n.sim.clock.Now(), in.id, own, result == backendAnswered, result == backendShed))
			}()
		}
		in.end(n.toHopResult(in, result))
	}}
	n.backend.receive(in.call.job)
}

func (n *node) toHopResult(in *ingress, result backendResult) hopResult {
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

// withdraw removes a queued call or cancels a running one.
func (n *node) withdraw(in *ingress) {
	if n.waiting[in.id] != nil {
		n.gate.Cancel(in.id)
		delete(n.waiting, in.id)
		in.ended = true
		return
	}
	in.call.cancel()
}

// cancel stops a call and all its downstream calls.
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

// lowerPathCursor records the lowest cursor of the downstream path; -1 means none.
func (c *call) lowerPathCursor(cursor int) {
	if cursor >= 0 && (c.pathCursor < 0 || cursor < c.pathCursor) {
		c.pathCursor = cursor
	}
}
