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

// Judge holds what clients and targets saw against the users' rules. It is safe
// for concurrent use.
type Judge struct {
	Drain time.Duration // the bound of the rule DRAIN
	Late  time.Duration // borne beyond the bounds of time, for real processes

	mutex    sync.Mutex
	requests map[string]*request
	drained  map[string]time.Time   // acknowledged, by instance
	harmed   map[string]time.Time   // when links of a machine were last cut, by IP
	denied   int                    // proper requests that a node answered with a 4xx of its own
	asks     map[string][]time.Time // requests by service, clients' and calls
	repeats  map[string][]time.Time // arrivals beyond the first, by service
	broken   []string
	tenancy  tenancy
	harm     harmSeen
	stops    stopsSeen
}

type request struct {
	id      string
	origin  string // IP of the machine where it began
	unsafe  bool
	service string // that may run it
	caller  string // service on the machine where it began
	uri     string
	tries   int // targets that one attempt may go to
	runs    []*Run
	left    time.Time // its client went away
	denied  bool      // its client was told that it did not run
	sent    time.Time // by its client
	tenant  string    // that holds key
	key     string
}

// Run is a request that a target began to run.
type Run struct {
	request   *request
	instance  string
	began     time.Time
	status    int
	signature string
	harm      string // what it ends its target as; empty: nothing
}

// New makes a judge.
func New(drain time.Duration) *Judge {
	return &Judge{Drain: drain, requests: map[string]*request{}, drained: map[string]time.Time{}, harmed: map[string]time.Time{}, asks: map[string][]time.Time{}, repeats: map[string][]time.Time{}, tenancy: tenancy{
		taken: map[string]time.Time{}, limits: map[string]quotaLimit{}, runs: map[string][]quotaRun{},
	}, stops: stopsSeen{planned: map[string]time.Time{}}, harm: harmSeen{requests: map[string]*harmfulSeen{}, restarted: map[string]time.Time{}}}
}

func (j *Judge) breach(rule, format string, arguments ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// Broken gives the rules that were broken, with what was seen.
func (j *Judge) Broken() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	sort.Strings(j.broken)
	return append([]string(nil), j.broken...)
}

// Expect tells of a client's request before it is sent.
func (j *Judge) Expect(id, origin, uri, service, caller string, unsafe bool, tries int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.requests[id] = &request{id: id, origin: origin, uri: uri, service: service, caller: caller, unsafe: unsafe, tries: tries}
	j.asks[service] = append(j.asks[service], time.Now())
}

// Left tells that the client of a request went away.
func (j *Judge) Left(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if one := j.requests[id]; one != nil {
		one.left = time.Now()
	}
}

// ExpectCall tells of a call of a target.
func (j *Judge) ExpectCall(id, origin, caller string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.requests[id] = &request{id: id, origin: origin, caller: caller}
}

func (j *Judge) Draining(instance string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.drained[instance] = time.Now()
}

// goneSlack is the time after which a request whose client left must not reach a target.
const goneSlack = 500 * time.Millisecond

// Place is where a request arrived.
type Place struct {
	Service  string
	IP       string // of the machine
	Instance string // of the target
}

// Declined tells that a target turns a request away: an arrival, but no run.
func (j *Judge) Declined(service string, r *http.Request) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if one := j.requests[r.Header.Get("X-Request-Id")]; one != nil {
		j.countArrival(one, service, time.Now())
	}
}

// Ran tells that a target begins with a request.
func (j *Judge) Ran(at Place, r *http.Request, body []byte) *Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	id := r.Header.Get("X-Request-Id")
	one := j.requests[id]
	now := time.Now()
	if one == nil {
		j.breach("UNASKED", "request %s was sent by no client", id)
		one = &request{id: id}
		j.requests[id] = one
	}
	j.countArrival(one, at.Service, now)
	began := &Run{request: one, instance: at.Instance, began: now}
	one.runs = append(one.runs, began)
	j.ranFor(one, r, now)
	j.ranHarmful(began, r, body, now)
	if one.unsafe && len(one.runs) > 1 {
		j.breach("TWICE", "request %s ran %d times", id, len(one.runs))
	}
	if one.unsafe && one.denied {
		j.breach("REFUSED", "request %s runs after its client was told that it never will", id)
	}
	if one.service != "" && one.service != at.Service {
		j.breach("ROUTE", "request %s for %s runs at %s", id, one.service, at.Service)
	}
	if one.uri != "" && one.uri != r.RequestURI {
		j.breach("UNASKED", "request %s runs with %s instead of %s", id, r.RequestURI, one.uri)
	}
	if caller := r.Header.Get("X-Caller-Service"); one.caller != "" && one.caller != caller {
		j.breach("UNASKED", "request %s runs as of %q instead of %q", id, caller, one.caller)
	}
	if one.tries > 0 && len(one.runs) > one.tries {
		j.breach("BUDGET", "request %s reached %d targets of at most %d", id, len(one.runs), one.tries)
	}
	if j.heldUp(one, at.IP) {
		return began
	}
	if !one.left.IsZero() && now.Sub(one.left) > goneSlack+j.Late {
		j.breach("GONE", "request %s reaches a target %s after its client left", id, now.Sub(one.left))
	}
	if since, leaving := j.drained[at.Instance]; leaving && now.Sub(since) > j.Drain+j.Late {
		j.breach("DRAIN", "request %s reaches a leaving target %s after the acknowledgement", id, now.Sub(since))
	}
	return began
}

// Contact is the time after which a machine whose links were harmed counts again.
const Contact = 3 * time.Second

// Harmed tells that links of a machine are cut or harmed now.
func (j *Judge) Harmed(ip string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.harmed[ip] = time.Now()
}

// heldUp tells that a request may come late because of the links; the users'
// pages do not count it then.
func (j *Judge) heldUp(one *request, targetIP string) bool {
	for _, ip := range []string{one.origin, targetIP} {
		if at, harmed := j.harmed[ip]; harmed && time.Since(at) < Contact {
			return true
		}
	}
	return false
}

func (j *Judge) Answered(one *Run, status int, signature string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	one.status, one.signature = status, signature
}

// Received tells of an answer that a client got whole.
func (j *Judge) Received(id string, status int, signature string, content []byte) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	one := j.requests[id]
	if one == nil {
		return
	}
	switch {
	case status >= 200 && status < 300 && signature != Signature(id, status, content):
		j.breach("MIXED", "request %s got a success that no target gave", id)
	case signature != "" && !one.gave(status, signature):
		j.breach("MIXED", "request %s got status %d, which no target gave with this signature", id, status)
	}
	if status >= 400 && status < 500 && signature == "" && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && j.tenancy.taken[one.key].IsZero() {
		j.denied++
	}
	j.refusedForHarm(one, string(content))
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		one.denied = true
		if one.unsafe && len(one.runs) > 0 {
			j.breach("REFUSED", "request %s got %d and has run", id, status)
		}
	}
}

func (r *request) gave(status int, signature string) bool {
	for _, one := range r.runs {
		if one.status == status && one.signature == signature {
			return true
		}
	}
	return false
}

// Signature gives the target's mark on an answer.
func Signature(id string, status int, content []byte) string {
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%s %d ", id, status)
	_, _ = sum.Write(content)
	return strconv.FormatUint(sum.Sum64(), 16)
}
