package balancer

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
)

// Requirement constrains the choice of a target for a request.
type Requirement struct {
	// Class groups requests with similar latency; empty: none.
	Class string
	// Timeout is the time left for the request; 0: unknown.
	Timeout time.Duration
	// Allowed restricts the choice to these nodes; nil: any.
	Allowed map[string]bool
}

// The cost of a target estimates the loss of value from sending a request there, where 1 is the
// value of one response. It adds up the probability of a late or lost response, the delay that
// the request causes to others, and the cost of cross-zone traffic.
const (
	// crossZoneCost is the cost of another zone for a small response. crossZoneCostPerKB is
	// added per kilobyte, up to maxCrossZoneCost. Where traffic between zones is paid for, a kilobyte
	// was valued at 0.025 of a response, and the headers of a call take 0.8 KB.
	crossZoneCost      = 0.02
	crossZoneCostPerKB = 0.02
	maxCrossZoneCost   = 0.3
	// crossZoneLatency is added to the expected latency in another zone.
	crossZoneLatency = 2 * time.Millisecond
	// localBonus is subtracted for the target of the own node, which saves a hop.
	localBonus = 0.005
	// busyThreshold is the utilization above which the cost rises, by up to busyCost at
	// full utilization.
	busyThreshold = 0.5
	busyCost      = 0.03
	// queueCost is the cost of sending to a target with a queue while others may have free
	// slots. queueCostPerSlot is added per queued request and slot: with queues everywhere, the
	// difference between them is worth little more than the wait.
	queueCost        = 0.1
	queueCostPerSlot = 0.05
	// coldFactor scales the expected latency of a target that is warming up.
	coldFactor = 2.0
	// saturationFactor scales the expected latency, without queueing, of a fully utilized target.
	saturationFactor = 1.3
	// lossCost is the cost of a lost response or declined request, most of which are retried
	// from a limited budget.
	lossCost = 0.3
)

// defaultTimeoutFactor times the expected latency is the timeout of a request without one.
const defaultTimeoutFactor = 4

// defaultServiceTime is assumed while the service time of no target is known.
const defaultServiceTime = 20 * time.Millisecond

// requestProfile is the information about a request that is the same for all targets.
type requestProfile struct {
	class           int           // classStats.index; -1: unknown
	meanServiceTime time.Duration // over the targets of the service
	latency         float64       // ns, at a target with the mean service time
	timeout         float64       // ns
	crossZoneCost   float64
	paced           pacedMeans
	paceShare       float64 // part of the latency that depends on the pace of the target
}

func (b *Balancer) profile(need Requirement) requestProfile {
	p := requestProfile{class: -1, meanServiceTime: b.meanServiceTime(), timeout: float64(need.Timeout), crossZoneCost: crossZoneCost, paceShare: 1}
	p.latency = float64(p.meanServiceTime)
	if known := b.classes[need.Class]; known != nil {
		p.class = known.index
		if known.latency > 0 {
			p.latency = known.latency
		}
		if known.paceShare > 0 {
			p.paceShare = known.paceShare
		}
		p.crossZoneCost = min(crossZoneCost+crossZoneCostPerKB*known.responseBytes/1000, maxCrossZoneCost)
	}
	if p.timeout <= 0 {
		p.timeout = defaultTimeoutFactor * p.latency
	}
	if b.config.NoZones {
		p.crossZoneCost = 0
	}
	return p
}

// meanServiceTime returns the mean of the known service times at the usual pace. Targets with unknown service
// time are assumed to have it; if they were assumed to be fast, all senders would pick them.
func (b *Balancer) meanServiceTime() time.Duration {
	if b.serviceTimeCount == 0 {
		return defaultServiceTime
	}
	return b.serviceTimeSum / time.Duration(b.serviceTimeCount)
}

// addReport adds the report of a listed target to the sums over all reports.
func (b *Balancer) addReport(e *Endpoint) {
	if known := e.usualServiceTime(); known > 0 {
		b.serviceTimeSum += known
		b.serviceTimeCount++
	}
	if e.report.Pace > 0 {
		b.paceCount++
	}
}

// removeReport undoes addReport. The report must not have changed since.
func (b *Balancer) removeReport(e *Endpoint) {
	if known := e.usualServiceTime(); known > 0 {
		b.serviceTimeSum -= known
		b.serviceTimeCount--
	}
	if e.report.Pace > 0 {
		b.paceCount--
	}
}

// cost estimates the cost of sending a request to the target now.
func (b *Balancer) cost(now time.Duration, e *Endpoint, p requestProfile) float64 {
	if p.paced.known {
		return b.pacedCost(now, e, p)
	}
	utilization := b.utilization(now, e)
	latency := e.expectedLatency(now, p) * (1 + (saturationFactor-1)*min(utilization, 1)) * (1 + b.config.Noise*b.random.Float64())
	if now < e.ColdUntil {
		latency *= coldFactor
	}
	if utilization > 1 {
		latency *= utilization
	}
	cost := busyCost * min(max(utilization-busyThreshold, 0)/(1-busyThreshold), 1)
	if !b.config.NoLosses {
		cost += lossCost * e.decayedLossRate(now)
	}
	if utilization > 1 {
		cost += queueCost + queueCostPerSlot*(utilization-1)
	}
	switch {
	case e.local:
		cost -= localBonus
	case e.remoteZone:
		latency += float64(crossZoneLatency)
		cost += p.crossZoneCost
	}
	return cost + latenessCost(latency/p.timeout)
}

