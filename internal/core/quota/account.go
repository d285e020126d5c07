package quota

import (
	"slices"
	"time"
)

// account is what a keeper knows of one tenant.
type account struct {
	limit    Limit
	pool     float64 // tokens that are in no share
	at       time.Duration
	holdings map[string]*holding // by process
	// Sums over all holdings, so that an answer does not look at each. What ends between
	// two sweeps still counts.
	held    Share
	flight  float64 // tokens under way to requests
	demand  float64
	lacking float64 // tokens that processes lacked at their last questions
	swept   time.Duration
}

// sweepEvery is the time after which sums are counted anew.
const sweepEvery = 100 * time.Millisecond

// drawn are tokens for requests that wait, which may not have reached their node yet.
type drawn struct {
	number int64 // of the answer that they went with
	tokens float64
	until  time.Duration
}

// holding is what one process holds of a tenant, or may hold.
type holding struct {
	grants   []granted // by rising number
	underWay []drawn
	demand   float64
	lacks    float64 // tokens that were not there at its last question
	seen     time.Duration
	counted  counted
}

// counted is what of a holding is in the sums of its account.
type counted struct {
	held   Share
	flight float64
	demand float64
	lacks  float64
}

// granted is a share that a process may have.
type granted struct {
	number int64 // 0: of an earlier epoch
	share  Share
	until  time.Duration
}

// confirm takes in what the process says that it holds. Shares given before that one have
// been replaced; shares given after it may be under way.
func (h *holding) confirm(now time.Duration, epoch int64, report Report) {
	h.demand, h.seen = report.Demand, now
	if report.Left <= 0 {
		return
	}
	if report.Grant.Epoch != epoch {
		h.grants = append([]granted{{share: report.Held, until: now + report.Left}}, h.grants...)
		return
	}
	h.grants = slices.DeleteFunc(h.grants, func(one granted) bool { return one.number < report.Grant.Number })
	h.underWay = slices.DeleteFunc(h.underWay, func(one drawn) bool { return one.number <= report.Grant.Number })
}

// grantsMost is the number of shares of one process that are told apart.
const grantsMost = 8

func (h *holding) offer(one granted) {
	h.grants = append(h.grants, one)
	if len(h.grants) <= grantsMost {
		return
	}
	merged := h.grants[1]
	merged.share, merged.until = merged.share.larger(h.grants[0].share), max(merged.until, h.grants[0].until)
	h.grants = append([]granted{merged}, h.grants[2:]...)
}

// held is the most that the process may hold.
func (h *holding) held(now time.Duration) (most Share) {
	for _, one := range h.grants {
		if now < one.until {
			most = most.larger(one.share)
		}
	}
	return most
}

func (h *holding) over(now time.Duration) bool {
	return now-h.seen >= forgotten && !slices.ContainsFunc(h.grants, func(one granted) bool { return now < one.until })
}

// count brings the sums in line with a holding that has changed.
func (a *account) count(now time.Duration, one *holding) {
	is := counted{held: one.held(now)}
	for _, d := range one.underWay {
		is.flight += d.tokens
	}
	if now-one.seen < forgotten {
		is.demand = one.demand
	}
	if now-one.seen < lacksFor {
		is.lacks = one.lacks
	}
	a.held.Rate += is.held.Rate - one.counted.held.Rate
	a.held.Depth += is.held.Depth - one.counted.held.Depth
	a.flight += is.flight - one.counted.flight
	a.demand += is.demand - one.counted.demand
	a.lacking += is.lacks - one.counted.lacks
	one.counted = is
}

// sweep drops what has ended and counts the sums anew.
func (a *account) sweep(now time.Duration) {
	a.held, a.flight, a.demand, a.lacking, a.swept = Share{}, 0, 0, 0, now
	for process, one := range a.holdings {
		one.grants = slices.DeleteFunc(one.grants, func(g granted) bool { return now >= g.until })
		one.underWay = slices.DeleteFunc(one.underWay, func(d drawn) bool { return now >= d.until })
		if one.over(now) {
			delete(a.holdings, process)
			continue
		}
		one.counted = counted{}
		a.count(now, one)
	}
}

// refill adds to the pool what came in since, at the rate that was in no share. Shares
// only end between two answers, so that those of the last one are the most.
func (a *account) refill(now time.Duration, config Config, withheld float64) {
	a.pool += max(a.limit.Rate-a.shared(withheld), 0) * (now - a.at).Seconds()
	a.at = now
	if now-a.swept >= sweepEvery {
		a.sweep(now)
	}
	a.clip(config, withheld)
}

