// Package balancer picks the target of each request from the load that the targets' gates
// report. It prefers targets in its own zone at equal cost. It does no locking and uses no
// clock or sockets.
package balancer

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
)

// Random supplies pseudo-random numbers in [0, 1).
type Random interface {
	Float64() float64
}

// Target is a target as listed in the membership.
type Target struct {
	Node      string // node in front of the target
	Address   string // of the node, IP:port
	Zone      string
	Instance  string // identifies one start of the target
	Slots     int
	ColdUntil time.Duration // end of the warm-up period, on the caller's clock
}

// Config configures a Balancer.
type Config struct {
	// Noise is the relative random spread of the expected latency. It keeps senders with the
	// same information from all picking the same target.
	Noise float64
	// ReportTTL is the age at which a load report is discarded.
	ReportTTL time.Duration
	// OccupancyTTL is the age at which a report is too old to prove a queue in ServiceLoad, so
	// that a past peak is not propagated.
	OccupancyTTL time.Duration
	// SuspectFor is how long an unresponsive target is avoided.
	SuspectFor time.Duration
	// RefusedFor is how long a target that announced its shutdown is avoided.
	RefusedFor time.Duration
	// NoSamples, NoZones and NoLosses disable a mechanism: latency samples per class, the
	// cross-zone cost, and the cost of lost responses and declined requests.
	NoSamples, NoZones, NoLosses bool
	// NoPace ignores the paces that load reports state.
	NoPace bool
	// Rank returns the place of the node among all nodes that send to an instance, which each of
	// them computes alike, and their number. nil: the node is the only one.
	Rank func(instance string) (rank, senders int)
}

// DefaultConfig returns the values measured in docs/design/rounds-of-policy.md.
func DefaultConfig() Config {
	return Config{
		Noise: 0.1, ReportTTL: 2 * time.Second, OccupancyTTL: 300 * time.Millisecond,
		SuspectFor: time.Second, RefusedFor: 500 * time.Millisecond,
	}
}

// Endpoint is a target together with its known load.
type Endpoint struct {
	Target
	report          slots.Load
	reportedAt      time.Duration
	sentSinceReport int
	inFlight        int // requests from this node
	avoidUntil      time.Duration
	suspected       bool
	lossRate        float64 // moving average of the requests that the target lost or declined
	lossUpdatedAt   time.Duration
	latencies       []classLatency // by classStats.index
	latencyCount    int            // set latencies
	state           *knownState    // of the instance, as in Balancer.states
	listed          bool           // in Balancer.order
	local           bool           // the target of the own node
	remoteZone      bool           // in another zone
}

// Balancer balances over the targets of one service. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	node      string
	zone      string
	random    Random
	endpoints map[string]*Endpoint // by node
	order     []*Endpoint
	classes   map[string]*classStats
	states    map[string]*knownState // by instance
	// serviceTimeSum and serviceTimeCount add up the known service times of order, at the usual pace.
	serviceTimeSum   time.Duration
	serviceTimeCount int
	paceCount        int         // targets of order whose last report states a pace
	fresh, stale     []*Endpoint // buffers of ServiceLoad
	occupancies      []float64   // buffer of occupancyCap
}

// New returns a Balancer without targets for the given sending node.
func New(config Config, node, zone string, random Random) *Balancer {
	return &Balancer{config: config, node: node, zone: zone, random: random, endpoints: map[string]*Endpoint{}, classes: map[string]*classStats{}, states: map[string]*knownState{}}
}

