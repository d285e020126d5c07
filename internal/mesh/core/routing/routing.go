// Package routing chooses the target of a call: zone first, out of a bounded
// subset, by the lower of two estimated costs, with outlier ejection and slow
// start. What calls show counts; health and load reports of the targets are not
// read, because they lag or mislead.
package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Config sets the balancer.
type Config struct {
	SubsetSize       int           // most targets of one service that a node connects to
	ZonePenalty      float64       // factor on the cost of a target in another zone
	EjectAfter       int           // failures in a row that eject a target
	EjectFor         time.Duration // first ejection; doubles each time
	EjectMax         time.Duration // longest ejection
	MaxEjectedShare  float64       // never more than this share of the subset is ejected
	DrainHold        time.Duration // how long a target that said it drains is left alone
	SlowStart        time.Duration // time until a joining target gets its full share
	InitialLatency   time.Duration // assumed until measured
	LatencyWeight    float64       // weight of a new latency sample
	SuccessWeight    float64       // weight of a new success sample
	EjectBelow       float64       // success share that ejects a target
	MinSuccessWeight int           // samples before the success share counts
}

// DefaultConfig gives the values that docs/mesh/OVERLOAD.md was measured with.
func DefaultConfig() Config {
	return Config{
		SubsetSize: 16, ZonePenalty: 1.25, EjectAfter: 4, EjectFor: time.Second, EjectMax: 30 * time.Second,
		MaxEjectedShare: 0.5, DrainHold: 3 * time.Second, SlowStart: 5 * time.Second, InitialLatency: 10 * time.Millisecond,
		LatencyWeight: 0.1, SuccessWeight: 0.1, EjectBelow: 0.4, MinSuccessWeight: 10,
	}
}

// Target is one target as the bundle and the membership name it.
type Target struct {
	Node    string
	Address string
	Zone    string
	Joining bool
	Leaving bool
}

// Random gives numbers in [0, n); the driver supplies it.
type Random interface {
	IntN(n int) int
}

type endpoint struct {
	target       Target
	inFlight     int
	latency      float64 // moving mean, ns
	success      float64 // moving share
	declines     float64 // moving share of the calls that the target declined
	samples      int
	failures     int // in a row
	ejections    int
	ejectedUntil time.Duration
	joinedAt     time.Duration
	warming      bool
	view         admission.View
}

// Balancer routes the calls of one node to one service. It is not safe for
// concurrent use.
type Balancer struct {
	config    Config
	zone      string
	node      string
	random    Random
	endpoints map[string]*endpoint
	subset    []*endpoint // sorted by node
	all       []string    // active nodes of the service, sorted
}

// New makes a balancer for the node of that name and zone.
func New(config Config, node, zone string, random Random) *Balancer {
	return &Balancer{config: config, node: node, zone: zone, random: random, endpoints: map[string]*endpoint{}}
}

// Update sets the targets. Knowledge about those that stay is kept. A target
// that appears after the first update starts slowly.
func (b *Balancer) Update(now time.Duration, targets []Target) {
	first := len(b.endpoints) == 0
	wanted := map[string]bool{}
	b.all = b.all[:0]
	for _, target := range targets {
		wanted[target.Node] = true
		known := b.endpoints[target.Node]
		if known == nil {
			known = &endpoint{latency: float64(b.config.InitialLatency), success: 1, joinedAt: now, warming: !first || target.Joining}
			b.endpoints[target.Node] = known
		}
		if target.Joining && !known.target.Joining {
			known.joinedAt, known.warming = now, true
		}
		known.target = target
		if !target.Leaving {
			b.all = append(b.all, target.Node)
		}
	}
	for node := range b.endpoints {
		if !wanted[node] {
			delete(b.endpoints, node)
		}
	}
	sort.Strings(b.all)
	b.chooseSubset()
}

// chooseSubset takes the targets of the own zone first and spreads the nodes of
// a zone over the others by rendezvous hashing.
func (b *Balancer) chooseSubset() {
	b.subset = b.subset[:0]
	for _, candidate := range b.endpoints {
		if !candidate.target.Leaving {
			b.subset = append(b.subset, candidate)
		}
	}
	sort.Slice(b.subset, func(i, j int) bool {
		left, right := b.subset[i], b.subset[j]
		if near := left.target.Zone == b.zone; near != (right.target.Zone == b.zone) {
			return near
		}
		leftWeight, rightWeight := rendezvous(b.node, left.target.Node), rendezvous(b.node, right.target.Node)
		if leftWeight != rightWeight {
			return leftWeight > rightWeight
		}
		return left.target.Node < right.target.Node
	})
	if len(b.subset) > b.config.SubsetSize {
		b.subset = b.spread()
	}
	sort.Slice(b.subset, func(i, j int) bool { return b.subset[i].target.Node < b.subset[j].target.Node })
}

