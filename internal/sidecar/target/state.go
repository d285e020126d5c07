package target

import "time"

// ObserveRate applies the rate stated in a response to a request that was sent at sentAt, and
// reports whether the rate in force changes.
func (g *Gate) ObserveRate(sentAt time.Duration, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stated.Observe(g.now(), sentAt, rate)
}

// RateLimit returns the rate that the target states, in requests per second, or
// ratelimit.Unlimited.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stated.Rate()
}

// ObserveLeaving records that a response stated that the target leaves, and reports whether this
// was not known.
func (g *Gate) ObserveLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.leaving
	g.leaving = true
	return first
}
