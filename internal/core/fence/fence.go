// Package fence makes "not run" true between nodes. A sender whose connection
// broke does not know whether the gate sent its request to the target. It asks the
// gate: if the request has not been sent, the gate fences it, so that it never
// will be, whenever its bytes arrive; if it has been sent, the gate says so and the
// answer can be handed over. The promise is one process's own, and holds as long
// as that process lives: the sender names the incarnation that it asks.
//
// The state machine is specified in spec/fence.pml. It has no locks or clocks.
package fence

import "time"

// State is what a gate knows of a request.
type State int

// The states of a request.
const (
	// Unseen requests have not come.
	Unseen State = iota
	// Waiting requests have come and were not sent to the target.
	Waiting
	// Sent requests were sent and have not ended.
	Sent
	// Ended requests were sent and have ended.
	Ended
	// Fenced requests were not sent and never will be.
	Fenced
)

// Ledger holds the requests of one gate by id. It is not safe for concurrent use.
type Ledger struct {
	keep    time.Duration
	entries map[string]*entry
	order   []string // by creation, for forgetting
}

type entry struct {
	state State
	at    time.Duration // of the last change
}

// New makes a ledger that remembers a request for at least so long after its
// last change. keep must be longer than any request's bytes can be under way.
func New(keep time.Duration) *Ledger {
	return &Ledger{keep: keep, entries: map[string]*entry{}}
}

// Arrive notes that a request has come. It gives false when the request must be
// refused as not run: it is fenced, or it has come before.
func (l *Ledger) Arrive(now time.Duration, id string) bool {
	l.forget(now)
	if l.entries[id] != nil {
		return false
	}
	l.set(now, id, Waiting)
	return true
}

// Send notes that a request is sent to the target now. It gives false when it
// must not be: it was fenced while it waited.
func (l *Ledger) Send(now time.Duration, id string) bool {
	one := l.entries[id]
	if one == nil || one.state != Waiting {
		return false
	}
	one.state, one.at = Sent, now
	return true
}

// End notes that a request that was sent has ended.
func (l *Ledger) End(now time.Duration, id string) {
	if one := l.entries[id]; one != nil && one.state == Sent {
		one.state, one.at = Ended, now
	}
}

// Withdraw notes that a request that waited was refused: it will not be sent.
func (l *Ledger) Withdraw(now time.Duration, id string) {
	if one := l.entries[id]; one != nil && one.state == Waiting {
		one.state, one.at = Fenced, now
	}
}

// Fence asks for a request and, unless it was sent, makes sure that it never
// will be. The state that it gives is Sent, Ended or Fenced.
func (l *Ledger) Fence(now time.Duration, id string) State {
	l.forget(now)
	one := l.entries[id]
	if one == nil {
		l.set(now, id, Fenced)
		return Fenced
	}
	if one.state == Waiting {
		one.state, one.at = Fenced, now
	}
	return one.state
}

// State gives what is known of a request.
func (l *Ledger) State(id string) State {
	if one := l.entries[id]; one != nil {
		return one.state
	}
	return Unseen
}

// Len gives the number of requests held.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) set(now time.Duration, id string, state State) {
	l.entries[id] = &entry{state: state, at: now}
	l.order = append(l.order, id)
}

// forget drops the oldest requests that have been at rest for long enough. What
// waits or runs is never dropped; it goes to the end of the line.
func (l *Ledger) forget(now time.Duration) {
	for len(l.order) > 0 {
		oldest := l.order[0]
		one := l.entries[oldest]
		if now-one.at < l.keep {
			return
		}
		l.order = l.order[1:]
		if one.state == Waiting || one.state == Sent {
			one.at = now
			l.order = append(l.order, oldest)
			continue
		}
		delete(l.entries, oldest)
	}
}
