package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// CrashSet is the set of requests that crash any target executing them, identified by path and
// body. It is safe for concurrent use.
type CrashSet struct {
	mu           sync.Mutex
	requests     map[harmfulRequest]bool
	closed       bool          // crashed targets are not restarted
	restartDelay time.Duration // time from a crash to the restart
}

// harmfulRequest identifies requests that crash their target.
type harmfulRequest struct{ path, body string }

// Close prevents further restarts of crashed targets.
func (s *CrashSet) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// restart starts a crashed target unless the set is closed.
func (s *CrashSet) restart(t *Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_ = t.Start()
	}
}

// NewCrashSet returns an empty set.
func NewCrashSet() *CrashSet {
	return &CrashSet{requests: map[harmfulRequest]bool{}, restartDelay: defaultRestartDelay}
}

// Add adds the requests with the given path and body.
func (s *CrashSet) Add(path, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[harmfulRequest{path, body}] = true
}

// Remove removes the requests with the given path and body, like a release that fixes the
// crash.
func (s *CrashSet) Remove(path, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, harmfulRequest{path, body})
}

// SetRestartDelay sets the time from a crash to the restart of the target.
func (s *CrashSet) SetRestartDelay(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartDelay = span
}

// currentRestartDelay returns the time from a crash to the restart of the target.
func (s *CrashSet) currentRestartDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restartDelay
}

// matches reports whether a request is in the set. A nil set is empty.
func (s *CrashSet) matches(r *http.Request, body []byte) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[harmfulRequest{r.URL.Path, string(body)}]
}

// Crash timing.
const (
	maxCrashDelay       = 60 * time.Millisecond // upper bound of the delay from the start of execution to the crash
	defaultRestartDelay = 3 * time.Second       // from the crash to the restart
)

// crash stops the target a random time after it began executing a request and restarts it
// later.
func (t *Target) crash(ctx context.Context, run *judge.Run, instance string) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(maxCrashDelay)))):
	}
	t.mu.Lock()
	running := t.instance == instance && !t.stopped
	t.mu.Unlock()
	if !running {
		return
	}
	t.Judge.Crashed(run)
	go func() {
		t.Stop()
		time.Sleep(t.CrashSet.currentRestartDelay())
		t.CrashSet.restart(t)
	}()
	<-t.done
}
