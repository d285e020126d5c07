package balancer

import (
	"math"
	"time"
)

// Requirement is what a request needs of the target that is chosen.
type Requirement struct {
	// Class tells requests that take alike long; empty: none.
	Class string
	// Limit is the time inside which the answer is wanted; 0: not known.
	Limit time.Duration
	// Only holds the nodes that may be chosen; nil: any.
	Only map[string]bool
}

// The cost of a target is what is expected to be lost there, as a part of the worth of
// one answer: the chance that it comes too late, that it is lost, that work elsewhere
// has to wait behind it, and what its bytes cost between zones.
const (
	// farCost is the cost of another zone for a small answer, farCostOfKB is added for
	// each kilobyte, up to farCostMost: where traffic between zones is paid for, a kilobyte
	// was put at 0.025 of the worth of an answer, and the heads of a call have 0.8 KB.
	farCost     = 0.02
	farCostOfKB = 0.02
	farCostMost = 0.3
	// farDelay is added to the time that a request takes in another zone.
	farDelay = 2 * time.Millisecond
	// ownGain is taken off for the target beside the node: one hop less.
	ownGain = 0.005
	// busyFrom is the share of its slots from which a target costs more, up to
	// busyCost when all are in use.
	busyFrom = 0.5
	busyCost = 0.03
	// queueCost is the cost of a queue: while it stands, free slots elsewhere go to
	// waste. queueSlot is that of each request in it, over the slots: with queues
	// everywhere the difference between them is worth little more than the wait.
	queueCost = 0.1
	queueSlot = 0.05
	// coldFactor is the factor on the time at a target that has just started.
	coldFactor = 2.0
	// busyFactor is that at a target whose slots are all in use, less the wait.
	busyFactor = 1.3
	// lossCost is the cost of an answer that is lost and of a request that is declined: most are
	// sent again, out of budgets that are short.
	lossCost = 0.3
)

// limitUnsaid times the expected time stands for the limit of a request that has none.
const limitUnsaid = 4

// assumedHold stands for the hold time while no target's is known.
const assumedHold = 20 * time.Millisecond

// expectation is what is known of a request before a target is chosen for it.
type expectation struct {
	class   string
	typical time.Duration // mean hold time of the service's targets
	takes   float64       // ns at a target with that hold time
	limit   float64       // ns
	far     float64       // cost of another zone
}

func (b *Balancer) expect(need Requirement) expectation {
	x := expectation{class: need.Class, typical: b.typicalHold(), limit: float64(need.Limit), far: farCost}
	x.takes = float64(x.typical)
	if known := b.classes[need.Class]; known != nil {
		if known.takes > 0 {
			x.takes = known.takes
		}
		x.far = min(farCost+farCostOfKB*known.bytes/1000, farCostMost)
	}
	if x.limit <= 0 {
		x.limit = limitUnsaid * x.takes
	}
	if b.config.NoZones {
		x.far = 0
	}
	return x
}

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

// cost estimates what is lost when a request is sent to the target now.
func (b *Balancer) cost(now time.Duration, e *Endpoint, x expectation) float64 {
	busy := b.occupied(now, e)
	takes := e.takes(now, x) * (1 + (busyFactor-1)*min(busy, 1)) * (1 + b.config.Noise*b.random.Float64())
	if now < e.Cold {
		takes *= coldFactor
	}
	if busy > 1 {
		takes *= busy
	}
	cost := busyCost * min(max(busy-busyFrom, 0)/(1-busyFrom), 1)
	if !b.config.NoLosses {
		cost += lossCost * e.losses(now)
	}
	if busy > 1 {
		cost += queueCost + queueSlot*(busy-1)
	}
	switch {
	case e.Node == b.node:
		cost -= ownGain
	case e.Zone != b.zone:
		takes += float64(farDelay)
		cost += x.far
	}
	return cost + late(takes/x.limit)
}

// occupied is the share of the target's slots that is in use or waited for, with the
// request that is about to be sent.
func (b *Balancer) occupied(now time.Duration, e *Endpoint) float64 {
	count := max(e.inFlight, 0)
	if e.reportedAt > 0 && now-e.reportedAt < b.config.ReportLife {
		count = max(count, e.report.Running+e.report.Waiting+e.sentSince)
	}
	return float64(count+1) / float64(max(e.Slots, 1))
}

