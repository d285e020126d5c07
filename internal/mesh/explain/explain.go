// Package explain records the admission, routing and retry decisions of recent requests
// in memory, so that an operator can query them by request ID.
package explain

import (
	"sync"
	"time"
)

// Action is the type of a decision.
type Action string

// Decision types.
const (
	Admit   Action = "admit"
	Refuse  Action = "refuse"
	Route   Action = "route"
	Retry   Action = "retry"
	NoRetry Action = "no_retry"
	Lost    Action = "lose" // a call that was sent got no response
	Claim   Action = "claim"
	Answer  Action = "answer"
)

// Number is a named input value of a decision.
type Number struct {
	Name  string
	Value float64
}

// Decision is a decision about one call.
type Decision struct {
	CallID  string
	Depth   int
	At      time.Time
	Action  Action
	Reason  string
	Service string
	Class   string
	Level   string
	Peer    string
	Numbers []Number
}

type requestTrace struct {
	requestID string
	decisions []Decision
}

// Recorder keeps the decisions of the most recent requests in a ring buffer. It is safe
// for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	ring  []requestTrace
	next  int
	index map[string]int
}

// Limits of the recorder.
const (
	// DefaultRequests is the number of requests that a node keeps.
	DefaultRequests = 4096
	// maxDecisions is the maximum number of decisions kept for a request.
	maxDecisions = 64
)

// NewRecorder returns a recorder that keeps the decisions of the given number of requests.
func NewRecorder(requests int) *Recorder {
	return &Recorder{ring: make([]requestTrace, requests), index: make(map[string]int, requests)}
}

// Add records a decision. A new request evicts the oldest one when the ring is full.
func (r *Recorder) Add(requestID string, decision Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slot, known := r.index[requestID]
	if !known {
		slot = r.next
		r.next = (r.next + 1) % len(r.ring)
		old := &r.ring[slot]
		if old.requestID != "" {
			delete(r.index, old.requestID)
		}
		r.ring[slot] = requestTrace{requestID: requestID, decisions: old.decisions[:0]}
		r.index[requestID] = slot
	}
	trace := &r.ring[slot]
	if len(trace.decisions) < maxDecisions {
		trace.decisions = append(trace.decisions, decision)
	}
}

// Get returns the decisions of a request, oldest first.
func (r *Recorder) Get(requestID string) []Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slot, known := r.index[requestID]
	if !known {
		return nil
	}
	return append([]Decision(nil), r.ring[slot].decisions...)
}