// Update replaces the list of targets. The load state of targets that remain is kept.
func (b *Balancer) Update(targets []Target) {
	previous := b.endpoints
	b.endpoints = make(map[string]*Endpoint, len(targets))
	for _, endpoint := range b.order {
		endpoint.listed = false
	}
	clear(b.order)
	b.order = b.order[:0]
	b.serviceTimeSum, b.serviceTimeCount, b.paceCount = 0, 0, 0
	for _, target := range targets {
		endpoint := previous[target.Node]
		if endpoint == nil {
			endpoint = &Endpoint{}
		} else if endpoint.Instance != target.Instance {
			endpoint.avoidUntil = 0
			endpoint.reportedAt = 0
		}
		endpoint.Target = target
		endpoint.state = b.states[target.Instance]
		endpoint.listed = true
		endpoint.local = target.Node == b.node
		endpoint.remoteZone = target.Zone != b.zone
		b.addReport(endpoint)
		b.endpoints[target.Node] = endpoint
		b.order = append(b.order, endpoint)
	}
}

// Pick returns the cheapest target that is not excluded, or nil if there is none. An avoided
// target is returned only if allowAvoided is set and no other target is left.
func (b *Balancer) Pick(now time.Duration, need Requirement, excluded map[string]bool, allowAvoided bool) (best *Endpoint) {
	var cost float64
	profile := b.profile(need)
	profile.paced = b.pacedMeans(now, profile)
	for _, endpoint := range b.order {
		if !b.usable(now, endpoint, excluded) || now < endpoint.avoidUntil || need.Allowed != nil && !need.Allowed[endpoint.Node] {
			continue
		}
		if estimate := b.cost(now, endpoint, profile); best == nil || estimate < cost {
			best, cost = endpoint, estimate
		}
	}
	if best == nil && allowAvoided && need.Allowed == nil {
		best = b.soonestAvailable(now, excluded)
	}
	return best
}

// usable reports whether a target may be picked at all.
func (b *Balancer) usable(now time.Duration, e *Endpoint, excluded map[string]bool) bool {
	return !excluded[e.Node] && !b.leaving(e) && !b.overShare(now, e)
}

// soonestAvailable returns the target whose avoidance period ends first.
func (b *Balancer) soonestAvailable(now time.Duration, excluded map[string]bool) (best *Endpoint) {
	for _, endpoint := range b.order {
		if b.usable(now, endpoint, excluded) && (best == nil || endpoint.avoidUntil < best.avoidUntil) {
			best = endpoint
		}
	}
	return best
}

// Sent records that a request is sent to the endpoint.
func (b *Balancer) Sent(now time.Duration, e *Endpoint) {
	b.takeShare(now, e)
	e.inFlight++
	e.sentSinceReport++
}

// Done records that a request to the endpoint has ended.
func (b *Balancer) Done(e *Endpoint) {
	e.inFlight--
	if e.sentSinceReport > 0 {
		e.sentSinceReport--
	}
}

// Report records a load report of the endpoint's gate.
func (b *Balancer) Report(now time.Duration, e *Endpoint, load slots.Load) {
	if b.config.NoPace {
		load.Pace = 0
	}
	if load.ServiceTime == 0 {
		e.keepServiceTime(&load)
	}
	if e.listed {
		b.removeReport(e)
	}
	e.report, e.reportedAt, e.sentSinceReport = load, now, 0
	if e.listed {
		b.addReport(e)
	}
	b.ClearSuspicion(e)
}

// ClearSuspicion clears the suspicion of an endpoint that responded.
func (b *Balancer) ClearSuspicion(e *Endpoint) {
	if e.suspected {
		e.suspected = false
		e.avoidUntil = 0
	}
}

// Suspect marks an endpoint as unresponsive; it is avoided for SuspectFor.
func (b *Balancer) Suspect(now time.Duration, e *Endpoint) {
	e.suspected = true
	e.avoidUntil = now + b.config.SuspectFor
}

// Refused avoids an endpoint that accepts no requests at present, for RefusedFor.
func (b *Balancer) Refused(now time.Duration, e *Endpoint) {
	e.avoidUntil = now + b.config.RefusedFor
}

// Endpoint returns the endpoint of a node, or nil.
func (b *Balancer) Endpoint(node string) *Endpoint { return b.endpoints[node] }
