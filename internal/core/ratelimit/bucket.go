package ratelimit

import "time"

const (
	// burstSpan is how much of the rate may arrive at once after a pause.
	burstSpan = time.Second
	// trialRate is the lowest rate enforced, in requests per second: only a response can lift a
	// limit, so that a target that states 0 still gets a request now and then.
	trialRate = 0.25
)

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate       float64 // tokens per second
	depth      float64 // most tokens
	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns an empty bucket for a stated rate, in requests per second.
func NewBucket(now time.Duration, rate float64) *Bucket {
	b := &Bucket{refilledAt: now}
	b.SetRate(now, rate)
	return b
}

// SetRate changes the rate. Tokens beyond the new depth are lost.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = max(rate, trialRate)
	b.depth = max(b.rate*burstSpan.Seconds(), 1)
	b.tokens = min(b.tokens, b.depth)
}

// Rate returns the rate that the bucket enforces, in requests per second; it is above 0.
func (b *Bucket) Rate() float64 { return b.rate }

// Depth returns the most tokens that the bucket holds.
func (b *Bucket) Depth() float64 { return b.depth }

// Tokens returns how many tokens there are, a fraction of the next one included.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.depth)
	b.refilledAt = now
}

// Ready reports whether there is a token.
func (b *Bucket) Ready(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Take takes a token and reports whether there was one.
func (b *Bucket) Take(now time.Duration) bool {
	if !b.Ready(now) {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until there are count tokens.
func (b *Bucket) Wait(now time.Duration, count int) time.Duration {
	b.refill(now)
	missing := float64(count) - b.tokens
	if missing <= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