// spread keeps a quarter of the subset for other zones, so that the loss of the
// own zone does not leave the node without targets.
func (b *Balancer) spread() []*endpoint {
	foreign := max(b.config.SubsetSize/4, 1)
	var near, far []*endpoint
	for _, candidate := range b.subset {
		if candidate.target.Zone == b.zone {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	nearCount := min(len(near), b.config.SubsetSize-min(foreign, len(far)))
	farCount := min(len(far), b.config.SubsetSize-nearCount)
	return append(append([]*endpoint(nil), near[:nearCount]...), far[:farCount]...)
}

func rendezvous(left, right string) uint64 {
	return xxhash.Sum64String(left + "\x00" + right)
}

// Choice is a chosen target with the numbers that it was chosen on.
type Choice struct {
	Target   Target
	Cost     float64 // expected wait, ms
	InFlight int
	Latency  time.Duration
	Rivals   int
}

// Request is what routing needs to know of a call.
type Request struct {
	Rank    admission.Rank
	Key     string          // key of an at-most-once request: fixes the order of targets
	Exclude map[string]bool // nodes that were tried already
	Only    string          // node that the call has to go to, or empty
}

// Pick chooses a target, or says why there is none: no target at all, or the
// cursors of all that are left are below the rank.
func (b *Balancer) Pick(now time.Duration, request Request) (Choice, outcome.Reason) {
	if request.Only != "" {
		return b.pickOnly(request.Only)
	}
	if request.Key != "" {
		return b.pickByKey(now, request)
	}
	candidates, shed := b.candidates(now, request)
	if len(candidates) == 0 {
		if shed {
			return Choice{}, outcome.ReasonOverloadCursor
		}
		return Choice{}, outcome.ReasonNoTarget
	}
	best := candidates[b.random.IntN(len(candidates))]
	other := candidates[b.random.IntN(len(candidates))]
	if b.cost(now, other) < b.cost(now, best) {
		best = other
	}
	return b.choice(now, best, len(candidates)), outcome.ReasonNone
}

func (b *Balancer) choice(now time.Duration, chosen *endpoint, rivals int) Choice {
	return Choice{
		Target: chosen.target, Cost: b.cost(now, chosen) / float64(time.Millisecond), InFlight: chosen.inFlight,
		Latency: time.Duration(chosen.latency), Rivals: rivals,
	}
}

func (b *Balancer) pickOnly(node string) (Choice, outcome.Reason) {
	only := b.endpoints[node]
	if only == nil {
		return Choice{}, outcome.ReasonNoTarget
	}
	return Choice{Target: only.target, InFlight: only.inFlight, Latency: time.Duration(only.latency), Rivals: 1}, outcome.ReasonNone
}

// pickByKey takes the first target in the key's own order, so that the same key
// sent again meets the executor that has its answer.
func (b *Balancer) pickByKey(now time.Duration, request Request) (Choice, outcome.Reason) {
	var best *endpoint
	var bestWeight uint64
	shed := false
	for _, node := range b.all {
		candidate := b.endpoints[node]
		if request.Exclude[node] || now < candidate.ejectedUntil {
			continue
		}
		if weight := rendezvous(request.Key, node); best == nil || weight > bestWeight {
			best, bestWeight = candidate, weight
		}
	}
	if best != nil && !best.view.Admit(now, request.Rank) {
		best, shed = nil, true
	}
	switch {
	case best != nil:
		return b.choice(now, best, len(b.all)), outcome.ReasonNone
	case shed:
		return Choice{}, outcome.ReasonOverloadCursor
	default:
		return Choice{}, outcome.ReasonNoTarget
	}
}

// candidates gives the targets of the subset that may take the call. Ejected
// ones are used only when nothing else is left.
func (b *Balancer) candidates(now time.Duration, request Request) (candidates []*endpoint, shed bool) {
	var ejected []*endpoint
	for _, candidate := range b.subset {
		if request.Exclude[candidate.target.Node] {
			continue
		}
		if !candidate.view.Admit(now, request.Rank) {
			shed = true
			continue
		}
		if now < candidate.ejectedUntil {
			ejected = append(ejected, candidate)
			continue
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 && !shed {
		return ejected, false
	}
	return candidates, shed
}

// declineCost is what a declined call costs, in waits at the target: it takes a retry credit, of
// which a request has few, or fails. Set so that one of three targets that declines half of its
// calls gets less than half of an even share.
const declineCost = 16

// cost estimates the wait at a target: its latency times what this node already
// has there, dearer in another zone and while it warms up. Calls that it declines take no time
// there, so that it has few in flight; without its declines it would look free.
func (b *Balancer) cost(now time.Duration, candidate *endpoint) float64 {
	cost := candidate.latency * float64(candidate.inFlight+1) / max(candidate.success, 0.05)
	cost *= 1 + declineCost*candidate.declines
	if candidate.target.Zone != b.zone {
		cost *= b.config.ZonePenalty
	}
	if candidate.warming {
		age := now - candidate.joinedAt
		if age >= b.config.SlowStart {
			candidate.warming = false
			return cost
		}
		cost /= max(float64(age)/float64(b.config.SlowStart), 0.05)
	}
	return cost
}

// Started counts a call that goes to the node.
func (b *Balancer) Started(node string) {
	if known := b.endpoints[node]; known != nil {
		known.inFlight++
	}
}

// Result is what an attempt showed about a target.
type Result struct {
	Node      string
	Latency   time.Duration // 0: tells nothing
	Failed    bool          // unreachable, reset, timed out, truncated
	Draining  bool          // refused because it is leaving
	Declined  bool          // the target did not run it, though its node had let it through
	Neutral   bool          // cancelled or refused by choice: neither success nor failure
	HasCursor bool
	Cursor    admission.Rank
}

// Finished takes the end of an attempt and tells whether it ejected the target.
func (b *Balancer) Finished(now time.Duration, result Result) (ejected bool) {
	known := b.endpoints[result.Node]
	if known == nil {
		return false
	}
	known.inFlight--
	if result.HasCursor {
		known.view.Observe(now, result.Cursor)
	}
	if result.Draining {
		known.ejectedUntil = now + b.config.DrainHold
		known.joinedAt, known.warming = known.ejectedUntil, true
		return true
	}
	if result.Neutral {
		return false
	}
	if result.Declined {
		known.declines += b.config.SuccessWeight * (1 - known.declines)
		return false
	}
	known.declines *= 1 - b.config.SuccessWeight
	known.samples++
	if result.Failed {
		known.success *= 1 - b.config.SuccessWeight
		known.failures++
		return b.ejectIfOutlier(now, known)
	}
	known.success += b.config.SuccessWeight * (1 - known.success)
	known.failures = 0
	if known.success > 0.95 {
		known.ejections = 0
	}
	if result.Latency > 0 {
		known.latency += b.config.LatencyWeight * (float64(result.Latency) - known.latency)
	}
	return false
}

func (b *Balancer) ejectIfOutlier(now time.Duration, known *endpoint) bool {
	unhealthy := known.failures >= b.config.EjectAfter ||
		(known.samples >= b.config.MinSuccessWeight && known.success < b.config.EjectBelow)
	if !unhealthy || now < known.ejectedUntil {
		return false
	}
	ejected := 1
	for _, other := range b.endpoints {
		if now < other.ejectedUntil {
			ejected++
		}
	}
	if float64(ejected) > max(float64(len(b.endpoints))*b.config.MaxEjectedShare, 1) {
		return false
	}
	known.ejectedUntil = now + min(b.config.EjectFor<<min(known.ejections, 10), b.config.EjectMax)
	known.ejections++
	known.failures = 0
	known.joinedAt, known.warming = known.ejectedUntil, true
	return true
}

// State describes one target for operators.
type State struct {
	Target   Target
	State    string
	InFlight int
	Success  float64
	Latency  time.Duration
	Cursor   admission.Rank
	Known    bool // cursor is known
}

// States gives the targets of the subset, sorted by node.
func (b *Balancer) States(now time.Duration) []State {
	states := make([]State, 0, len(b.endpoints))
	for _, known := range b.endpoints {
		state := State{Target: known.target, State: "active", InFlight: known.inFlight, Success: known.success, Latency: time.Duration(known.latency)}
		state.Cursor, state.Known = known.view.Cursor(now)
		switch {
		case known.target.Leaving:
			state.State = "leaving"
		case now < known.ejectedUntil:
			state.State = "ejected"
		case known.warming:
			state.State = "joining"
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Target.Node < states[j].Target.Node })
	return states
}
