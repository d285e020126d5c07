package client

import "sync"

// Tally counts how clients' requests ended.
type Tally struct {
	mutex  sync.Mutex
	Asked  map[string]int // by route prefix
	Served map[string]int
	InTime map[string]int
	Status map[int]int // 0: no answer
}

// NewTally makes an empty tally.
func NewTally() *Tally {
	return &Tally{Asked: map[string]int{}, Served: map[string]int{}, InTime: map[string]int{}, Status: map[int]int{}}
}

func (t *Tally) count(counts map[string]int, key string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts[key]++
}

func (t *Tally) countStatus(status int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Status[status]++
}

// Share gives the served share of a route's requests; 1 when none was sent.
func (t *Tally) Share(prefix string) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.Asked[prefix] == 0 {
		return 1
	}
	return float64(t.Served[prefix]) / float64(t.Asked[prefix])
}

// Clear forgets what was counted.
func (t *Tally) Clear() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.Asked)
	clear(t.Served)
	clear(t.Status)
}

// Sums gives the requests of all routes that were served and that were sent.
func (t *Tally) Sums() (served, asked int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for prefix := range t.Asked {
		served, asked = served+t.Served[prefix], asked+t.Asked[prefix]
	}
	return served, asked
}

// ClearServed forgets the requests, not the answers.
func (t *Tally) ClearServed() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.Asked)
	clear(t.Served)
}
