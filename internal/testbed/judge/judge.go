// Package judge holds what clients and targets of a test saw against the rules that nodes
// keep: a request that may run once at most does, an answer is whole and one's own, repeats
// stay within their budget, limits of tenants hold, keys that were taken away let nothing in,
// requests that end their targets are held back, planned stops cut next to nothing.
//
// It owns a record of every request of a day. It relies on being told of each request before
// it is sent, of each arrival and each answer, and of what disturbs machines, since some rules
// bear more while a machine is out of touch. It knows no node and asks none. Only tests
// import it.
package judge

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Judge checks what clients and targets see. It is safe for concurrent use.
type Judge struct {
	Drain time.Duration // how long after its acknowledgement a leaving target may be reached
	Late  time.Duration // added to the bounds of time where nodes are real processes

	mu       sync.Mutex
	requests map[string]*request
	drained  map[string]time.Time   // acknowledged, by instance
	harmed   map[string]time.Time   // when links of a machine were last disturbed, by IP
	denied   int                    // proper requests that a node answered with a 4xx of its own
	asks     map[string][]time.Time // requests by service, of clients and of targets
	repeats  map[string][]time.Time // arrivals beyond the first, by service
	broken   []string
	tenancy  tenancy
	harm     harmSeen
	stops    stopsSeen
}

// request is what clients and targets saw of one request id.
type request struct {
	id      string
	origin  string // IP of the machine where it began
	unsafe  bool
	service string // that may run it
	caller  string // service of the target on the machine where it began
	uri     string
	tries   int // targets that it may reach; 0: no bound
	runs    []*Run
	left    time.Time // its client went away
	denied  bool      // its client got an answer that means that it did not run
	sent    time.Time // by its client
	tenant  string    // holder of key
	key     string
}

// Run is a request that a target began to run.
type Run struct {
	request   *request
	status    int
	signature string
	harm      string // key of the harmful request that it is; empty: none
}

// New makes a judge with a bound for leaving targets.
func New(drain time.Duration) *Judge {
	return &Judge{Drain: drain, requests: map[string]*request{}, drained: map[string]time.Time{}, harmed: map[string]time.Time{}, asks: map[string][]time.Time{}, repeats: map[string][]time.Time{}, tenancy: tenancy{
		taken: map[string]time.Time{}, limits: map[string]quotaLimit{}, runs: map[string][]quotaRun{},
	}, stops: stopsSeen{planned: map[string]time.Time{}}, harm: harmSeen{requests: map[string]*harmfulSeen{}, restarted: map[string]time.Time{}}}
}

// breach records that a rule was broken; mu is held.
func (j *Judge) breach(rule, format string, arguments ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// Broken returns a line for each breach: the rule and what was seen, sorted.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	sort.Strings(j.broken)
	return append([]string(nil), j.broken...)
}

// Expect reports a client's request before it is sent: where it begins, the service that may
// run it, the service that it is sent for, and how many targets it may reach.
func (j *Judge) Expect(id, origin, uri, service, caller string, unsafe bool, tries int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, origin: origin, uri: uri, service: service, caller: caller, unsafe: unsafe, tries: tries}
	j.asks[service] = append(j.asks[service], time.Now())
}

// Left reports that the client of a request went away.
func (j *Judge) Left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if req := j.requests[id]; req != nil {
		req.left = time.Now()
	}
}

// ExpectCall reports a call of a target before it is sent.
func (j *Judge) ExpectCall(id, origin, caller string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, origin: origin, caller: caller}
}

// Draining reports that the node of a target acknowledged that the target leaves.
func (j *Judge) Draining(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[instance] = time.Now()
}

// goneSlack is how long after its client left a request may still reach a target.
const goneSlack = 500 * time.Millisecond

// Place is where a request arrived.
type Place struct {
	Service  string
	IP       string // of the machine
	Instance string // of the target
}

// Declined reports a request that a target turns away: it arrived and did not run.
func (j *Judge) Declined(service string, r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if req := j.requests[r.Header.Get("X-Request-Id")]; req != nil {
		j.countArrival(req, service, time.Now())
	}
}

