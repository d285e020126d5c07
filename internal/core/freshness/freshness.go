// Package freshness holds the evidence of how fresh a node's configuration is. Evidence
// is a moment on the node's own monotonic clock: the begin of a question whose answer
// said that no configuration newer than the node's own was acknowledged before it.
//
// A request that arrives while that moment is younger than a bound was sent less than the
// bound after it; so every change acknowledged longer than the bound before the request was
// sent is in the node's configuration. No clock is compared with another one, and how long
// an answer was on its way makes the evidence older, never younger. spec/revoke.pml is
// the model. It is a state machine without locks, clocks or sockets.
package freshness

import "time"

// Evidence is what one node knows. It is not safe for concurrent use.
type Evidence struct {
	version   uint64 // that was the newest as of confirmed
	confirmed time.Duration
	known     bool
}

// Confirm takes in that version was the newest one as of a moment; held is the version
// that the node has in force. Evidence for a version that the node has not got yet is not
// taken: it would let what the node has pass for fresh. It tells whether it was taken.
func (e *Evidence) Confirm(asOf time.Duration, version, held uint64) bool {
	if held < version || held == 0 {
		return false
	}
	if e.known && asOf <= e.confirmed {
		return true
	}
	e.version, e.confirmed, e.known = version, asOf, true
	return true
}

// Age gives how old the evidence is, and the version that it is for; false: there is none.
func (e *Evidence) Age(now time.Duration) (age time.Duration, version uint64, known bool) {
	return now - e.confirmed, e.version, e.known
}

// Within tells whether the evidence is younger than a bound.
func (e *Evidence) Within(now, bound time.Duration) bool {
	return e.known && now-e.confirmed < bound
}

// Told gives the moment that another node's evidence proves: its question began when this
// node's did at the latest before its answer was written, less the age that it told.
func Told(asked, age time.Duration) time.Duration { return asked - max(age, 0) }
