// Package routing implements client-side load balancing: zone-aware subsetting,
// power of two choices over an estimated cost, outlier ejection and slow start.
// It relies on the results of calls only, because health and load reports of
// targets can be late or wrong.
package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Config holds the parameters of a Balancer.
type Config struct {
	SubsetSize          int           // maximum number of targets of a service that a node connects to
	ZonePenalty         float64       // cost factor for targets in other zones
	ConsecutiveFailures int           // consecutive failures that eject a target
	BaseEjectionTime    time.Duration // duration of the first ejection; doubles with each further one
	MaxEjectionTime     time.Duration // maximum duration of an ejection
	MaxEjectionShare    float64       // maximum share of targets ejected at the same time
	DrainBackoff        time.Duration // time without calls for a target that reported that it is draining
	SlowStart           time.Duration // time in which a new or returning target ramps up to its full share
	InitialLatency      time.Duration // estimate for targets without samples
	LatencyWeight       float64       // weight of a sample in the moving mean of the latency
	SuccessWeight       float64       // weight of a sample in the moving success and decline rates
	MinSuccessRate      float64       // success rate below which a target is ejected
	MinSuccessSamples   int           // samples required before MinSuccessRate applies
}

// DefaultConfig returns the default parameters, which the results in
// docs/mesh/OVERLOAD.md apply to.
func DefaultConfig() Config {
	return Config{
		SubsetSize: 16, ZonePenalty: 1.25, ConsecutiveFailures: 4, BaseEjectionTime: time.Second, MaxEjectionTime: 30 * time.Second,
		MaxEjectionShare: 0.5, DrainBackoff: 3 * time.Second, SlowStart: 5 * time.Second, InitialLatency: 10 * time.Millisecond,
		LatencyWeight: 0.1, SuccessWeight: 0.1, MinSuccessRate: 0.4, MinSuccessSamples: 10,
	}
}

// Target is a target of a service according to the bundle and the membership.
type Target struct {
	Node    string
	Address string
	Zone    string
	Joining bool
	Leaving bool
}

// Random is a source of random numbers. IntN returns a number in [0, n).
type Random interface {
	IntN(n int) int
}

// endpoint holds the statistics of one target.
type endpoint struct {
	target              Target
	inFlight            int
	latency             float64 // moving mean in nanoseconds
	successRate         float64 // moving mean
	declineRate         float64 // moving mean
	samples             int
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
	slowStartAt         time.Duration
	inSlowStart         bool
	view                admission.View
}

// Balancer balances the calls of one node over the targets of one service. It is
// not safe for concurrent use.
type Balancer struct {
	config    Config
	zone      string
	node      string
	random    Random
	endpoints map[string]*endpoint
	subset    []*endpoint // sorted by node name
	nodes     []string    // nodes of the service that are not leaving, sorted
}

// New returns a balancer for calls from the given node and zone.
func New(config Config, node, zone string, random Random) *Balancer {
	return &Balancer{config: config, node: node, zone: zone, random: random, endpoints: map[string]*endpoint{}}
}

// Update replaces the targets and keeps the statistics of those that remain.
// Targets added after the first update begin with a slow start.
func (b *Balancer) Update(now time.Duration, targets []Target) {
	first := len(b.endpoints) == 0
	wanted := map[string]bool{}
	b.nodes = b.nodes[:0]
	for _, target := range targets {
		wanted[target.Node] = true
		ep := b.endpoints[target.Node]
		if ep == nil {
			ep = &endpoint{latency: float64(b.config.InitialLatency), successRate: 1, slowStartAt: now, inSlowStart: !first || target.Joining}
			b.endpoints[target.Node] = ep
		}
		if target.Joining && !ep.target.Joining {
			ep.slowStartAt, ep.inSlowStart = now, true
		}
		ep.target = target
		if !target.Leaving {
			b.nodes = append(b.nodes, target.Node)
		}
	}
	for node := range b.endpoints {
		if !wanted[node] {
			delete(b.endpoints, node)
		}
	}
	sort.Strings(b.nodes)
	b.chooseSubset()
}

