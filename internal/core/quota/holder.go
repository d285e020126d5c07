package quota

import (
	"math"
	"time"
)

// Holder is the stock of one tenant at one node. It is not safe for concurrent use.
type Holder struct {
	config    Config
	limit     Limit
	share     Share
	grant     Grant
	until     time.Duration // end of the share
	stock     float64
	at        time.Duration // of stock
	demand    demand
	denied    time.Duration // the keeper has no tokens before
	unsettled bool          // since it did not know what was given before it
	short     bool          // the last answer had fewer tokens than requests waited
	comeBack  time.Duration // when there may be some again
}

// Times of a node whose tenant's tokens are used up.
const (
	// Soon is a time that requests wait for tokens rather than be refused.
	Soon = 40 * time.Millisecond
	// deniedMost is the longest time in which a node does not ask again.
	deniedMost    = 250 * time.Millisecond
	comeBackLeast = 100 * time.Millisecond
)

// NewHolder makes the empty stock of a tenant.
func NewHolder(config Config, limit Limit, now time.Duration) *Holder {
	return &Holder{config: config, limit: limit, at: now, demand: demand{at: now}}
}

// SetLimit takes in the limit in force. What the node holds of a larger one is cut down.
func (h *Holder) SetLimit(now time.Duration, limit Limit) {
	if limit == h.limit {
		return
	}
	h.refill(now)
	if limit.Rate < h.limit.Rate {
		h.share.Rate *= limit.Rate / h.limit.Rate
	}
	if before, after := h.config.depth(h.limit), h.config.depth(limit); after < before {
		h.share.Depth *= after / before
	}
	h.stock = min(h.stock, h.share.Depth)
	h.limit = limit
}

// refill adds what has come in. A share that has ended leaves nothing.
func (h *Holder) refill(now time.Duration) {
	if now >= h.until {
		h.share, h.stock, h.at = Share{}, 0, now
		return
	}
	h.stock = min(h.stock+h.share.Rate*(now-h.at).Seconds(), h.share.Depth)
	h.at = now
}

// Arrive notes a request. It gives true when a token of the stock lets it in.
func (h *Holder) Arrive(now time.Duration) bool {
	h.demand.add(now)
	return h.Take(now)
}

// Take takes a token out of the stock.
func (h *Holder) Take(now time.Duration) bool {
	h.refill(now)
	if h.stock < 1 {
		return false
	}
	h.stock--
	return true
}

// GiveBack returns the token of a request that has not run.
func (h *Holder) GiveBack(now time.Duration) {
	h.refill(now)
	h.stock = min(h.stock+1, h.share.Depth)
}

// MayAsk tells whether the keeper may have tokens by now.
func (h *Holder) MayAsk(now time.Duration) bool { return now >= h.denied }

// Idle tells that the tenant has sent nothing for long and holds nothing.
func (h *Holder) Idle(now time.Duration) bool {
	return now >= h.until && h.demand.rate(now) < demandLeast
}

// wantAhead is the time for whose demand tokens are asked for.
const wantAhead = 500 * time.Millisecond

// Low tells that the stock has no token for the next request of a tenant that sends some.
func (h *Holder) Low(now time.Duration) bool {
	h.refill(now)
	return h.stock < 1 && now >= h.denied && h.demand.rate(now) >= demandLeast
}

// Report tells the keeper what the node needs. waiting is the number of requests that
// wait for a token now. Tokens are asked for only when the stock is low, and then for some
// time ahead, so that there are few questions; what lies in one stock another node lacks.
func (h *Holder) Report(now time.Duration, tenant string, waiting int) Report {
	h.refill(now)
	report := Report{Tenant: tenant, Demand: h.demand.rate(now), Stock: h.stock, Held: h.share, Grant: h.grant, Left: max(h.until-now, 0)}
	if now < h.denied {
		return report
	}
	report.Need, report.Want = waiting, waiting
	if waiting > 0 || h.stock < 1 {
		ahead := 1 + report.Demand*wantAhead.Seconds()
		report.Want += int(max(min(ahead, h.share.Depth)-h.stock, 0))
	}
	return report
}

// Allot takes in the keeper's answer to a question that began at asked, and gives the
// tokens that came with it. Those that were under way for too long are dropped.
func (h *Holder) Allot(now, asked time.Duration, given Allotment) (tokens int) {
	h.refill(now)
	if end := asked + given.Life; end > now {
		h.share, h.grant, h.until = given.Share, given.Grant, end
		h.stock = min(h.stock, h.share.Depth)
	}
	h.unsettled = given.Unsettled
	h.short = given.Again > 0
	if h.short {
		h.comeBack = now + given.Again
	}
	if given.Again > Soon {
		h.denied = now + min(given.Again, deniedMost)
	}
	if now-asked >= Travel {
		return 0
	}
	return given.Tokens
}

// Spent tells that the keeper had too few tokens at the last answer: the limit is reached.
func (h *Holder) Spent() bool { return h.short && !h.unsettled }

// Store puts tokens that nobody waits for into the stock, as far as there is room.
func (h *Holder) Store(now time.Duration, tokens int) {
	h.refill(now)
	h.stock = min(h.stock+float64(tokens), h.share.Depth)
}

// ComeBack gives the time after which a refused request may find room, within most.
func (h *Holder) ComeBack(now, most time.Duration) time.Duration {
	return min(max(h.comeBack-now, comeBackLeast), most)
}

// Held gives the share and when it ends.
func (h *Holder) Held(now time.Duration) (share Share, left time.Duration) {
	h.refill(now)
	return h.share, max(h.until-now, 0)
}

// Times of the demand that a node reports.
const (
	demandTime  = 2 * time.Second // time constant
	demandLeast = 0.05            // a second; less is none
)

// demand is the smoothed rate of a tenant's requests.
type demand struct {
	value float64 // a second
	at    time.Duration
}

func (d *demand) add(now time.Duration) { d.value = d.rate(now) + 1/demandTime.Seconds(); d.at = now }

func (d *demand) rate(now time.Duration) float64 {
	return d.value * math.Exp(-(now-d.at).Seconds()/demandTime.Seconds())
}
