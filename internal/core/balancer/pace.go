package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/core/slots"
)

// Constants of the cost where targets state their pace. They were chosen together in the simulation of
// fullload_test.go: at 0.7 of the capacity and with 15 in 100 targets slow, 0.80 and 0.84 of the requests
// were in time with the cost for targets that state no pace, and 0.96 and 0.98 with this one. Half and
// twice these values changed that by less than 0.03.
const (
	// finishCost is the cost of each mean service time until a request is finished.
	finishCost = 0.05
	// pacedBusyCost replaces busyCost. It keeps fast targets from being filled up to their last slots, where
	// requests of other senders make them queue.
	pacedBusyCost = 0.06
	// finishNoise is the relative random spread of that time. Without it, senders with the same reports
	// pick the same target.
	finishNoise = 0.3
	// loadDecay is the time constant with which a report loses its weight against the mean of all
	// targets: the requests of other senders change the load of a target within a few service times.
	loadDecay = 100 * time.Millisecond
	// paceDecay is the time constant with which a pace approaches the usual one.
	paceDecay = 400 * time.Millisecond
	// meanDecay is the time constant of the weight of a report in the mean of all targets.
	meanDecay = 300 * time.Millisecond
)

// weight returns the weight of a report of an age.
func weight(age, decay time.Duration) float64 { return math.Exp(-float64(age) / float64(decay)) }

// pace returns how long work takes at the target now, relative to the usual. An old figure is not
// used: a target that was slow would get no requests, and so no newer figure.
func (e *Endpoint) pace(now time.Duration) float64 {
	age := now - e.reportedAt
	if e.report.Pace <= 0 || age >= pace.MaxAge {
		return pace.Usual
	}
	return pace.Usual + (e.report.Pace-pace.Usual)*weight(age, paceDecay)
}

// pacedMeans are means over the targets of a service. They are known if a target states its pace.
type pacedMeans struct {
	known       bool
	finish      float64 // time until a request is finished, relative to the mean service time
	utilization float64
}

// pacedMeans returns the means by recent reports.
func (b *Balancer) pacedMeans(now time.Duration, p requestProfile) (means pacedMeans) {
	if !b.statePace(now) {
		return means
	}
	means.known = true
	total := 0.0
	for _, e := range b.order {
		age := now - e.reportedAt
		if e.reportedAt == 0 || age >= b.config.ReportTTL {
			continue
		}
		share, utilization := weight(age, meanDecay), b.utilization(now, e)
		means.finish += share * e.relativeTimeNow(now, p) * max(utilization, 1)
		means.utilization += share * utilization
		total += share
	}
	means.finish /= total
	means.utilization /= total
	return means
}

// statePace reports whether a target of the service has stated its pace of late.
func (b *Balancer) statePace(now time.Duration) bool {
	return b.paceCount > 0 && slices.ContainsFunc(b.order, func(e *Endpoint) bool {
		return e.report.Pace > 0 && e.reportedAt > 0 && now-e.reportedAt < b.config.ReportTTL
	})
}

// relativeTimeNow returns the time that the request takes at the target now, relative to the mean
// service time.
func (e *Endpoint) relativeTimeNow(now time.Duration, p requestProfile) float64 {
	return pace.Scale(e.pace(now), p.paceShare) * e.relativeServiceTime(p.meanServiceTime)
}

// pacedCost estimates the cost of sending a request to the target now, for a service whose targets
// state their pace: the target that finishes it earliest is preferred.
func (b *Balancer) pacedCost(now time.Duration, e *Endpoint, p requestProfile) float64 {
	age := now - e.reportedAt
	if e.reportedAt == 0 {
		age = b.config.ReportTTL
	}
	fresh, utilization, own := weight(age, loadDecay), b.utilization(now, e), e.relativeTimeNow(now, p)
	finish := fresh*own*max(utilization, 1) + (1-fresh)*max(own, p.paced.finish)
	utilization = fresh*utilization + (1-fresh)*p.paced.utilization
	latency := e.expectedLatency(now, p) + (finish-own)*float64(p.meanServiceTime)
	noise := 1 + finishNoise*b.random.Float64()
	finish, latency = finish*noise, latency*noise
	if now < e.ColdUntil {
		finish, latency = finish*coldFactor, latency*coldFactor
	}
	cost := finishCost*finish + pacedBusyCost*min(max(utilization-busyThreshold, 0)/(1-busyThreshold), 1)
	if utilization > 1 {
		cost += queueCost
	}
	if !b.config.NoLosses {
		cost += lossCost * e.decayedLossRate(now)
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

// usualServiceTime returns the reported service time without the pace that it contains.
func (e *Endpoint) usualServiceTime() time.Duration {
	if e.report.Pace <= 0 {
		return e.report.ServiceTime
	}
	return time.Duration(float64(e.report.ServiceTime) / e.report.Pace)
}

// keepServiceTime adds the last known service time to a report without one.
func (e *Endpoint) keepServiceTime(load *slots.Load) {
	load.ServiceTime = e.usualServiceTime()
	if load.Pace > 0 {
		load.ServiceTime = time.Duration(float64(load.ServiceTime) * load.Pace)
	}
}

// AtUsualPace returns the latency that a response would have had at the usual pace of its target.
// factor is the pace while the request ran, 0 if unknown, and share the part of the latency that depends
// on it.
func (b *Balancer) AtUsualPace(class string, latency time.Duration, factor, share float64) time.Duration {
	stats := b.class(class)
	if factor <= 0 || b.config.NoPace || stats == nil {
		return latency
	}
	if stats.paceShare == 0 {
		stats.paceShare = share
	}
	stats.paceShare += classWeight * (share - stats.paceShare)
	return time.Duration(float64(latency) / pace.Scale(factor, share))
}
