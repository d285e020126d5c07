package client

import "sync"

// Tally counts client requests and responses. Its methods are safe for concurrent use; the
// fields may be read only after the clients have finished.
type Tally struct {
	mu     sync.Mutex
	Asked  map[string]int // requests sent, by route prefix
	Served map[string]int // successful responses, by route prefix
	InTime map[string]int // successful responses within the objective, by route prefix
	Status map[int]int    // attempts by response status; 0: no complete response
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{Asked: map[string]int{}, Served: map[string]int{}, InTime: map[string]int{}, Status: map[int]int{}}
}

func (t *Tally) count(counts map[string]int, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts[key]++
}

func (t *Tally) countStatus(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Status[status]++
}

// Share returns the fraction of a route's requests that were served, or 1 if none was sent.
func (t *Tally) Share(prefix string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Asked[prefix] == 0 {
		return 1
	}
	return float64(t.Served[prefix]) / float64(t.Asked[prefix])
}

// Clear resets the request and status counts.
func (t *Tally) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Asked)
	clear(t.Served)
	clear(t.Status)
}

// Sums returns the requests served and sent on all routes.
func (t *Tally) Sums() (served, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.Asked {
		served, sent = served+t.Served[prefix], sent+t.Asked[prefix]
	}
	return served, sent
}

// ClearServed resets the request counts and keeps the status counts.
func (t *Tally) ClearServed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Asked)
	clear(t.Served)
}
