package client

import "sync"

// Tally counts requests and answers of clients. Its methods are safe for concurrent use; the
// fields may be read once the clients have ended.
type Tally struct {
	mu     sync.Mutex
	Asked  map[string]int // requests by route prefix
	Served map[string]int // by route prefix
	InTime map[string]int // served within the objective, by route prefix
	Status map[int]int    // answers by status; 0: no whole answer
}

// NewTally makes an empty tally.
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

// Share returns the served share of a route's requests; 1 when none was sent.
func (t *Tally) Share(prefix string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Asked[prefix] == 0 {
		return 1
	}
	return float64(t.Served[prefix]) / float64(t.Asked[prefix])
}

// Clear sets all counts to 0.
func (t *Tally) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Asked)
	clear(t.Served)
	clear(t.Status)
}

// Sums returns how many requests of all routes were served and how many were sent.
func (t *Tally) Sums() (served, asked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.Asked {
		served, asked = served+t.Served[prefix], asked+t.Asked[prefix]
	}
	return served, asked
}

// ClearServed sets the counts of requests to 0 and keeps those of answers by status.
func (t *Tally) ClearServed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.Asked)
	clear(t.Served)
}
