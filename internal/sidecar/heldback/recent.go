package heldback

import (
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
)

// Bounds of what a node remembers of requests that ended well.
const (
	// goodKept is more than the answers of one target within goodFor; about 150 KB.
	goodKept = 4096
	// goodFor is the time after which the users count a node as knowing what happened: a
	// request that turns harmful is not vouched for longer.
	goodFor = 3 * time.Second
)

// recentlyGood remembers requests that the target beside the node answered. Targets that end
// by themselves, or with another request, have popular ones in flight; those are not
// suspected.
type recentlyGood struct {
	mutex sync.Mutex
	at    map[crashes.Variant]time.Duration // when it ended well last
	ring  []crashes.Variant                 // in the order in which they came
	next  int
}

func (r *recentlyGood) add(now time.Duration, variant crashes.Variant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.at == nil {
		r.at = make(map[crashes.Variant]time.Duration, goodKept)
	}
	if _, known := r.at[variant]; !known {
		r.place(variant)
	}
	r.at[variant] = now
}

// place puts a variant into the ring, in the place of the one that came first.
func (r *recentlyGood) place(variant crashes.Variant) {
	if len(r.ring) < goodKept {
		r.ring = append(r.ring, variant)
		return
	}
	delete(r.at, r.ring[r.next])
	r.ring[r.next] = variant
	r.next = (r.next + 1) % goodKept
}

func (r *recentlyGood) holds(now time.Duration, variant crashes.Variant) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, known := r.at[variant]
	return known && now-at < goodFor
}
