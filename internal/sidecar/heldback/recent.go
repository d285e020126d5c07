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
	// goodFor is the time in which a node in contact with others has to learn of an end: a
	// request that turns harmful counts as good for no longer.
	goodFor = 3 * time.Second
)

// recentlyGood holds the requests that the target beside the node answered of late. A target
// that ends by itself, or with another request, has popular ones in flight, and those are not
// to be suspected.
type recentlyGood struct {
	mutex sync.Mutex
	at    map[crashes.Variant]time.Duration // when it last ended well
	ring  []crashes.Variant                 // the keys of at; once it is full the oldest is at next
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

// place puts a variant into the ring; when it is full, instead of the oldest.
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
