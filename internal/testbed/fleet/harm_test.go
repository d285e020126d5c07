package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Harmful holds the requests that end each target that begins to run them, by path and
// body. It is safe for concurrent use.
type Harmful struct {
	mutex    sync.Mutex
	requests map[string]bool
	closed   bool          // the mesh ends: targets stay away
	back     time.Duration // until a target that ended is there again
}

// close keeps targets that ended from coming back.
func (h *Harmful) close() {
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
func NewHarmful() *Harmful { return &Harmful{requests: map[string]bool{}, back: backAfter} }

// Add has requests of a path and body end their targets.
func (h *Harmful) Add(path, body string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests[harmOf(path, body)] = true
}

// Remove has them end nothing any more, as after a release that mends the targets.
func (h *Harmful) Remove(path, body string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.requests, harmOf(path, body))
}

// bringBackAt sets the time until a target that ended is there again.
func (h *Harmful) bringBackAt(span time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.back = span
}

func (h *Harmful) untilBack() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.back
}

func harmOf(path, body string) string { return path + "\x00" + body }

func (h *Harmful) endsTarget(r *http.Request, body []byte) bool {
	if h == nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requests[harmOf(r.URL.Path, string(body))]
}

// Times of a target that a request ends.
const (
	harmAfter = 60 * time.Millisecond // longest time from its begin to the end
	backAfter = 3 * time.Second       // until the target is there again
)

// crash ends the target some time after a run began, and starts it again later.
func (t *Target) crash(ctx context.Context, one *run) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(harmAfter)))):
	}
	t.mutex.Lock()
	same := t.instance == one.instance && !t.gone
	t.mutex.Unlock()
	if !same {
		return
	}
	t.Judge.crashed(one)
	go func() {
		t.Stop()
		time.Sleep(t.Harmful.untilBack())
		t.Harmful.bringBack(t)
	}()
	<-t.ended
}

// harmSeen is what the judge saw of harmful requests and of refusals on suspicion.
type harmSeen struct {
	requests  map[string]*harmfulSeen
	restarted map[string]time.Time // processes that came back, by IP
	unstable  time.Time            // when the store was last away
	innocent  int                  // refusals of requests that end no target
}

type harmfulSeen struct {
	path string
	ends []time.Time
	runs []harmfulRun
}

type harmfulRun struct {
	at      time.Time
	touched bool // its machine was in touch
}

// expectHarm tells of a harmful request that clients send.
func (j *Judge) expectHarm(path, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.harm.requests[harmOf(path, body)] = &harmfulSeen{path: path}
}

// restarted tells that the process of a machine comes back.
func (j *Judge) restarted(ip string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.harm.restarted[ip] = time.Now()
}

// ranHarmful notes a run of a harmful request; the mutex is held.
func (j *Judge) ranHarmful(one *run, r *http.Request, body []byte, now time.Time) {
	harm := harmOf(r.URL.Path, string(body))
	seen := j.harm.requests[harm]
	if seen == nil {
		return
	}
	one.harm = harm
	origin := one.request.origin
	touched := now.Sub(j.harmed[origin]) >= contact && now.Sub(j.harm.restarted[origin]) >= contact && now.Sub(j.harm.unstable) >= contact
	seen.runs = append(seen.runs, harmfulRun{at: now, touched: touched})
}

// crashed tells that a run ends its target.
func (j *Judge) crashed(one *run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if seen := j.harm.requests[one.harm]; seen != nil {
		seen.ends = append(seen.ends, time.Now())
	}
}

// storeTrouble waits for some time, in which the store is in trouble: no machine is in touch.
func (j *Judge) storeTrouble(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(100*time.Millisecond, time.Until(end))) {
		j.mutex.Lock()
		j.harm.unstable = time.Now()
		j.mutex.Unlock()
	}
}

// heldBackText begins the answer to a request that is held back on suspicion.
const heldBackText = "ends_targets"

// refusedForHarm notes a refusal on suspicion of a request that ends no target; the mutex
// is held.
func (j *Judge) refusedForHarm(one *request, content string) {
	path, _, _ := strings.Cut(one.uri, "?")
	if !strings.HasPrefix(content, heldBackText) {
		return
	}
	for _, seen := range j.harm.requests {
		if seen.path == path {
			return
		}
	}
	j.harm.innocent++
}

// Bounds of the rule on requests that end their targets.
const (
	harmKnownAfter = 3 // targets that it ended
	harmRetries    = 3 // arrivals that are borne later than contact after that
)

// checkHarm holds the harmful requests against the rule; the mutex is held.
func (j *Judge) checkHarm() {
	for _, seen := range j.harm.requests {
		if len(seen.ends) < harmKnownAfter {
			continue
		}
		from, late := seen.ends[harmKnownAfter-1].Add(contact), 0
		for _, run := range seen.runs {
			if run.touched && run.at.After(from) {
				late++
			}
		}
		if late > harmRetries {
			j.breach("BUDGET", "a request that had ended three targets reached targets in %d more retries; it ended %d", late, len(seen.ends))
		}
	}
}

// harmFigures gives how many targets the harmful requests ended, in order of their paths'
// first run, and how many refusals on suspicion met harmless ones.
func (j *Judge) harmFigures() (ended, innocent int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, seen := range j.harm.requests {
		ended += len(seen.ends)
	}
	return ended, j.harm.innocent
}

// sendHarmful sends a harmful request on a route as a client does, with its retry.
func (m *Mesh) sendHarmful(machine *Machine, route Route, path string) {
	deadline := time.Now().Add(route.Deadline)
	for range 2 {
		tenant, key := m.caller()
		status, retryAfter := m.attempt(machine, route, path, tenant, key, deadline)
		if status == http.StatusOK || route.Kind == "unsafe" && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		machine = m.anyIn()
	}
}

// addHarmful has requests of a path on a route end their targets.
func (m *Mesh) addHarmful(route Route, path string) {
	body := ""
	if route.Kind == "unsafe" {
		body = strings.Repeat("b", max(route.Body, 1))
	}
	m.Judge.expectHarm(path, body)
	m.Harmful.Add(path, body)
}
