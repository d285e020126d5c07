package limiter

import "time"

// OwnTime measures the service time of a call without the time in which nested
// calls made by the target are in flight. It is not safe for concurrent use.
type OwnTime struct {
	inFlight   int // nested calls in flight
	hasNested  bool
	openSince  time.Duration
	nestedTime time.Duration
}

// DeeperBegins records the start of a nested call.
func (o *OwnTime) DeeperBegins(now time.Duration) {
	o.hasNested = true
	if o.inFlight == 0 {
		o.openSince = now
	}
	o.inFlight++
}

// DeeperEnds records the end of a nested call.
func (o *OwnTime) DeeperEnds(now time.Duration) {
	o.inFlight--
	if o.inFlight == 0 {
		o.nestedTime += now - o.openSince
	}
}

// MadeDeeper reports whether the target has made any nested call.
func (o *OwnTime) MadeDeeper() bool { return o.hasNested }

// Since returns the time between started and now in which no nested call was in
// flight.
func (o *OwnTime) Since(started, now time.Duration) time.Duration {
	nested := o.nestedTime
	if o.inFlight > 0 {
		nested += now - o.openSince
	}
	return max(now-started-nested, 0)
}
