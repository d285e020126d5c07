package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Harmful holds the requests that end each target that begins to run them, by path and
// body. It is safe for concurrent use.
type Harmful struct {
	mutex    sync.Mutex
	requests map[harmfulRequest]bool
	closed   bool          // the mesh ends: targets stay away
	back     time.Duration // until a target that ended is there again
}

// harmfulRequest is what requests that end their targets have in common.
type harmfulRequest struct{ path, body string }

// Close keeps targets that ended from coming back.
func (h *Harmful) Close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
}

// bringBack starts a target again unless the mesh ends.
func (h *Harmful) bringBack(t *Target) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.closed {
		_ = t.Start()
	}
}

// NewHarmful makes an empty set.
func NewHarmful() *Harmful { return &Harmful{requests: map[harmfulRequest]bool{}, back: backAfter} }

// Add has requests of a path and body end their targets.
func (h *Harmful) Add(path, body string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests[harmfulRequest{path, body}] = true
}

// Remove has them end nothing any more, as after a release that mends the targets.
func (h *Harmful) Remove(path, body string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.requests, harmfulRequest{path, body})
}

// BringBackAfter sets the time until a target that ended is there again.
func (h *Harmful) BringBackAfter(span time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.back = span
}

func (h *Harmful) untilBack() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.back
}

func (h *Harmful) endsTarget(r *http.Request, body []byte) bool {
	if h == nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requests[harmfulRequest{r.URL.Path, string(body)}]
}

// Times of a target that a request ends.
const (
	harmAfter = 60 * time.Millisecond // longest time from its begin to the end
	backAfter = 3 * time.Second       // until the target is there again
)

// crash ends the target some time after a run began, and starts it again later.
func (t *Target) crash(ctx context.Context, one *judge.Run, instance string) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(harmAfter)))):
	}
	t.mutex.Lock()
	same := t.instance == instance && !t.gone
	t.mutex.Unlock()
	if !same {
		return
	}
	t.Judge.Crashed(one)
	go func() {
		t.Stop()
		time.Sleep(t.Harmful.untilBack())
		t.Harmful.bringBack(t)
	}()
	<-t.ended
}
