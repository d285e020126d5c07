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
func (o *SelfTime) DownstreamStarted(now time.Duration) {
	o.hasNested = true
	if o.inFlight == 0 {
		o.openSince = now
	}
	o.inFlight++
}

// DownstreamEnded records the end of a nested call.
func (o *SelfTime) DownstreamEnded(now time.Duration) {
	o.inFlight--
	if o.inFlight == 0 {
		o.nestedTime += now - o.openSince
	}
}

// HasDownstream reports whether the target has made any nested call.
func (o *SelfTime) HasDownstream() bool { return o.hasNested }

// Elapsed returns the time between started and now in which no nested call was in
// flight.
func (o *SelfTime) Elapsed(started, now time.Duration) time.Duration {
	nested := o.nestedTime
	if o.inFlight > 0 {
		nested += now - o.openSince
	}
	return max(now-started-nested, 0)
}
