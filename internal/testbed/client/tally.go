package client

import "sync"

// Stats counts client requests and responses. Its methods are safe for concurrent use; the
// fields may be read only after the clients have finished.
type Stats struct {
	mu     sync.Mutex
	Sent   map[string]int // requests sent, by route prefix
	Served map[string]int // successful responses, by route prefix
	InTime map[string]int // successful responses within the objective, by route prefix
	Status map[int]int    // attempts by response status; 0: no complete response
}

// NewTally returns an empty tally.
func NewTally() *Stats {
	return &Stats{Sent: map[string]int{}, Served: map[string]int{}, InTime: map[string]int{}, Status: map[int]int{}}
}

func (t *Stats) count(counts map[string]int, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts[key]++
}

func (t *Stats) countStatus(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Status[status]++
}

// Share returns the fraction of a route's requests that were served, or 1 if none was sent.
func (t *Stats) Share(prefix string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Sent[prefix] == 0 {
		return 1
	}
	return float64(t.Served[prefix]) / float64(t.Sent[prefix])
}

// Reset resets the request and status counts.
func (t *Stats) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Sent)
	clear(t.Served)
	clear(t.Status)
}

// Totals returns the requests served and sent on all routes.
func (t *Stats) Totals() (served, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.Sent {
		served, sent = served+t.Served[prefix], sent+t.Sent[prefix]
	}
	return served, sent
}

// ResetRequests resets the request counts and keeps the status counts.
func (t *Stats) ResetRequests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Sent)
	clear(t.Served)
}
