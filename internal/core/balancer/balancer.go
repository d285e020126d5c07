// Package balancer picks the target of a request by what the gates in front of
// the targets tell of their occupancy, nearer targets first while that costs
// nothing. It is a state machine without locks, clocks or sockets of its own.
package balancer

import (
	"math"
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
	// FarFactor is the factor on the cost of a target in another zone, FarCost is
	// added to it.
	FarFactor float64
	FarCost   time.Duration
	// LargeAnswer is the mean size of a service's answers, in bytes, at which
	// FarFactor is higher by LargeFactor, which is the most; in proportion below.
	LargeAnswer int64
	LargeFactor float64
	// LocalGain is taken off the cost of the target beside the node itself.
	LocalGain time.Duration
	// Noise is the relative spread put on costs, so that senders with the same
	// knowledge do not all choose the same target.
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
}

// DefaultConfig gives the values that docs/PLATFORM.md was measured with.
func DefaultConfig() Config {
	return Config{
		FarFactor: 1.5, FarCost: 2 * time.Millisecond, LargeAnswer: 200_000, LargeFactor: 1.5, LocalGain: time.Millisecond, Noise: 0.1, ReportLife: 2 * time.Second, OccupancyLife: 300 * time.Millisecond,
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
	lossShare  float64 // moving share of the sendings that the target lost
	lossAt     time.Duration
}

// Balancer holds the targets of one service. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	node      string
	zone      string
	random    Random
	endpoints map[string]*Endpoint // by node
	order     []*Endpoint
	answer    float64 // moving mean of the answers' sizes, bytes
}

// New makes an empty balancer for the node that sends.
func New(config Config, node, zone string, random Random) *Balancer {
	return &Balancer{config: config, node: node, zone: zone, random: random, endpoints: map[string]*Endpoint{}}
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

// Pick chooses the cheapest target that is not excluded, nil when there is none.
// Targets to avoid are chosen only when no other is left and desperate is true.
func (b *Balancer) Pick(now time.Duration, excluded map[string]bool, desperate bool) (best *Endpoint) {
	var cost time.Duration
	typical := b.typicalHold()
	for _, endpoint := range b.order {
		if excluded[endpoint.Node] || now < endpoint.avoidUntil {
			continue
		}
		if estimate := b.cost(now, endpoint, typical); best == nil || estimate < cost {
			best, cost = endpoint, estimate
		}
	}
	if best == nil && desperate {
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

// Shares of a target's slots in use at which it costs more to add work.
const (
	busyShare  = 0.5
	busyFactor = 0.6
	coldFactor = 2.0
	// A queue costs more than the wait in it: while it stands, free slots elsewhere
	// go to waste.
	queueCost   = 1.0
	queueFactor = 2.0
)

// assumedHold stands for the hold time while no target's is known.
const assumedHold = 20 * time.Millisecond

// typicalHold is the mean hold time of the targets whose hold time is known. It
// stands for that of the others: one that were taken for fast would get the work of
// all senders at once.
func (b *Balancer) typicalHold() time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, e := range b.order {
		if e.report.Hold > 0 {
			sum += e.report.Hold
			known++
		}
	}
	if known == 0 {
		return assumedHold
	}
	return sum / known
}

// cost estimates the time until a request sent now would be done.
func (b *Balancer) cost(now time.Duration, e *Endpoint, typical time.Duration) time.Duration {
	hold := e.report.Hold
	occupied := max(e.inFlight, 0)
	if e.reportedAt > 0 && now-e.reportedAt < b.config.ReportLife {
		occupied = max(occupied, e.report.Running+e.report.Waiting+e.sentSince)
	}
	if hold <= 0 {
		hold = typical
	}
	count := max(e.Slots, 1)
	share := float64(occupied+1) / float64(count)
	factor := 1.0
	switch {
	case share > 1:
		factor = 1 + busyFactor*(1-busyShare) + queueCost + queueFactor*(share-1)
	case share > busyShare:
		factor = 1 + busyFactor*(share-busyShare)
	}
	if now < e.Cold {
		factor *= coldFactor
	}
	factor *= 1 + lossFactor*e.losses(now)
	estimate := time.Duration(float64(hold) * factor * (1 + b.config.Noise*b.random.Float64()))
	switch {
	case e.Node == b.node:
		estimate -= b.config.LocalGain
	case e.Zone != b.zone:
		estimate = time.Duration(b.farFactor()*float64(estimate)) + b.config.FarCost
	}
	return estimate
}

// farFactor is higher for services with large answers: bytes between zones cost.
func (b *Balancer) farFactor() float64 {
	return b.config.FarFactor + b.config.LargeFactor*min(b.answer/float64(b.config.LargeAnswer), 1)
}

// A target that loses requests costs more, in proportion to their share: never
// so much that none is left when all lose some. The share fades without news, so
// that the target is tried again.
const (
	lossFactor = 8.0
	lossWeight = 0.1
	lossFades  = 3 * time.Second
)

func (e *Endpoint) losses(now time.Duration) float64 {
	return e.lossShare * math.Exp(-float64(now-e.lossAt)/float64(lossFades))
}

// Lost notes that the target took a request and broke off.
func (b *Balancer) Lost(now time.Duration, e *Endpoint) { e.note(now, 1) }

// answerWeight is the weight of one answer in the mean size.
const answerWeight = 0.05

// Answered notes that the target gave a whole answer of so many bytes; below 0:
// its size is not known.
func (b *Balancer) Answered(now time.Duration, e *Endpoint, bytes int64) {
	e.note(now, 0)
	if bytes >= 0 {
		b.answer += answerWeight * (float64(bytes) - b.answer)
	}
}

func (e *Endpoint) note(now time.Duration, loss float64) {
	share := e.losses(now)
	e.lossShare, e.lossAt = share+lossWeight*(loss-share), now
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
