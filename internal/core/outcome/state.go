package outcome

import "github.com/landingmast/landingmast/internal/core/ratelimit"

// TargetState is what a target states about itself in each of its responses.
type TargetState struct {
	Instance  string  // of the target
	RateLimit float64 // requests per second from all senders; ratelimit.Unlimited: none
	Leaving   bool    // the target accepts no new requests
}

// Stated reports whether the target states anything that senders must follow.
func (s TargetState) Stated() bool { return s.Leaving || s.RateLimit != ratelimit.Unlimited }
