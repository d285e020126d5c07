package quarantine

import (
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
)

// Limits of recentSuccesses.
const (
	// maxRecent exceeds the number of requests that a target completes within recentTTL; about 150 KB.
	maxRecent = 4096
	// recentTTL covers the time in which evidence reaches all connected nodes. It bounds how
	// long a request that becomes harmful still counts as harmless.
	recentTTL = 3 * time.Second
)

// recentSuccesses is a bounded set of the requests that the local target has recently
// completed. It keeps popular requests from becoming suspects whenever a target crashes while
// they are in flight.
type recentSuccesses struct {
	mutex    sync.Mutex
	lastSeen map[crashes.Variant]time.Duration
	ring     []crashes.Variant // keys of lastSeen; when full, the oldest is at next
	next     int
}

func (r *recentSuccesses) add(now time.Duration, variant crashes.Variant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lastSeen == nil {
		r.lastSeen = make(map[crashes.Variant]time.Duration, maxRecent)
	}
	if _, known := r.lastSeen[variant]; !known {
		r.insert(variant)
	}
	r.lastSeen[variant] = now
}

// insert adds a variant to the ring, evicting the oldest if the ring is full.
func (r *recentSuccesses) insert(variant crashes.Variant) {
	if len(r.ring) < maxRecent {
		r.ring = append(r.ring, variant)
		return
	}
	delete(r.lastSeen, r.ring[r.next])
	r.ring[r.next] = variant
	r.next = (r.next + 1) % maxRecent
}

func (r *recentSuccesses) contains(now time.Duration, variant crashes.Variant) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seenAt, known := r.lastSeen[variant]
	return known && now-seenAt < recentTTL
}
