package pricing

import "time"

// startingDeadlines tells requests that return after a refusal from new ones: clients count their
// deadline from the first attempt, so that a returning request states less time than new ones of its
// route do.
type startingDeadlines struct {
	routes map[string]*startingDeadline
}

// startingDeadline is the longest deadline that requests of a route stated lately.
type startingDeadline struct {
	longest time.Duration
	at      time.Duration
}

const (
	// returningFraction is the fraction of the longest deadline below which a request counts as
	// returning. Rounding and the way to the node take less of it than the wait after a refusal.
	returningFraction = 0.97
	// deadlineExpiry is how long a longest deadline holds that no request states any more.
	deadlineExpiry = 10 * time.Second
	// deadlineWeight is how far each shorter deadline moves the longest one, so that a single client with a
	// long deadline does not make all others look returning.
	deadlineWeight = 0.1
	// maxDeadlineRoutes bounds the routes that are tracked.
	maxDeadlineRoutes = 4096
)

// returning records the deadline that a request states and reports whether the request returns. A
// deadline of 0 is unknown.
func (s *startingDeadlines) returning(now time.Duration, name string, deadline time.Duration) bool {
	if deadline <= 0 {
		return false
	}
	known := s.routes[name]
	if known == nil {
		if len(s.routes) >= maxDeadlineRoutes {
			clear(s.routes)
		}
		known = &startingDeadline{}
		s.routes[name] = known
	}
	if deadline >= known.longest || now-known.at > deadlineExpiry {
		known.longest, known.at = deadline, now
		return false
	}
	returning := float64(deadline) < returningFraction*float64(known.longest)
	known.longest -= time.Duration(deadlineWeight * float64(known.longest-deadline))
	return returning
}