// Ran reports that a target begins to run a request.
func (j *Judge) Ran(at Place, r *http.Request, body []byte) *Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	req := j.requests[id]
	now := time.Now()
	if req == nil {
		j.breach("UNASKED", "request %s was sent by no client", id)
		req = &request{id: id}
		j.requests[id] = req
	}
	j.countArrival(req, at.Service, now)
	began := &Run{request: req}
	req.runs = append(req.runs, began)
	j.ranFor(req, r, now)
	j.ranHarmful(began, r, body, now)
	if req.unsafe && len(req.runs) > 1 {
		j.breach("TWICE", "request %s ran %d times", id, len(req.runs))
	}
	if req.unsafe && req.denied {
		j.breach("REFUSED", "request %s runs after its client was told that it never will", id)
	}
	if req.service != "" && req.service != at.Service {
		j.breach("ROUTE", "request %s for %s runs at %s", id, req.service, at.Service)
	}
	if req.uri != "" && req.uri != r.RequestURI {
		j.breach("UNASKED", "request %s runs with %s instead of %s", id, r.RequestURI, req.uri)
	}
	if caller := r.Header.Get("X-Caller-Service"); req.caller != "" && req.caller != caller {
		j.breach("UNASKED", "request %s runs as of %q instead of %q", id, caller, req.caller)
	}
	if req.tries > 0 && len(req.runs) > req.tries {
		j.breach("BUDGET", "request %s reached %d targets of at most %d", id, len(req.runs), req.tries)
	}
	if j.heldUp(req, at.IP) {
		return began
	}
	if !req.left.IsZero() && now.Sub(req.left) > goneSlack+j.Late {
		j.breach("GONE", "request %s reaches a target %s after its client left", id, now.Sub(req.left))
	}
	if since, leaving := j.drained[at.Instance]; leaving && now.Sub(since) > j.Drain+j.Late {
		j.breach("DRAIN", "request %s reaches a leaving target %s after the acknowledgement", id, now.Sub(since))
	}
	return began
}

// Contact is how long after a disturbance of its links nothing is expected of a machine in
// time.
const Contact = 3 * time.Second

// Harmed reports that links of a machine are disturbed now, or its node not running.
func (j *Judge) Harmed(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.harmed[ip] = time.Now()
}

// heldUp reports whether a request may come late because of disturbed links: its time is not
// checked then. mu is held.
func (j *Judge) heldUp(req *request, targetIP string) bool {
	for _, ip := range []string{req.origin, targetIP} {
		if at, harmed := j.harmed[ip]; harmed && time.Since(at) < Contact {
			return true
		}
	}
	return false
}

// Answered reports the answer that a target sends, which may not arrive.
func (j *Judge) Answered(run *Run, status int, signature string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.status, run.signature = status, signature
}

// Received reports an answer that a client got whole.
func (j *Judge) Received(id string, status int, signature string, content []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req := j.requests[id]
	if req == nil {
		return
	}
	switch {
	case status >= 200 && status < 300 && signature != Signature(id, status, content):
		j.breach("MIXED", "request %s got a success that no target gave", id)
	case signature != "" && !req.gave(status, signature):
		j.breach("MIXED", "request %s got status %d, which no target gave with this signature", id, status)
	}
	if status >= 400 && status < 500 && signature == "" && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && j.tenancy.taken[req.key].IsZero() {
		j.denied++
	}
	j.refusedForHarm(req, string(content))
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		req.denied = true
		if req.unsafe && len(req.runs) > 0 {
			j.breach("REFUSED", "request %s got %d and has run", id, status)
		}
	}
}

// gave reports whether a target sent this answer.
func (r *request) gave(status int, signature string) bool {
	for _, run := range r.runs {
		if run.status == status && run.signature == signature {
			return true
		}
	}
	return false
}

// Signature returns the mark by which an answer is known as that of a target to this request.
func Signature(id string, status int, content []byte) string {
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%s %d ", id, status)
	_, _ = sum.Write(content)
	return strconv.FormatUint(sum.Sum64(), 16)
}
