package limiter

import "time"

// OwnTime separates the time that a target itself takes for a call from the time
// in which it waits for deeper calls. It is not safe for concurrent use.
type OwnTime struct {
	open   int // deeper calls that are open now
	made   bool
	from   time.Duration
	deeper time.Duration
}

// DeeperBegins notes that the target opened a call of its own.
func (o *OwnTime) DeeperBegins(now time.Duration) {
	o.made = true
	if o.open == 0 {
		o.from = now
	}
	o.open++
}

// DeeperEnds notes the end of such a call.
func (o *OwnTime) DeeperEnds(now time.Duration) {
	o.open--
	if o.open == 0 {
		o.deeper += now - o.from
	}
}

// MadeDeeper tells whether the target has made any call of its own.
func (o *OwnTime) MadeDeeper() bool { return o.made }

// Since gives the part of the time since started in which no deeper call was open.
func (o *OwnTime) Since(started, now time.Duration) time.Duration {
	deeper := o.deeper
	if o.open > 0 {
		deeper += now - o.from
	}
	return max(now-started-deeper, 0)
}
