// Package fence makes "not run" responses reliable. A sender whose connection broke doesn't know
// whether the gate forwarded its request to the target, so it asks the gate. If the request
// has not been sent, the gate fences it: it will never be sent, even if its bytes arrive
// later. If it has been sent, the gate says so and the response can be handed over. The
// guarantee holds for the lifetime of one gate process; the sender names the incarnation that
// it asks.
//
// spec/fence.pml specifies the state machine. The package uses no locks or clocks.
package fence

import "time"

// State is the state of a request at a gate.
type State int

// States of a request.
const (
	// Unseen requests have not arrived.
	Unseen State = iota
	// Waiting requests have arrived and have not been sent to the target.
	Waiting
	// Sent requests are running at the target.
	Sent
	// Ended requests have finished at the target.
	Ended
	// Fenced requests were not sent and never will be.
	Fenced
)

// Ledger tracks the requests of one gate by id. It is not safe for concurrent use.
type Ledger struct {
	retention time.Duration
	entries   map[string]*entry
	order     []string // ids in order of insertion or renewal, for evict
}

type entry struct {
	state     State
	changedAt time.Duration
}

// New returns a ledger that keeps a request for at least retention after its last change.
// retention must exceed the time that a request can be in transit.
func New(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, entries: map[string]*entry{}}
}

// Arrive records a request's arrival. It returns false if the request must be rejected as not
// run, because it is fenced or has arrived before.
func (l *Ledger) Arrive(now time.Duration, id string) bool {
	l.evict(now)
	if l.entries[id] != nil {
		return false
	}
	l.insert(now, id, Waiting)
	return true
}

// Send records that a request is about to be sent to the target. It returns false if the request
// must not be sent, because it was fenced while it waited.
func (l *Ledger) Send(now time.Duration, id string) bool {
	e := l.entries[id]
	if e == nil || e.state != Waiting {
		return false
	}
	e.state, e.changedAt = Sent, now
	return true
}

// End records that a sent request has finished.
func (l *Ledger) End(now time.Duration, id string) {
	if e := l.entries[id]; e != nil && e.state == Sent {
		e.state, e.changedAt = Ended, now
	}
}

// Withdraw records that a waiting request was rejected and will not be sent.
func (l *Ledger) Withdraw(now time.Duration, id string) {
	if e := l.entries[id]; e != nil && e.state == Waiting {
		e.state, e.changedAt = Fenced, now
	}
}

// Fence prevents a request from being sent unless it already was. The returned state is Sent,
// Ended or Fenced.
func (l *Ledger) Fence(now time.Duration, id string) State {
	l.evict(now)
	e := l.entries[id]
	if e == nil {
		l.insert(now, id, Fenced)
		return Fenced
	}
	if e.state == Waiting {
		e.state, e.changedAt = Fenced, now
	}
	return e.state
}

// State returns the state of a request.
func (l *Ledger) State(id string) State {
	if e := l.entries[id]; e != nil {
		return e.state
	}
	return Unseen
}

// Len returns the number of tracked requests.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) insert(now time.Duration, id string, state State) {
	l.entries[id] = &entry{state: state, changedAt: now}
	l.order = append(l.order, id)
}

// evict removes finished and fenced requests whose retention is over. Waiting and running ones
// are kept and moved to the end of the queue.
func (l *Ledger) evict(now time.Duration) {
	for len(l.order) > 0 {
		oldest := l.order[0]
		e := l.entries[oldest]
		if now-e.changedAt < l.retention {
			return
		}
		l.order = l.order[1:]
		if e.state == Waiting || e.state == Sent {
			e.changedAt = now
			l.order = append(l.order, oldest)
			continue
		}
		delete(l.entries, oldest)
	}
}