// utilization returns the target's running and queued requests per slot, including the
// request to be sent.
func (b *Balancer) utilization(now time.Duration, e *Endpoint) float64 {
	count, slots := max(e.inFlight, 0), e.Slots
	if e.reportedAt > 0 && now-e.reportedAt < b.config.ReportTTL {
		count = max(count, e.report.Running+e.report.Waiting+e.sentSinceReport)
		if e.report.Slots > 0 {
			slots = e.report.Slots
		}
	}
	return float64(count+1) / float64(max(slots, 1))
}

// expectedLatency returns the expected latency in ns at the target: the recent latency of the
// request's class there or, without samples, the mean latency of the class scaled by half of
// the relative service time. The other half accounts for downstream calls, which take as long
// from any target. Both are at the usual pace of the target, and scaled by its pace now.
func (e *Endpoint) expectedLatency(now time.Duration, p requestProfile) float64 {
	factor := pace.Scale(e.pace(now), p.paceShare)
	if known := e.latency(p.class); known != nil && now-known.at < latencyTTL {
		return known.mean * factor
	}
	return p.latency * factor * (1 + e.relativeServiceTime(p.meanServiceTime)) / 2
}

// classLatency is the mean latency of one class at one target.
type classLatency struct {
	mean  float64 // ns
	at    time.Duration
	known bool // there was a sample
}

// latency returns the classLatency of a class by its index, or nil without samples.
func (e *Endpoint) latency(class int) *classLatency {
	if class < 0 || class >= len(e.latencies) || !e.latencies[class].known {
		return nil
	}
	return &e.latencies[class]
}

const (
	// latencyTTL is the age at which a classLatency expires, so that a target that was slow is
	// tried again.
	latencyTTL = 3 * time.Second
	// latencyWeight is the weight of one sample in a classLatency.
	latencyWeight = 0.2
)

// recordLatency adds a sample to the classLatency.
func (e *Endpoint) recordLatency(now time.Duration, class int, latency time.Duration) {
	known := e.latency(class)
	if known == nil || now-known.at >= latencyTTL {
		if e.latencyCount >= maxClasses {
			clear(e.latencies)
			e.latencyCount = 0
		}
		if missing := class + 1 - len(e.latencies); missing > 0 {
			e.latencies = append(e.latencies, make([]classLatency, missing)...)
		}
		if !e.latencies[class].known {
			e.latencyCount++
		}
		e.latencies[class] = classLatency{mean: float64(latency), at: now, known: true}
		return
	}
	known.mean += latencyWeight * (float64(latency) - known.mean)
	known.at = now
}

// relativeServiceTime returns the target's service time at its usual pace relative to the mean.
func (e *Endpoint) relativeServiceTime(mean time.Duration) float64 {
	if e.report.ServiceTime <= 0 || mean <= 0 {
		return 1
	}
	return float64(e.usualServiceTime()) / float64(mean)
}

// latenessCost estimates the probability of exceeding the timeout, given the expected latency as
// a share of it. Latencies spread: of requests that take half of the timeout on average, one in sixteen
// is late. It keeps rising above 1 so that the faster target wins when all are too slow.
func latenessCost(share float64) float64 {
	if share > 1 {
		return 1 + 4*(share-1)
	}
	return share * share * share * share
}

// classStats holds averages over the requests of one class.
type classStats struct {
	index         int     // of the class in Endpoint.latencies
	latency       float64 // ns, mean over all targets; 0: unknown
	paceShare     float64 // mean part that depends on the pace of the target; 0: unknown
	responseBytes float64 // mean
}

// classWeight is the weight of one response in the classStats.
const classWeight = 0.05

// maxClasses limits the number of tracked classes.
const maxClasses = 256

func (b *Balancer) class(name string) *classStats {
	stats := b.classes[name]
	if stats == nil && len(b.classes) < maxClasses {
		stats = &classStats{index: len(b.classes)}
		b.classes[name] = stats
	}
	return stats
}

// Answered records a complete response to a request of a class. A negative size is unknown.
// latency excludes queueing at the target and downstream: the current queueing time is known
// from load reports, and downstream it does not depend on the target. It is at the usual pace of the
// target, see AtUsualPace.
func (b *Balancer) Answered(now time.Duration, e *Endpoint, class string, bytes int64, latency time.Duration) {
	e.recordLoss(now, 0)
	stats := b.class(class)
	if stats == nil {
		return
	}
	if bytes >= 0 {
		stats.responseBytes += classWeight * (float64(bytes) - stats.responseBytes)
	}
	if !b.config.NoSamples {
		e.recordLatency(now, stats.index, latency)
	}
	if stats.latency == 0 {
		stats.latency = float64(latency)
	}
	stats.latency += classWeight * (float64(latency) - stats.latency)
}

const (
	// The loss rate decays without new requests, so that the target is tried again.
	lossWeight = 0.1
	lossDecay  = 3 * time.Second
)

func (e *Endpoint) decayedLossRate(now time.Duration) float64 {
	if e.lossRate == 0 {
		return 0
	}
	return e.lossRate * math.Exp(-float64(now-e.lossUpdatedAt)/float64(lossDecay))
}

// Lost records that the target accepted a request and failed to respond.
func (b *Balancer) Lost(now time.Duration, e *Endpoint) { e.recordLoss(now, 1) }

// Declined records that the target did not run a request that its gate admitted. Such a target
// reports free slots and would attract all senders if declines were not counted.
func (b *Balancer) Declined(now time.Duration, e *Endpoint) { e.recordLoss(now, 1) }

func (e *Endpoint) recordLoss(now time.Duration, loss float64) {
	share := e.decayedLossRate(now)
	e.lossRate, e.lossUpdatedAt = share+lossWeight*(loss-share), now
}
