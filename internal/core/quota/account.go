package quota

import (
	"slices"
	"time"
)

// tenantState is the keeper's accounting for one tenant.
type tenantState struct {
	limit      Limit
	pool       float64 // unallocated tokens
	refilledAt time.Duration
	processes  map[string]*processState
	// Totals over all processes, so that a response doesn't iterate over them. Entries that
	// expire between two sweeps still count.
	allocated Share
	inFlight  float64 // tokens in flight to waiting requests
	demand    float64
	shortfall float64 // tokens missing in the last responses
	sweptAt   time.Duration
}

// sweepInterval is the interval at which expired entries are removed and totals recomputed.
const sweepInterval = 100 * time.Millisecond

// inFlightTokens are tokens sent for waiting requests that the node may not have received yet.
type inFlightTokens struct {
	grant     int64 // number of the response that carried them
	tokens    float64
	expiresAt time.Duration
}

// processState is the keeper's view of one process's use of a tenant's limit.
type processState struct {
	leases     []lease // in ascending order of grant
	inFlight   []inFlightTokens
	demand     float64
	shortfall  float64 // tokens missing in the last response
	reportedAt time.Duration
	counted    contribution // included in the tenant's totals
}

// contribution is the part of a tenant's totals that one process accounts for.
type contribution struct {
	allocated Share
	inFlight  float64
	demand    float64
	shortfall float64
}

// lease is a share that a process may be using.
type lease struct {
	grant     int64 // 0 if granted in an earlier epoch
	share     Share
	expiresAt time.Duration
}

// applyReport records the share that a process confirms. Shares granted before it have been
// replaced; those granted after it may still be in flight.
func (p *processState) applyReport(now time.Duration, epoch int64, report Report) {
	p.demand, p.reportedAt = report.Demand, now
	if report.Remaining <= 0 {
		return
	}
	if report.Grant.Epoch != epoch {
		p.leases = append([]lease{{share: report.Share, expiresAt: now + report.Remaining}}, p.leases...)
		return
	}
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool { return l.grant < report.Grant.Number })
	p.inFlight = slices.DeleteFunc(p.inFlight, func(f inFlightTokens) bool { return f.grant <= report.Grant.Number })
}

// maxLeases limits the leases tracked per process; the oldest ones are merged.
const maxLeases = 8

func (p *processState) addLease(l lease) {
	p.leases = append(p.leases, l)
	if len(p.leases) <= maxLeases {
		return
	}
	merged := p.leases[1]
	merged.share, merged.expiresAt = merged.share.larger(p.leases[0].share), max(merged.expiresAt, p.leases[0].expiresAt)
	p.leases = append([]lease{merged}, p.leases[2:]...)
}

// maxShare returns the largest share that the process may be using.
func (p *processState) maxShare(now time.Duration) (most Share) {
	for _, l := range p.leases {
		if now < l.expiresAt {
			most = most.larger(l.share)
		}
	}
	return most
}

func (p *processState) expired(now time.Duration) bool {
	return now-p.reportedAt >= reportTimeout && !slices.ContainsFunc(p.leases, func(l lease) bool { return now < l.expiresAt })
}

// updateTotals updates the tenant's totals after a change of p.
func (t *tenantState) updateTotals(now time.Duration, p *processState) {
	c := contribution{allocated: p.maxShare(now)}
	for _, f := range p.inFlight {
		c.inFlight += f.tokens
	}
	if now-p.reportedAt < reportTimeout {
		c.demand = p.demand
	}
	if now-p.reportedAt < shortfallTTL {
		c.shortfall = p.shortfall
	}
	t.allocated.Rate += c.allocated.Rate - p.counted.allocated.Rate
	t.allocated.Depth += c.allocated.Depth - p.counted.allocated.Depth
	t.inFlight += c.inFlight - p.counted.inFlight
	t.demand += c.demand - p.counted.demand
	t.shortfall += c.shortfall - p.counted.shortfall
	p.counted = c
}

// sweep removes expired entries and recomputes the totals.
func (t *tenantState) sweep(now time.Duration) {
	t.allocated, t.inFlight, t.demand, t.shortfall, t.sweptAt = Share{}, 0, 0, 0, now
	for process, p := range t.processes {
		p.leases = slices.DeleteFunc(p.leases, func(l lease) bool { return now >= l.expiresAt })
		p.inFlight = slices.DeleteFunc(p.inFlight, func(f inFlightTokens) bool { return now >= f.expiresAt })
		if p.expired(now) {
			delete(t.processes, process)
			continue
		}
		p.counted = contribution{}
		t.updateTotals(now, p)
	}
}

// refill adds the tokens accrued since the last call at the unallocated rate. Shares can only
// expire between calls, so the current allocation is an upper bound for the interval.
func (t *tenantState) refill(now time.Duration, config Config, withheld float64) {
	t.pool += max(t.limit.Rate-t.allocatedRate(withheld), 0) * (now - t.refilledAt).Seconds()
	t.refilledAt = now
	if now-t.sweptAt >= sweepInterval {
		t.sweep(now)
	}
	t.clampPool(config, withheld)
}

