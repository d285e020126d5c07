// Package retryafter chooses the Retry-After of refused requests. A sender that retries too early
// is refused again; one that retries too late has little time left to be served. Jitter keeps
// senders that were refused together from retrying together.
//
// The package uses no clock or randomness; callers pass random numbers.
package retryafter

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
)

// Delays before a refused sender may retry. A node that cannot serve is replaced or gets its
// configuration within about a second, and a busy gate has a free slot soon after a refusal.
const (
	notReadyDelay         = 500 * time.Millisecond
	noCapacityDelay       = 400 * time.Millisecond
	quotaUnavailableDelay = 300 * time.Millisecond
)

// Divisors of the sender's attempt timeout that give the maximum delay: long enough for an
// overload to end, short enough to leave most of the timeout.
const (
	shedDivisor  = 3
	quotaDivisor = 3
	rateDivisor  = 3
	// objectiveDivisor gives the longest delay that leaves half of the objective for serving.
	objectiveDivisor = 2
)

// Range is a range of delays from Min to Min+Spread.
type Range struct {
	Min, Spread time.Duration
}

// Draw returns the delay for a random number in [0, 1]. A delay of 0 means no Retry-After.
func (r Range) Draw(random float64) time.Duration {
	return r.Min + time.Duration(random*float64(r.Spread))
}

// jittered returns a range from minDelay to twice minDelay.
func jittered(minDelay time.Duration) Range { return Range{Min: minDelay, Spread: minDelay} }

// NotReady returns the delay for a node that cannot serve: it is stopping, or has no valid
// configuration.
func NotReady() Range { return Range{Min: notReadyDelay} }

// Shed returns the delay for a request refused by admission control at the start of its chain.
// attemptTimeout is how long its sender waits for one attempt.
func Shed(attemptTimeout time.Duration) Range { return jittered(attemptTimeout / (2 * shedDivisor)) }

// ShedByPrice returns the delay for a request refused by the congestion price of a service. The price
// follows the load within a second and prefers returning requests, so that one that returns within half
// of its objective can still be served in time. objective is that of the route; 0: none.
func ShedByPrice(attemptTimeout, objective time.Duration) Range {
	return jittered(longestByPrice(attemptTimeout, objective) / 2)
}

// longestByPrice returns the longest delay for a request refused by the congestion price of a service.
func longestByPrice(attemptTimeout, objective time.Duration) time.Duration {
	longest := attemptTimeout / shedDivisor
	if objective > 0 {
		longest = min(longest, objective/objectiveDivisor)
	}
	return longest
}

// NotRun returns the delay for a request that no target ran. Quarantined requests must not be
// retried.
func NotRun(reason outcome.Reason) Range {
	if reason == outcome.ReasonEndsTargets {
		return Range{}
	}
	return jittered(noCapacityDelay)
}

// RateLimited returns the delay for a request whose targets take no more at the rates that they state.
// nextToken is the time until one of them takes a further request, attemptTimeout how long the sender
// waits for one attempt.
func RateLimited(nextToken, attemptTimeout time.Duration) Range {
	longest := attemptTimeout / (2 * rateDivisor)
	return jittered(min(max(nextToken, noCapacityDelay), max(longest, noCapacityDelay)))
}

// QuotaUnavailable returns the delay for a request that is subject to a quota whose keeper is
// unreachable.
func QuotaUnavailable() Range { return jittered(quotaUnavailableDelay) }

// MaxQuotaDelay returns the maximum delay for a request over its tenant's quota. The keeper of the
// quota determines the actual delay.
func MaxQuotaDelay(attemptTimeout time.Duration) time.Duration { return attemptTimeout / quotaDivisor }
