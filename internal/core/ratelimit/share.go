package ratelimit

import "time"

// minSenders is how many senders may use a target of any rate.
const minSenders = 4

// NewShare returns the bucket of one of several senders that keep a stated rate without a common
// gate. rank is the sender's place in an order of all senders that each of them computes alike for
// the target. Each bucket holds one token, and all may be taken at once; only so many senders
// therefore get a part of the rate as the target bears requests at once. The others get nil.
func NewShare(now time.Duration, rate float64, rank, senders int) *Bucket {
	sharing := min(minSenders+int(rate*burstSpan.Seconds()), max(senders, 1))
	if rank >= sharing {
		return nil
	}
	return &Bucket{rate: max(rate, trialRate) / float64(sharing), depth: 1, refilledAt: now}
}