// clampPool limits the pool to the depth that is not allocated.
func (t *tenantState) clampPool(config Config, withheld float64) {
	t.pool = max(min(t.pool, t.poolCapacity(config, withheld)), 0)
}

// poolCapacity returns the number of tokens that the pool may hold.
func (t *tenantState) poolCapacity(config Config, withheld float64) float64 {
	return max(config.depth(t.limit)*(1-withheld)-t.allocated.Depth-t.inFlight, 0)
}

// allocatedRate returns the rate that is leased or withheld.
func (t *tenantState) allocatedRate(withheld float64) float64 {
	return t.allocated.Rate + withheld*t.limit.Rate
}

func (t *tenantState) process(process string) *processState {
	p := t.processes[process]
	if p == nil {
		p = &processState{}
		t.processes[process] = p
	}
	return p
}

// Sizing of shares.
const (
	// A node is leased a rate of at most maxDemandFraction of its demand, since what refills a
	// full bucket is lost to other nodes. With a tenant's clients spread thinly over 71 nodes and rates
	// for the whole demand, 0.56 of the requests of 12 s were refused. Half of the demand is used almost completely and
	// keeps the node running while the keeper is unavailable.
	maxDemandFraction = 0.5
	// minRateFraction of the limit may be leased in total even if demand is close to the limit.
	minRateFraction = 0.1
	// unusedRateFraction of a leased rate is assumed to go unused, an estimate; leases are sized so that this
	// loss fits into the headroom above the demand.
	unusedRateFraction = 0.65
	// maxDepthFraction of the depth may be leased; the rest stays in the pool.
	maxDepthFraction = 0.6
	// minShareDepth is the smallest useful bucket, one request. A bucket is no deeper than
	// baseDepth plus depthDemandWindow of the node's demand.
	minShareDepth     = 1
	baseDepth         = 2
	depthDemandWindow = 2 * time.Second
	// maxPrefetchFraction limits the tokens sent in one response for future requests, as a
	// fraction of the pool.
	maxPrefetchFraction = 0.25
	// reportTimeout is the age at which a process's last report is ignored.
	reportTimeout = 5 * time.Second
)

// computeShare returns the share for a process: its proportion of the total demand, limited by
// the capacity that is free.
func (t *tenantState) computeShare(config Config, p *processState, maxFraction, withheld float64) Share {
	if p.demand < minDemand {
		return Share{}
	}
	depth, total := config.depth(t.limit), max(t.demand, p.demand)
	freeDepth := (maxDepthFraction-withheld)*depth - t.allocated.Depth + p.counted.allocated.Depth
	freeRate := t.limit.Rate - t.allocatedRate(withheld) + p.counted.allocated.Rate
	share := Share{Depth: max(maxDepthFraction*depth*p.demand/total, minShareDepth)}
	share.Depth = min(share.Depth, baseDepth+p.demand*depthDemandWindow.Seconds(), freeDepth, maxFraction*depth)
	if share.Depth < minShareDepth {
		return Share{}
	}
	rate := max((t.limit.Rate-total)/unusedRateFraction, minRateFraction*t.limit.Rate) * p.demand / total
	share.Rate = max(min(maxDemandFraction*p.demand, rate, freeRate, maxFraction*t.limit.Rate), 0)
	return share
}

// drawTokens takes tokens from the pool for waiting requests, then for future requests up to
// the free space in the node's bucket. Tokens that exceed the pool's capacity after the lease
// of p go to p as well, so that a tenant's first requests find tokens.
func (t *tenantState) drawTokens(now time.Duration, config Config, p *processState, report Report, given lease, withheld float64) int {
	urgent := max(min(report.Waiting, int(t.pool)), 0)
	if urgent > 0 {
		t.pool -= float64(urgent)
		p.inFlight = append(p.inFlight, inFlightTokens{grant: given.grant, tokens: float64(urgent), expiresAt: now + MaxTransit})
		t.updateTotals(now, p)
	}
	prefetch := max(min(report.Requested-report.Waiting, int(maxPrefetchFraction*t.pool)), int(t.pool-t.poolCapacity(config, withheld)))
	prefetch = max(min(prefetch, int(given.share.Depth-report.Tokens), int(t.pool)), 0)
	t.pool -= float64(prefetch)
	return urgent + prefetch
}

// shortfallTTL is the age at which a process's shortfall is ignored.
const shortfallTTL = time.Second

// maxRetryAfter limits the estimate of retryAfter.
const maxRetryAfter = 2 * time.Second

// retryAfter estimates when the pool will cover the shortfall.
func (t *tenantState) retryAfter(withheld float64) time.Duration {
	free := t.limit.Rate - t.allocatedRate(withheld)
	if free <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(max(t.shortfall-t.pool, 1)/free*float64(time.Second)), maxRetryAfter)
}
