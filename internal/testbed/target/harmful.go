package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Harmful is the set of requests that end each target that begins to run them, by path and
// body. It is safe for concurrent use.
type Harmful struct {
	mu       sync.Mutex
	requests map[harmfulRequest]bool
	closed   bool          // targets that ended stay away
	back     time.Duration // until a target that ended starts again
}

// harmfulRequest is what requests that end their targets have in common.
type harmfulRequest struct{ path, body string }

// Close keeps targets that ended from starting again.
func (h *Harmful) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// bringBack starts a target again unless the set is closed.
func (h *Harmful) bringBack(t *Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		_ = t.Start()
	}
}

// NewHarmful makes an empty set.
func NewHarmful() *Harmful { return &Harmful{requests: map[harmfulRequest]bool{}, back: backAfter} }

// Add adds the requests with a path and body.
func (h *Harmful) Add(path, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[harmfulRequest{path, body}] = true
}

// Remove removes them, as a release does that mends the targets.
func (h *Harmful) Remove(path, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, harmfulRequest{path, body})
}

// BringBackAfter sets the time until a target that ended starts again.
func (h *Harmful) BringBackAfter(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.back = span
}

// untilBack returns the time until a target that ended starts again.
func (h *Harmful) untilBack() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.back
}

// endsTarget reports whether a request is one of the set.
func (h *Harmful) endsTarget(r *http.Request, body []byte) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests[harmfulRequest{r.URL.Path, string(body)}]
}

// Times of a target that a request ends.
const (
	harmAfter = 60 * time.Millisecond // longest time from the begin of the run to the end
	backAfter = 3 * time.Second       // until the target starts again
)

// crash ends the target some time after a run began, and starts it again later.
func (t *Target) crash(ctx context.Context, run *judge.Run, instance string) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(harmAfter)))):
	}
	t.mu.Lock()
	same := t.instance == instance && !t.gone
	t.mu.Unlock()
	if !same {
		return
	}
	t.Judge.Crashed(run)
	go func() {
		t.Stop()
		time.Sleep(t.Harmful.untilBack())
		t.Harmful.bringBack(t)
	}()
	<-t.ended
}
