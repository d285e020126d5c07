package quota

import (
	"math"
	"time"
)

// Bucket is the local token bucket of one tenant at one node. It is not safe for concurrent use.
type Bucket struct {
	config     Config
	limit      Limit
	share      Share
	grant      GrantID
	expiresAt  time.Duration // end of the share
	tokens     float64
	refilledAt time.Duration // time of the last refill
	demand     rateEstimate
	askAfter   time.Duration // earliest time of the next request to the keeper
	unsettled  bool          // the last response was Unsettled
	exhausted  bool          // the last response had fewer tokens than waiting requests
	retryAt    time.Duration // estimated time at which tokens are available again
}

// Delays after a response with too few tokens.
const (
	// MaxQueueWait is the longest wait for tokens for which requests queue instead of being rejected.
	MaxQueueWait = 40 * time.Millisecond
	// maxAskBackoff limits the pause between requests to the keeper after a denial.
	maxAskBackoff = 250 * time.Millisecond
	minRetryAfter = 100 * time.Millisecond
)

// NewBucket returns an empty bucket.
func NewBucket(config Config, limit Limit, now time.Duration) *Bucket {
	return &Bucket{config: config, limit: limit, refilledAt: now, demand: rateEstimate{updatedAt: now}}
}

// SetLimit applies a new limit. If it is lower, the current share is scaled down in proportion.
func (h *Bucket) SetLimit(now time.Duration, limit Limit) {
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
	h.tokens = min(h.tokens, h.share.Depth)
	h.limit = limit
}

// refill adds the tokens accrued since the last call. An expired share leaves an empty bucket.
func (h *Bucket) refill(now time.Duration) {
	if now >= h.expiresAt {
		h.share, h.tokens, h.refilledAt = Share{}, 0, now
		return
	}
	h.tokens = min(h.tokens+h.share.Rate*(now-h.refilledAt).Seconds(), h.share.Depth)
	h.refilledAt = now
}

// Arrive records a request and reports whether a local token admits it.
func (h *Bucket) Arrive(now time.Duration) bool {
	h.demand.record(now)
	return h.Take(now)
}

// Take consumes a token and reports whether there was one.
func (h *Bucket) Take(now time.Duration) bool {
	h.refill(now)
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// Return returns the token of a request that did not run.
func (h *Bucket) Return(now time.Duration) {
	h.refill(now)
	h.tokens = min(h.tokens+1, h.share.Depth)
}

// CanRequest reports whether the backoff after a denial is over.
func (h *Bucket) CanRequest(now time.Duration) bool { return now >= h.askAfter }

// Idle reports that the share has expired and the tenant's demand is negligible.
func (h *Bucket) Idle(now time.Duration) bool {
	return now >= h.expiresAt && h.demand.rate(now) < minDemand
}

// prefetchWindow is how far ahead of the current demand tokens are requested.
const prefetchWindow = 500 * time.Millisecond

// NeedsTokens reports that an active tenant's bucket is empty and the keeper may be asked for tokens.
func (h *Bucket) NeedsTokens(now time.Duration) bool {
	h.refill(now)
	return h.tokens < 1 && now >= h.askAfter && h.demand.rate(now) >= minDemand
}

// Report builds the request to the keeper; waiting is the number of requests waiting for a
// token. Tokens are requested only when the bucket is empty or requests wait, and then for
// prefetchWindow of demand: this saves messages without taking tokens that other nodes need.
func (h *Bucket) Report(now time.Duration, tenant string, waiting int) Report {
	h.refill(now)
	report := Report{Tenant: tenant, Demand: h.demand.rate(now), Tokens: h.tokens, Share: h.share, Grant: h.grant, Remaining: max(h.expiresAt-now, 0)}
	if now < h.askAfter {
		return report
	}
	report.Waiting, report.Requested = waiting, waiting
	if waiting > 0 || h.tokens < 1 {
		ahead := 1 + report.Demand*prefetchWindow.Seconds()
		report.Requested += int(max(min(ahead, h.share.Depth)-h.tokens, 0))
	}
	return report
}

// Allot applies the keeper's response to a request started at asked and returns its tokens.
// Tokens in flight for MaxTransit or longer are discarded, since the keeper no longer counts them.
func (h *Bucket) Allot(now, asked time.Duration, given Allotment) (tokens int) {
	h.refill(now)
	if end := asked + given.TTL; end > now {
		h.share, h.grant, h.expiresAt = given.Share, given.Grant, end
		h.tokens = min(h.tokens, h.share.Depth)
	}
	h.unsettled = given.Unsettled
	h.exhausted = given.RetryAfter > 0
	if h.exhausted {
		h.retryAt = now + given.RetryAfter
	}
	if given.RetryAfter > MaxQueueWait {
		h.askAfter = now + min(given.RetryAfter, maxAskBackoff)
	}
	if now-asked >= MaxTransit {
		return 0
	}
	return given.Tokens
}

// LimitReached reports that the limit is reached: the last response had fewer tokens than waiting
// requests although the keeper knew all shares.
func (h *Bucket) LimitReached() bool { return h.exhausted && !h.unsettled }

// Add adds unused tokens to the bucket, up to its depth.
func (h *Bucket) Add(now time.Duration, tokens int) {
	h.refill(now)
	h.tokens = min(h.tokens+float64(tokens), h.share.Depth)
}

// RetryAfter returns the Retry-After delay for a rejected request, at most most.
func (h *Bucket) RetryAfter(now, most time.Duration) time.Duration {
	return min(max(h.retryAt-now, minRetryAfter), most)
}

// Share returns the current share and its remaining lifetime.
func (h *Bucket) Share(now time.Duration) (share Share, left time.Duration) {
	h.refill(now)
	return h.share, max(h.expiresAt-now, 0)
}

// Parameters of the demand estimate.
const (
	demandTimeConstant = 2 * time.Second // of the exponential smoothing
	minDemand          = 0.05            // requests per second; lower demand counts as none
)

// rateEstimate is the exponentially smoothed arrival rate of a tenant's requests.
type rateEstimate struct {
	value     float64 // requests per second
	updatedAt time.Duration
}

func (r *rateEstimate) record(now time.Duration) {
	r.value = r.rate(now) + 1/demandTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rateEstimate) rate(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/demandTimeConstant.Seconds())
}
