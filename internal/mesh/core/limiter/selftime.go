package limiter

import "time"

// SelfTime measures the service time of a call without the time in which nested
// calls made by the target are in flight. It is not safe for concurrent use.
type SelfTime struct {
	inFlight   int // nested calls in flight
	hasNested  bool
	openSince  time.Duration
	nestedTime time.Duration
}

// DownstreamStarted records the start of a nested call.
func (s *SelfTime) DownstreamStarted(now time.Duration) {
	s.hasNested = true
	if s.inFlight == 0 {
		s.openSince = now
	}
	s.inFlight++
}

// DownstreamEnded records the end of a nested call.
func (s *SelfTime) DownstreamEnded(now time.Duration) {
	s.inFlight--
	if s.inFlight == 0 {
		s.nestedTime += now - s.openSince
	}
}

// HasDownstream reports whether the target has made any nested call.
func (s *SelfTime) HasDownstream() bool { return s.hasNested }

// Elapsed returns the time between started and now in which no nested call was in
// flight.
func (s *SelfTime) Elapsed(started, now time.Duration) time.Duration {
	nested := s.nestedTime
	if s.inFlight > 0 {
		nested += now - s.openSince
	}
	return max(now-started-nested, 0)
}