// chooseSubset orders the targets by zone and then by rendezvous hash, so that the
// nodes of a zone use different subsets, and cuts them to the subset size.
func (b *Balancer) chooseSubset() {
	b.subset = b.subset[:0]
	for _, ep := range b.endpoints {
		if !ep.target.Leaving {
			b.subset = append(b.subset, ep)
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
		b.subset = b.limitSubset()
	}
	sort.Slice(b.subset, func(i, j int) bool { return b.subset[i].target.Node < b.subset[j].target.Node })
}

// limitSubset reserves a quarter of the subset for other zones, so that targets
// remain when the local zone fails.
func (b *Balancer) limitSubset() []*endpoint {
	reserved := max(b.config.SubsetSize/4, 1)
	var local, remote []*endpoint
	for _, ep := range b.subset {
		if ep.target.Zone == b.zone {
			local = append(local, ep)
		} else {
			remote = append(remote, ep)
		}
	}
	localCount := min(len(local), b.config.SubsetSize-min(reserved, len(remote)))
	remoteCount := min(len(remote), b.config.SubsetSize-localCount)
	return append(append([]*endpoint(nil), local[:localCount]...), remote[:remoteCount]...)
}

func rendezvous(left, right string) uint64 {
	return xxhash.Sum64String(left + "\x00" + right)
}

// Choice is a selected target with the values that led to its selection.
type Choice struct {
	Target     Target
	Cost       float64 // estimated wait in milliseconds
	InFlight   int
	Latency    time.Duration
	Candidates int
}

// Request holds the properties of a call that affect routing.
type Request struct {
	Rank    admission.Rank
	Key     string          // idempotency key of an at-most-once request; selects the target by hash
	Exclude map[string]bool // nodes already tried
	Node    string          // the only node allowed; empty for any
}

// Pick selects a target. Without one it returns ReasonOverloadCursor if a target
// was excluded by its cursor, and ReasonNoTarget otherwise.
func (b *Balancer) Pick(now time.Duration, request Request) (Choice, outcome.Reason) {
	if request.Node != "" {
		return b.pickOnly(request.Node)
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
	return b.newChoice(now, best, len(candidates)), outcome.ReasonNone
}

func (b *Balancer) newChoice(now time.Duration, ep *endpoint, candidates int) Choice {
	return Choice{
		Target: ep.target, Cost: b.cost(now, ep) / float64(time.Millisecond), InFlight: ep.inFlight,
		Latency: time.Duration(ep.latency), Candidates: candidates,
	}
}

func (b *Balancer) pickOnly(node string) (Choice, outcome.Reason) {
	ep := b.endpoints[node]
	if ep == nil {
		return Choice{}, outcome.ReasonNoTarget
	}
	return Choice{Target: ep.target, InFlight: ep.inFlight, Latency: time.Duration(ep.latency), Candidates: 1}, outcome.ReasonNone
}

// pickByKey selects a target by rendezvous hash of the key, so that a repeated
// request reaches the executor that stored the response.
func (b *Balancer) pickByKey(now time.Duration, request Request) (Choice, outcome.Reason) {
	var best *endpoint
	var bestWeight uint64
	shed := false
	for _, node := range b.nodes {
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
		return b.newChoice(now, best, len(b.nodes)), outcome.ReasonNone
	case shed:
		return Choice{}, outcome.ReasonOverloadCursor
	default:
		return Choice{}, outcome.ReasonNoTarget
	}
}

// candidates returns the targets of the subset that are eligible for the call.
// Ejected targets are eligible only if there is no other and none was excluded by
// its cursor, which shed reports.
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

// declineCost weights the decline rate of a target in its cost. A declined call
// uses up one of the few retry credits of its request, or fails.
const declineCost = 16

// cost estimates the wait at a target from its latency and the calls in flight
// there, with penalties for failures, other zones and slow start. The decline rate
// is included because a target that declines calls has few in flight and would
// look idle.
func (b *Balancer) cost(now time.Duration, ep *endpoint) float64 {
	cost := ep.latency * float64(ep.inFlight+1) / max(ep.successRate, 0.05)
	cost *= 1 + declineCost*ep.declineRate
	if ep.target.Zone != b.zone {
		cost *= b.config.ZonePenalty
	}
	if ep.inSlowStart {
		age := now - ep.slowStartAt
		if age >= b.config.SlowStart {
			ep.inSlowStart = false
			return cost
		}
		cost /= max(float64(age)/float64(b.config.SlowStart), 0.05)
	}
	return cost
}

// Started counts a call as in flight to the node.
func (b *Balancer) Started(node string) {
	if ep := b.endpoints[node]; ep != nil {
		ep.inFlight++
	}
}

// Result is the result of an attempt at a target.
type Result struct {
	Node      string
	Latency   time.Duration // 0 if not measured
	Failed    bool          // unreachable, reset, timed out, truncated
	Draining  bool          // refused because the target is draining
	Declined  bool          // not run by the target after its node admitted it
	Neutral   bool          // any other refusal or a cancellation; neither success nor failure
	HasCursor bool
	Cursor    admission.Rank
}

// Finished records the result of an attempt and reports whether the target was
// ejected because of it.
func (b *Balancer) Finished(now time.Duration, result Result) (ejected bool) {
	ep := b.endpoints[result.Node]
	if ep == nil {
		return false
	}
	ep.inFlight--
	if result.HasCursor {
		ep.view.Observe(now, result.Cursor)
	}
	if result.Draining {
		ep.ejectedUntil = now + b.config.DrainBackoff
		ep.slowStartAt, ep.inSlowStart = ep.ejectedUntil, true
		return true
	}
	if result.Neutral {
		return false
	}
	if result.Declined {
		ep.declineRate += b.config.SuccessWeight * (1 - ep.declineRate)
		return false
	}
	ep.declineRate *= 1 - b.config.SuccessWeight
	ep.samples++
	if result.Failed {
		ep.successRate *= 1 - b.config.SuccessWeight
		ep.consecutiveFailures++
		return b.ejectIfOutlier(now, ep)
	}
	ep.successRate += b.config.SuccessWeight * (1 - ep.successRate)
	ep.consecutiveFailures = 0
	if ep.successRate > 0.95 {
		ep.ejections = 0
	}
	if result.Latency > 0 {
		ep.latency += b.config.LatencyWeight * (float64(result.Latency) - ep.latency)
	}
	return false
}

// ejectIfOutlier ejects a target after consecutive failures or for a low success
// rate, unless too many targets are ejected already.
func (b *Balancer) ejectIfOutlier(now time.Duration, ep *endpoint) bool {
	outlier := ep.consecutiveFailures >= b.config.ConsecutiveFailures ||
		(ep.samples >= b.config.MinSuccessSamples && ep.successRate < b.config.MinSuccessRate)
	if !outlier || now < ep.ejectedUntil {
		return false
	}
	ejected := 1
	for _, other := range b.endpoints {
		if now < other.ejectedUntil {
			ejected++
		}
	}
	if float64(ejected) > max(float64(len(b.endpoints))*b.config.MaxEjectionShare, 1) {
		return false
	}
	ep.ejectedUntil = now + min(b.config.BaseEjectionTime<<min(ep.ejections, 10), b.config.MaxEjectionTime)
	ep.ejections++
	ep.consecutiveFailures = 0
	ep.slowStartAt, ep.inSlowStart = ep.ejectedUntil, true
	return true
}

// State is the state of one target as shown to operators.
type State struct {
	Target   Target
	State    string
	InFlight int
	Success  float64
	Latency  time.Duration
	Cursor   admission.Rank
	Known    bool // whether Cursor is valid
}

// States returns the state of all targets, sorted by node name.
func (b *Balancer) States(now time.Duration) []State {
	states := make([]State, 0, len(b.endpoints))
	for _, ep := range b.endpoints {
		state := State{Target: ep.target, State: "active", InFlight: ep.inFlight, Success: ep.successRate, Latency: time.Duration(ep.latency)}
		state.Cursor, state.Known = ep.view.Cursor(now)
		switch {
		case ep.target.Leaving:
			state.State = "leaving"
		case now < ep.ejectedUntil:
			state.State = "ejected"
		case ep.inSlowStart:
			state.State = "joining"
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Target.Node < states[j].Target.Node })
	return states
}
