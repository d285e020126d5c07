package retrybudget

import "time"

// AllowanceShare determines a node's part of the deployment's allowance. The parts of all nodes
// must not exceed the allowance in any window, even if processes restart and lose their counts:
//
//   - a restarted process gets no part for one window, because its predecessor may have used it;
//   - a node gets no part before it knows the number of members;
//   - the parts of departed members are redistributed after two windows.
//
// In a network partition that lasts longer, each side divides the whole allowance among its own
// members. It is not safe for concurrent use.
type AllowanceShare struct {
	window     time.Duration
	activeFrom time.Duration // the part is 0 before
	members    int
	lowerCount int           // highest count since lowerSince, or members
	lowerSince time.Duration // when the count fell below members
}

// departureWindows is the number of windows for which departed members still count.
const departureWindows = 2

// NewAllowanceShare returns the share of a process that starts now. first means that no process of the
// node ran before.
func NewAllowanceShare(window time.Duration, first bool) *AllowanceShare {
	s := &AllowanceShare{window: window}
	if !first {
		// Add one slice, since budgets count in slices.
		s.activeFrom = window + window/windowSlices
	}
	return s
}

// SetMembers records the number of members, including this node.
func (s *AllowanceShare) SetMembers(now time.Duration, members int) {
	s.applyLowerCount(now)
	switch {
	case members >= s.members:
		s.members, s.lowerCount = members, members
	case s.lowerCount == s.members:
		s.lowerCount, s.lowerSince = members, now
	default:
		// Keep the highest count of the period.
		s.lowerCount = max(s.lowerCount, members)
	}
}

// applyLowerCount reduces the members once the count has been lower for long enough.
func (s *AllowanceShare) applyLowerCount(now time.Duration) {
	if s.lowerCount < s.members && now-s.lowerSince >= departureWindows*s.window {
		s.members = s.lowerCount
	}
}

// Fraction returns the node's part of an allowance.
func (s *AllowanceShare) Part(now time.Duration, allowance float64) float64 {
	s.applyLowerCount(now)
	if now < s.activeFrom || s.members == 0 {
		return 0
	}
	return allowance / float64(s.members)
}
