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
func (b *Bucket) SetLimit(now time.Duration, limit Limit) {
	if limit == b.limit {
		return
	}
	b.refill(now)
	if limit.Rate < b.limit.Rate {
		b.share.Rate *= limit.Rate / b.limit.Rate
	}
	if before, after := b.config.depth(b.limit), b.config.depth(limit); after < before {
		b.share.Depth *= after / before
	}
	b.tokens = min(b.tokens, b.share.Depth)
	b.limit = limit
}

// refill adds the tokens accrued since the last call. An expired share leaves an empty bucket.
func (b *Bucket) refill(now time.Duration) {
	if now >= b.expiresAt {
		b.share, b.tokens, b.refilledAt = Share{}, 0, now
		return
	}
	b.tokens = min(b.tokens+b.share.Rate*(now-b.refilledAt).Seconds(), b.share.Depth)
	b.refilledAt = now
}

// Arrive records a request and reports whether a local token admits it.
func (b *Bucket) Arrive(now time.Duration) bool {
	b.demand.record(now)
	return b.Take(now)
}

// Take consumes a token and reports whether there was one.
func (b *Bucket) Take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return returns the token of a request that did not run.
func (b *Bucket) Return(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.share.Depth)
}

// CanRequest reports whether the backoff after a denial is over.
func (b *Bucket) CanRequest(now time.Duration) bool { return now >= b.askAfter }

// Idle reports that the share has expired and the tenant's demand is negligible.
func (b *Bucket) Idle(now time.Duration) bool {
	return now >= b.expiresAt && b.demand.rate(now) < minDemand
}

// prefetchWindow is how far ahead of the current demand tokens are requested.
const prefetchWindow = 500 * time.Millisecond

// NeedsTokens reports that an active tenant's bucket is empty and the keeper may be asked for tokens.
func (b *Bucket) NeedsTokens(now time.Duration) bool {
	b.refill(now)
	return b.tokens < 1 && now >= b.askAfter && b.demand.rate(now) >= minDemand
}

// Report builds the request to the keeper; waiting is the number of requests waiting for a
// token. Tokens are requested only when the bucket is empty or requests wait, and then for
// prefetchWindow of demand: this saves messages without taking tokens that other nodes need.
func (b *Bucket) Report(now time.Duration, tenant string, waiting int) Report {
	b.refill(now)
	report := Report{Tenant: tenant, Demand: b.demand.rate(now), Tokens: b.tokens, Share: b.share, Grant: b.grant, Remaining: max(b.expiresAt-now, 0)}
	if now < b.askAfter {
		return report
	}
	report.Waiting, report.Requested = waiting, waiting
	if waiting > 0 || b.tokens < 1 {
		ahead := 1 + report.Demand*prefetchWindow.Seconds()
		report.Requested += int(max(min(ahead, b.share.Depth)-b.tokens, 0))
	}
	return report
}

// Allot applies the keeper's response to a request started at asked and returns its tokens.
// Tokens in flight for MaxTransit or longer are discarded, since the keeper no longer counts them.
func (b *Bucket) Allot(now, asked time.Duration, given Allotment) (tokens int) {
	b.refill(now)
	if end := asked + given.TTL; end > now {
		b.share, b.grant, b.expiresAt = given.Share, given.Grant, end
		b.tokens = min(b.tokens, b.share.Depth)
	}
	b.unsettled = given.Unsettled
	b.exhausted = given.RetryAfter > 0
	if b.exhausted {
		b.retryAt = now + given.RetryAfter
	}
	if given.RetryAfter > MaxQueueWait {
		b.askAfter = now + min(given.RetryAfter, maxAskBackoff)
	}
	if now-asked >= MaxTransit {
		return 0
	}
	return given.Tokens
}

// LimitReached reports that the limit is reached: the last response had fewer tokens than waiting
// requests although the keeper knew all shares.
func (b *Bucket) LimitReached() bool { return b.exhausted && !b.unsettled }

// Add adds unused tokens to the bucket, up to its depth.
func (b *Bucket) Add(now time.Duration, tokens int) {
	b.refill(now)
	b.tokens = min(b.tokens+float64(tokens), b.share.Depth)
}

// RetryAfter returns the Retry-After delay for a rejected request, at most most.
func (b *Bucket) RetryAfter(now, most time.Duration) time.Duration {
	return min(max(b.retryAt-now, minRetryAfter), most)
}

// Share returns the current share and its remaining lifetime.
func (b *Bucket) Share(now time.Duration) (share Share, left time.Duration) {
	b.refill(now)
	return b.share, max(b.expiresAt-now, 0)
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
