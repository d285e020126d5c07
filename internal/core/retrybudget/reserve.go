package retrybudget

import "time"

// Fractions of a chain's retry budget that a node reserves for its own retries. The rest is
// passed downstream to the nodes that make the calls, since retrying one call costs less than
// retrying the chain above it.
const (
	baseReserve    = 0.1
	raisedReserve  = 0.5
	raisedDuration = 2 * time.Second // after a retry that failed because a downstream budget was exhausted
)

// Reserve determines which fraction of the downstream retry budgets a node reserves for retries of
// requests that start at it. The fraction is raised while those budgets are exhausted, because
// retrying such a request repeats all its downstream calls. It is not safe for concurrent use.
type Reserve struct {
	raisedUntil time.Duration
}

// BudgetExhausted records a retry that was not made because a downstream budget was exhausted.
func (r *Reserve) BudgetExhausted(now time.Duration) { r.raisedUntil = now + raisedDuration }

// Fraction returns the fraction reserved now.
func (r *Reserve) Fraction(now time.Duration) float64 {
	if now < r.raisedUntil {
		return raisedReserve
	}
	return baseReserve
}