// clip keeps what lies ready within the depth of the limit.
func (a *account) clip(config Config, withheld float64) {
	a.pool = max(min(a.pool, a.room(config, withheld)), 0)
}

// room is how many tokens the pool may hold.
func (a *account) room(config Config, withheld float64) float64 {
	return max(config.depth(a.limit)*(1-withheld)-a.held.Depth-a.flight, 0)
}

// shared is the rate that is in shares or withheld.
func (a *account) shared(withheld float64) float64 { return a.held.Rate + withheld*a.limit.Rate }

func (a *account) holding(process string) *holding {
	one := a.holdings[process]
	if one == nil {
		one = &holding{}
		a.holdings[process] = one
	}
	return one
}

// Parts of a limit that are given as shares.
const (
	// sharedRate is the most of its demand for which a node gets a rate, leastRate the least
	// of the limit that all rates together have. What comes in while the stock is full is
	// nobody's: with the clients of a tenant thinly spread over 71 nodes and rates for the
	// whole demand, 0.56 of the requests of 12 s were refused.
	// Half is used up nearly whole, and lasts while the keeper is away. wastedRate is what a
	// rate is taken to lose, as a part of the demand (reckoned, not measured): where demand
	// comes near to the limit there is less to lose.
	sharedRate = 0.5
	leastRate  = 0.1
	wastedRate = 0.65
	// sharedDepth leaves some of the stock to the pool.
	sharedDepth = 0.6
	// usefulDepth is the least that a stock needs for one request; a node gets no more
	// than for some requests and for depthTime of its demand.
	usefulDepth = 1
	someDepth   = 2
	depthTime   = 2 * time.Second
	// ahead is the part of the pool that one answer gives for requests to come.
	ahead = 0.25
	// forgotten is the time without a report after which a demand no longer counts.
	forgotten = 5 * time.Second
)

// share gives a process its part by its part of the demand, as far as it is free.
func (a *account) share(config Config, held *holding, part, withheld float64) Share {
	if held.demand < demandLeast {
		return Share{}
	}
	whole, total := config.depth(a.limit), max(a.demand, held.demand)
	freeDepth := (sharedDepth-withheld)*whole - a.held.Depth + held.counted.held.Depth
	freeRate := a.limit.Rate - a.shared(withheld) + held.counted.held.Rate
	given := Share{Depth: max(sharedDepth*whole*held.demand/total, usefulDepth)}
	given.Depth = min(given.Depth, someDepth+held.demand*depthTime.Seconds(), freeDepth, part*whole)
	if given.Depth < usefulDepth {
		return Share{}
	}
	rate := max((a.limit.Rate-total)/wastedRate, leastRate*a.limit.Rate) * held.demand / total
	given.Rate = max(min(sharedRate*held.demand, rate, freeRate, part*a.limit.Rate), 0)
	return given
}

// draw takes tokens out of the pool: for requests that wait, then for requests to come, as
// far as the node's stock has room. Tokens that the pool has no room for since depth has
// gone to the node go with it: else a tenant's first requests would find empty stocks.
func (a *account) draw(now time.Duration, config Config, held *holding, report Report, given granted, withheld float64) int {
	urgent := max(min(report.Need, int(a.pool)), 0)
	if urgent > 0 {
		a.pool -= float64(urgent)
		held.underWay = append(held.underWay, drawn{number: given.number, tokens: float64(urgent), until: now + Travel})
		a.count(now, held)
	}
	later := max(min(report.Want-report.Need, int(ahead*a.pool)), int(a.pool-a.room(config, withheld)))
	later = max(min(later, int(given.share.Depth-report.Stock), int(a.pool)), 0)
	a.pool -= float64(later)
	return urgent + later
}

// lacksFor is how long the tokens count that a process lacked.
const lacksFor = time.Second

// againMost bounds the time after which a node may ask again.
const againMost = 2 * time.Second

// again is when there may be tokens for what was lacking, as far as that can be told.
func (a *account) again(withheld float64) time.Duration {
	free := a.limit.Rate - a.shared(withheld)
	if free <= 0 {
		return againMost
	}
	return min(time.Duration(max(a.lacking-a.pool, 1)/free*float64(time.Second)), againMost)
}
