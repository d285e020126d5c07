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
	// Returned counts second attempts of requests that were refused first, by route prefix and response
	// status.
	Returned map[string]map[int]int
}

// NewTally returns an empty tally.
func NewTally() *Stats {
	return &Stats{Sent: map[string]int{}, Served: map[string]int{}, InTime: map[string]int{}, Status: map[int]int{}, Returned: map[string]map[int]int{}}
}

func (s *Stats) count(counts map[string]int, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[key]++
}

func (s *Stats) countStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Status[status]++
}

func (s *Stats) countReturned(prefix string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Returned[prefix] == nil {
		s.Returned[prefix] = map[int]int{}
	}
	s.Returned[prefix][status]++
}

// ReturnedShare returns the fraction of a route's second attempts after a refusal that got a status, and
// the number of these attempts.
func (s *Stats) ReturnedShare(prefix string, status int) (share float64, attempts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, count := range s.Returned[prefix] {
		attempts += count
	}
	return float64(s.Returned[prefix][status]) / float64(max(attempts, 1)), attempts
}

// Share returns the fraction of a route's requests that were served, or 1 if none was sent.
func (s *Stats) Share(prefix string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Sent[prefix] == 0 {
		return 1
	}
	return float64(s.Served[prefix]) / float64(s.Sent[prefix])
}

// Reset resets the request and status counts.
func (s *Stats) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.Sent)
	clear(s.Served)
	clear(s.Status)
	clear(s.Returned)
}

// Totals returns the requests served and sent on all routes.
func (s *Stats) Totals() (served, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for prefix := range s.Sent {
		served, sent = served+s.Served[prefix], sent+s.Sent[prefix]
	}
	return served, sent
}

// ResetRequests resets the request counts and keeps the status counts.
func (s *Stats) ResetRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.Sent)
	clear(s.Served)
}
