// Package explain keeps the decisions of the last requests in memory, so that
// an operator can ask why a request was admitted, refused, retried or sent
// where it went.
package explain

import (
	"sync"
	"time"
)

// Action names a kind of decision.
type Action string

// The actions.
const (
	Admit   Action = "admit"
	Refuse  Action = "refuse"
	Route   Action = "route"
	Retry   Action = "retry"
	NoRetry Action = "no_retry"
	Lose    Action = "lose" // a call that was handed over got no answer
	Claim   Action = "claim"
	Answer  Action = "answer"
)

// Number is one value that a decision was made on.
type Number struct {
	Name  string
	Value float64
}

// Decision is one decision about one call.
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

type trail struct {
	requestID string
	decisions []Decision
}

// Recorder keeps the decisions of the last requests in a ring. It is safe for
// concurrent use.
type Recorder struct {
	mutex sync.Mutex
	ring  []trail
	next  int
	index map[string]int
}

// Bounds of the recorder.
const (
	// DefaultRequests is the number of requests that a node remembers.
	DefaultRequests = 4096
	// maxDecisions bounds the decisions of one request.
	maxDecisions = 64
)

// NewRecorder makes a recorder for the last so many requests.
func NewRecorder(requests int) *Recorder {
	return &Recorder{ring: make([]trail, requests), index: make(map[string]int, requests)}
}

// Add records a decision.
func (r *Recorder) Add(requestID string, decision Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place, known := r.index[requestID]
	if !known {
		place = r.next
		r.next = (r.next + 1) % len(r.ring)
		old := &r.ring[place]
		if old.requestID != "" {
			delete(r.index, old.requestID)
		}
		r.ring[place] = trail{requestID: requestID, decisions: old.decisions[:0]}
		r.index[requestID] = place
	}
	slot := &r.ring[place]
	if len(slot.decisions) < maxDecisions {
		slot.decisions = append(slot.decisions, decision)
	}
}

// Get gives the decisions of a request, oldest first.
func (r *Recorder) Get(requestID string) []Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place, known := r.index[requestID]
	if !known {
		return nil
	}
	return append([]Decision(nil), r.ring[place].decisions...)
}
