// Package ratelimit holds the request rate that a target states in its responses: which of
// several statements is in force, and the token bucket that enforces it. Rates are requests per
// second over all senders. The package uses no clock or locks; times are on the caller's clock.
package ratelimit

import (
	"math"
	"time"
)

// Unlimited is the rate of a target that states none.
var Unlimited = math.Inf(1)

// Stated is the rate that a target states. Its zero value is not valid; use NewStated.
type Stated struct {
	rate float64
	at   time.Duration // arrival of the last response that stated rate
}

// NewStated returns the state of a target that has not stated a rate.
func NewStated() Stated { return Stated{rate: Unlimited} }

// Rate returns the rate in force, or Unlimited.
func (s *Stated) Rate() float64 { return s.rate }

// Observe applies the rate stated in a response that arrives now, and reports whether the rate in
// force changes. Responses may overtake each other: a higher rate counts only if its request was
// sent after the lower one had arrived. A lower rate counts at once.
func (s *Stated) Observe(now, sentAt time.Duration, rate float64) bool {
	if rate > s.rate && sentAt < s.at {
		return false
	}
	changed := rate != s.rate
	s.rate, s.at = rate, now
	return changed
}
