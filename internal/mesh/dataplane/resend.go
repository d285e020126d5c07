package dataplane

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// resendTable detects requests that a client resends while the entry still has, or recently
// had, the first one. They get no retry credits, since the client itself is retrying.
type resendTable struct {
	mutex     sync.Mutex
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt time.Duration
}

// Age and size at which the current generation is rotated; two generations are kept.
const (
	resendWindow     = 5 * time.Second
	maxResendEntries = 50000
)

func newResendTable() *resendTable {
	return &resendTable{current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// seen records a request and reports whether it was recorded before. Requests with neither a
// user nor a key are always treated as new.
func (t *resendTable) seen(now time.Duration, user, method, uri, key string) bool {
	if user == "" && key == "" {
		return false
	}
	hash := xxhash.Sum64String(user + "\x00" + method + "\x00" + uri + "\x00" + key)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now-t.rotatedAt > resendWindow || len(t.current) >= maxResendEntries {
		t.previous, t.current, t.rotatedAt = t.current, map[uint64]struct{}{}, now
	}
	_, inCurrent := t.current[hash]
	_, inPrevious := t.previous[hash]
	t.current[hash] = struct{}{}
	return inCurrent || inPrevious
}
