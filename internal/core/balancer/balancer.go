// Package balancer picks the target of a request by what the gates in front of
// the targets tell of their occupancy, nearer targets first while that costs
// nothing. It is a state machine without locks, clocks or sockets of its own.
package balancer

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
)

// Random gives numbers in [0, 1); the driver supplies it.
type Random interface {
	Float64() float64
}

// Target is one target as the membership names it.
type Target struct {
	Node     string // node beside the target
	Address  string // of that node, IP:port
	Zone     string
	Instance string // incarnation of the target
	Slots    int
	Cold     time.Duration // on the driver's clock: until then the target is slow
}

// Config sets the balancer.
type Config struct {
	// Noise is the relative spread put on the expected time, so that senders with the
	// same knowledge do not all choose the same target.
	Noise float64
	// ReportLife is the age from which a gate's report no longer counts.
	ReportLife time.Duration
	// OccupancyLife is the age from which it no longer proves a queue where the
	// occupancy of the service is asked for: a peak that has passed must not be told on.
	OccupancyLife time.Duration
	// SuspectFor is how long a target that gave no sign is left alone.
	SuspectFor time.Duration
	// RefusedFor is how long a target is left alone that said it is leaving.
	RefusedFor time.Duration
	// NoSamples, NoZones and NoLosses leave a mechanism out: own samples of how long
	// requests take, the cost of other zones, that of lost answers and declined requests.
	NoSamples, NoZones, NoLosses bool
}

// DefaultConfig gives the values that docs/design/rounds-of-policy.md was measured with.
func DefaultConfig() Config {
	return Config{
		Noise: 0.1, ReportLife: 2 * time.Second, OccupancyLife: 300 * time.Millisecond,
		SuspectFor: time.Second, RefusedFor: 500 * time.Millisecond,
	}
}

// Endpoint is a target with what is known of its load.
type Endpoint struct {
	Target
	report     slots.Load
	reportedAt time.Duration
	sentSince  int // sent since the report
	inFlight   int
	avoidUntil time.Duration
	suspected  bool
	lossShare  float64 // moving share of the sendings that the target lost or declined
	lossAt     time.Duration
	seen       map[string]*seen // by class
}

// Balancer holds the targets of one service. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	node      string
	zone      string
	random    Random
	endpoints map[string]*Endpoint // by node
	order     []*Endpoint
	classes   map[string]*class
}

// New makes an empty balancer for the node that sends.
func New(config Config, node, zone string, random Random) *Balancer {
	return &Balancer{config: config, node: node, zone: zone, random: random, endpoints: map[string]*Endpoint{}, classes: map[string]*class{}}
}

// Update sets the targets. What is known of the load of those that stay is kept.
func (b *Balancer) Update(targets []Target) {
	previous := b.endpoints
	b.endpoints = make(map[string]*Endpoint, len(targets))
	b.order = b.order[:0]
	for _, target := range targets {
		endpoint := previous[target.Node]
		if endpoint == nil {
			endpoint = &Endpoint{}
		} else if endpoint.Instance != target.Instance {
			endpoint.avoidUntil = 0
			endpoint.reportedAt = 0
		}
		endpoint.Target = target
		b.endpoints[target.Node] = endpoint
		b.order = append(b.order, endpoint)
	}
}

// Pick chooses the target where least is lost, of those that are not excluded, nil when
// there is none. Targets to avoid are chosen only when no other is left and desperate
// is true.
func (b *Balancer) Pick(now time.Duration, need Requirement, excluded map[string]bool, desperate bool) (best *Endpoint) {
	var cost float64
	expected := b.expect(need)
	for _, endpoint := range b.order {
		if excluded[endpoint.Node] || now < endpoint.avoidUntil || need.Only != nil && !need.Only[endpoint.Node] {
			continue
		}
		if estimate := b.cost(now, endpoint, expected); best == nil || estimate < cost {
			best, cost = endpoint, estimate
		}
	}
	if best == nil && desperate && need.Only == nil {
		best = b.leastAvoided(excluded)
	}
	return best
}

func (b *Balancer) leastAvoided(excluded map[string]bool) (best *Endpoint) {
	for _, endpoint := range b.order {
		if !excluded[endpoint.Node] && (best == nil || endpoint.avoidUntil < best.avoidUntil) {
			best = endpoint
		}
	}
	return best
}

// Sent notes that a request goes to the endpoint.
func (b *Balancer) Sent(e *Endpoint) {
	e.inFlight++
	e.sentSince++
}

// Done notes that a request to the endpoint has ended.
func (b *Balancer) Done(e *Endpoint) {
	e.inFlight--
	if e.sentSince > 0 {
		e.sentSince--
	}
}

// Report takes in what the gate of an endpoint told.
func (b *Balancer) Report(now time.Duration, e *Endpoint, load slots.Load) {
	if load.Hold == 0 {
		load.Hold = e.report.Hold
	}
	e.report, e.reportedAt, e.sentSince = load, now, 0
	if load.Slots > 0 {
		e.Slots = load.Slots
	}
	b.Trust(e)
}

// Trust ends the suspicion of an endpoint that gave a sign of life.
func (b *Balancer) Trust(e *Endpoint) {
	if e.suspected {
		e.suspected = false
		e.avoidUntil = 0
	}
}

// Suspect leaves an endpoint alone that gave no sign of life.
func (b *Balancer) Suspect(now time.Duration, e *Endpoint) {
	e.suspected = true
	e.avoidUntil = now + b.config.SuspectFor
}

// Refused leaves an endpoint alone that cannot take work now.
func (b *Balancer) Refused(now time.Duration, e *Endpoint) {
	e.avoidUntil = now + b.config.RefusedFor
}

// Endpoint gives the endpoint beside a node, or nil.
func (b *Balancer) Endpoint(node string) *Endpoint { return b.endpoints[node] }
