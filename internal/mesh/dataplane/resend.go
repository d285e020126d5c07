package dataplane

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// resendTable recognises a client that sends the same request again while an
// entry still has, or has just had, the first. Such a request gets no retry
// credits: the client's own repetition is the retry.
type resendTable struct {
	mutex    sync.Mutex
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	turned   time.Duration
}

// Bounds of the table: two generations of up to so many requests.
const (
	resendGeneration = 5 * time.Second
	resendMaximum    = 50000
)

func newResendTable() *resendTable {
	return &resendTable{current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// seen notes a request and tells whether it was noted before. Only requests that
// name their user or carry a key can be recognised; others pass as new.
func (t *resendTable) seen(now time.Duration, user, method, uri, key string) bool {
	if user == "" && key == "" {
		return false
	}
	hash := xxhash.Sum64String(user + "\x00" + method + "\x00" + uri + "\x00" + key)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now-t.turned > resendGeneration || len(t.current) >= resendMaximum {
		t.previous, t.current, t.turned = t.current, map[uint64]struct{}{}, now
	}
	_, inCurrent := t.current[hash]
	_, inPrevious := t.previous[hash]
	t.current[hash] = struct{}{}
	return inCurrent || inPrevious
}
