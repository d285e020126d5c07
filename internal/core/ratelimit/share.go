package ratelimit

import "time"

// minSharing is how many senders share the rate of a target, whatever it is.
const minSharing = 4

// NewShare returns the bucket of one of several senders that keep a stated rate without a common
// gate. rank is the sender's place in an order of all senders that each of them computes alike for
// the target. Each bucket holds one token, and all may be taken at once; the rate is therefore shared
// by only so many senders as the target bears requests at once. The others together get trialRate,
// from which they learn when the limit is lifted.
func NewShare(now time.Duration, rate float64, rank, senders int) *Bucket {
	senders = max(senders, 1)
	sharing := min(minSharing+int(rate*burstSpan.Seconds()), senders)
	part := max(rate, trialRate) / float64(sharing)
	if rank >= sharing {
		part = trialRate / float64(senders)
	}
	return &Bucket{rate: part, depth: 1, refilledAt: now}
}
