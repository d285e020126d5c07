package repeats

import "time"

// Share works out which part of the deployment's allowance is a node's own. The
// parts of all nodes must never exceed the whole, also when processes end and come
// back with no memory of what they have spent:
//
//   - a process that is not the first of its node has no part for a window, in
//     which the one before may have spent it;
//   - a node that has not counted the others has none;
//   - members that go leave their parts to the rest after two windows.
//
// Two halves of a deployment that know nothing of each other for longer than that
// count half the members each. It is not safe for concurrent use.
type Share struct {
	window  time.Duration
	from    time.Duration // no part before
	members int
	last    int           // last count that was lower than members, or equal
	since   time.Duration // when the count fell below members
}

// windowsUntilGone is how long members count that have gone.
const windowsUntilGone = 2

// NewShare makes the share of a process that starts now, on its own clock. first
// tells that no process of the node ran before.
func NewShare(window time.Duration, first bool) *Share {
	s := &Share{window: window}
	if !first {
		// A slice more: a budget counts in slices.
		s.from = window + window/windowSlices
	}
	return s
}

// Count takes in how many members there are, the node itself among them.
func (s *Share) Count(now time.Duration, members int) {
	s.settle(now)
	switch {
	case members >= s.members:
		s.members, s.last = members, members
	case s.last == s.members:
		s.last, s.since = members, now
	default:
		// The highest count of the time counts.
		s.last = max(s.last, members)
	}
}

// settle lowers the count once it has been lower long enough.
func (s *Share) settle(now time.Duration) {
	if s.last < s.members && now-s.since >= windowsUntilGone*s.window {
		s.members = s.last
	}
}

// Of gives the node's part of an allowance.
func (s *Share) Of(now time.Duration, allowance float64) float64 {
	s.settle(now)
	if now < s.from || s.members == 0 {
		return 0
	}
	return allowance / float64(s.members)
}
