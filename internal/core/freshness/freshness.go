// Package freshness tracks how fresh a node's configuration is. The evidence is a time on the
// node's own monotonic clock: the start of a query whose answer confirmed that no
// configuration newer than the node's own had been acknowledged before it.
//
// A request that arrives while the evidence is younger than a bound was sent less than the
// bound after that time. So every change acknowledged more than the bound before the request
// was sent is in the node's configuration. Clocks of different nodes are never compared, and
// message delay only makes the evidence older. spec/revoke.pml is the model. The package uses
// no locks, clocks or sockets.
package freshness

import "time"

// Evidence is the freshness state of one node. It is not safe for concurrent use.
type Evidence struct {
	version   uint64 // newest version as of confirmed
	confirmed time.Duration
	known     bool
}

// Confirm records that version was the newest one as of asOf; held is the version in force at the
// node. It returns false and ignores the evidence if the node doesn't have version yet, since
// its older configuration would pass as fresh.
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

// Age returns the age of the evidence and the version it covers; known is false if there is none.
func (e *Evidence) Age(now time.Duration) (age time.Duration, version uint64, known bool) {
	return now - e.confirmed, e.version, e.known
}

// YoungerThan reports whether the evidence is younger than a bound.
func (e *Evidence) YoungerThan(now, bound time.Duration) bool {
	return e.known && now-e.confirmed < bound
}

// ObservedAt returns the time proved by another node's evidence of the given age, which was received in
// answer to a query started at asked. The age counts from asked, which precedes the answer, so
// that the result is never too recent.
func ObservedAt(asked, age time.Duration) time.Duration { return asked - max(age, 0) }