// takes is the time, in ns, that the request is expected to take at the target: what
// others of its class took there lately, else what they take at the other targets, by
// half of the difference in hold times. The other half stands for the calls that
// requests make: those take as long from any target.
func (e *Endpoint) takes(now time.Duration, x expectation) float64 {
	if seen := e.seen[x.class]; seen != nil && now-seen.at < seenLife {
		return seen.takes
	}
	return x.takes * (1 + e.slowness(x.typical)) / 2
}

// seen is what requests of one class took at one target.
type seen struct {
	takes float64 // ns
	at    time.Duration
}

const (
	// seenLife is the age from which it counts no more: a target that was slow is tried
	// again.
	seenLife = 3 * time.Second
	// seenWeight is the weight of one answer in it.
	seenWeight = 0.2
)

// noteTook takes in what one request took.
func (e *Endpoint) noteTook(now time.Duration, class string, took time.Duration) {
	one := e.seen[class]
	if one == nil || now-one.at >= seenLife {
		if len(e.seen) >= maxClasses {
			clear(e.seen)
		}
		if e.seen == nil {
			e.seen = map[string]*seen{}
		}
		e.seen[class] = &seen{takes: float64(took), at: now}
		return
	}
	one.takes += seenWeight * (float64(took) - one.takes)
	one.at = now
}

// slowness is the target's hold time against the typical one.
func (e *Endpoint) slowness(typical time.Duration) float64 {
	if e.report.Hold <= 0 || typical <= 0 {
		return 1
	}
	return float64(e.report.Hold) / float64(typical)
}

// late estimates the chance that a request is late whose expected time is a share of
// its limit. Times spread: of those that take half of the limit on the mean one in
// sixteen is late. Beyond the limit it goes on rising, so that the faster target is
// chosen also where both are too slow.
func late(share float64) float64 {
	if share > 1 {
		return 1 + 4*(share-1)
	}
	return share * share * share * share
}

// class is what is learned of the requests of one class.
type class struct {
	takes float64 // ns, mean over the targets; 0: not known
	bytes float64 // mean size of an answer
}

// classWeight is the weight of one answer in what is learned of its class.
const classWeight = 0.05

// maxClasses bounds the classes that are told apart.
const maxClasses = 256

func (b *Balancer) class(name string) *class {
	one := b.classes[name]
	if one == nil && len(b.classes) < maxClasses {
		one = &class{}
		b.classes[name] = one
	}
	return one
}

// Answered notes that the target gave a whole answer of so many bytes to a request of a
// class; below 0: its size is not known. took is its time without the waits for slots,
// there and further down: how long one waits now is told by the newest reports, and
// further down it is the same from any target.
func (b *Balancer) Answered(now time.Duration, e *Endpoint, name string, bytes int64, took time.Duration) {
	e.note(now, 0)
	one := b.class(name)
	if one == nil {
		return
	}
	if bytes >= 0 {
		one.bytes += classWeight * (float64(bytes) - one.bytes)
	}
	if !b.config.NoSamples {
		e.noteTook(now, name, took)
	}
	if one.takes == 0 {
		one.takes = float64(took)
	}
	one.takes += classWeight * (float64(took) - one.takes)
}

// The share of a target's sendings that it loses or declines fades without news, so that the
// target is tried again.
const (
	lossWeight = 0.1
	lossFades  = 3 * time.Second
)

func (e *Endpoint) losses(now time.Duration) float64 {
	return e.lossShare * math.Exp(-float64(now-e.lossAt)/float64(lossFades))
}

// Lost notes that the target took a request and broke off.
func (b *Balancer) Lost(now time.Duration, e *Endpoint) { e.note(now, 1) }

// Declined notes that the target did not run a request that its gate let through. Its gate has
// free slots by that and tells so: without this all senders would choose it.
func (b *Balancer) Declined(now time.Duration, e *Endpoint) { e.note(now, 1) }

func (e *Endpoint) note(now time.Duration, loss float64) {
	share := e.losses(now)
	e.lossShare, e.lossAt = share+lossWeight*(loss-share), now
}
