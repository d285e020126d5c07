// Package judge checks the observations of test clients and targets against the guarantees of
// the mesh: non-idempotent requests run at most once, responses are complete and belong to their
// request, retries stay within the budget, tenant limits and key revocations take effect,
// requests that crash their targets are rejected, and planned stops cut almost no requests.
//
// The judge records every request of a run. It must be told of each request before it is sent,
// of each arrival and response, and of faults injected into machines, because some rules are
// relaxed while a machine is disconnected. It never queries a node. Only tests import it.
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

// Judge checks the observations of clients and targets. It is safe for concurrent use.
type Judge struct {
	Drain         time.Duration // how long a draining target may still be reached after the acknowledgement
	LateTolerance time.Duration // added to time limits when nodes are real processes

	mu           sync.Mutex
	requests     map[string]*request
	drained      map[string]time.Time   // time of the drain acknowledgement, by instance
	forgetful    map[string]bool        // machines whose nodes forget acknowledgements, by IP
	disturbed    map[string]time.Time   // last fault of a machine, by IP
	denied       int                    // well-formed requests that a node answered with a 4xx of its own
	requestTimes map[string][]time.Time // requests from clients and targets, by service
	repeatTimes  map[string][]time.Time // arrivals of retries, by service
	violations   []string
	tenancy      tenancy
	harm         harmfulState
	stops        plannedStops
	statements   statements
}

// request holds the observations for one request id.
type request struct {
	id          string
	origin      string // IP of the machine that sent it
	unsafe      bool
	service     string // the only service that may run it
	caller      string // service of the target on the origin machine
	uri         string
	maxAttempts int // 0: unlimited
	runs        []*Run
	canceledAt  time.Time // when the client disconnected
	denied      bool      // the client got a response that promises it did not run
	sent        time.Time // when the client sent it
	tenant      string    // owner of key
	key         string
}

// Run is one execution of a request by a target.
type Run struct {
	request   *request
	instance  string // of the target
	statement Statement
	status    int
	signature string
	harm      string // key of the harmful request, empty if harmless
}

// New returns a judge with the given limit for draining targets.
func New(drain time.Duration) *Judge {
	return &Judge{Drain: drain, requests: map[string]*request{}, drained: map[string]time.Time{}, forgetful: map[string]bool{}, disturbed: map[string]time.Time{}, requestTimes: map[string][]time.Time{}, repeatTimes: map[string][]time.Time{}, tenancy: tenancy{
		revoked: map[string]time.Time{}, limits: map[string]quotaLimit{}, runs: map[string][]quotaRun{},
	}, stops: plannedStops{planned: map[string]time.Time{}}, statements: statements{targets: map[string]*statingTarget{}, frozen: map[string]time.Time{}, ignoring: map[string]bool{}}, harm: harmfulState{requests: map[string]*harmfulRequest{}, restarted: map[string]time.Time{}}}
}

// violate records a violation of a rule. Callers hold mu.
func (j *Judge) violate(rule, format string, arguments ...any) {
	j.violations = append(j.violations, rule+": "+fmt.Sprintf(format, arguments...))
}

// Violations returns the violations in sorted order, each as the rule and a description.
func (j *Judge) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	sort.Strings(j.violations)
	return append([]string(nil), j.violations...)
}

// Expect registers a client's request before it is sent: the machine that sends it, the service
// that may run it, the calling service, and the maximum number of attempts.
func (j *Judge) Expect(id, origin, uri, service, caller string, unsafe bool, tries int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, origin: origin, uri: uri, service: service, caller: caller, unsafe: unsafe, maxAttempts: tries, sent: time.Now()}
	j.requestTimes[service] = append(j.requestTimes[service], time.Now())
}

// ClientDisconnected records that the client of a request disconnected.
func (j *Judge) ClientDisconnected(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if req := j.requests[id]; req != nil {
		req.canceledAt = time.Now()
	}
}

// ExpectCall registers a call made by a target before it is sent.
func (j *Judge) ExpectCall(id, origin, caller string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, origin: origin, caller: caller, sent: time.Now()}
}

// Draining records that the node of a target acknowledged the drain.
func (j *Judge) Draining(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[instance] = time.Now()
}

// ForgetsDepartures records that the node of a machine is of an earlier release, which forgets with its
// process which targets have announced that they leave. Such a node keeps this rule only until it is
// restarted.
func (j *Judge) ForgetsDepartures(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forgetful[ip] = true
}

// drainedAt returns when the drain of the target of a machine was acknowledged, if its node is bound by
// that. Callers hold mu.
func (j *Judge) drainedAt(at Endpoint) (time.Time, bool) {
	ackedAt, draining := j.drained[at.Instance]
	if j.forgetful[at.IP] && j.harm.restarted[at.IP].After(ackedAt) {
		return time.Time{}, false
	}
	return ackedAt, draining
}

// cancelSlack is how long a request may still reach a target after its client disconnected.
const cancelSlack = 500 * time.Millisecond

// Endpoint identifies the target that received a request.
type Endpoint struct {
	Service  string
	IP       string // of the machine
	Instance string // of the target
}

// Declined records a request that a target rejected without running it.
func (j *Judge) Declined(at Endpoint, r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if req := j.requests[r.Header.Get("X-Request-Id")]; req != nil {
		now := time.Now()
		j.countArrival(req, at.Service, now)
		j.checkStatements(req, at, now)
	}
}

// RunStarted records that a target starts to run a request, and checks the rules for it.
func (j *Judge) RunStarted(at Endpoint, r *http.Request, body []byte) *Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	req := j.requests[id]
	now := time.Now()
	if req == nil {
		j.violate("UNASKED", "request %s was not sent by any client", id)
		req = &request{id: id}
		j.requests[id] = req
	}
	j.countArrival(req, at.Service, now)
	j.checkStatements(req, at, now)
	began := &Run{request: req, instance: at.Instance}
	req.runs = append(req.runs, began)
	j.checkTenant(req, r, now)
	j.recordHarmfulRun(began, r, body, now)
	if req.unsafe && len(req.runs) > 1 {
		j.violate("TWICE", "request %s ran %d times", id, len(req.runs))
	}
	if req.unsafe && req.denied {
		j.violate("REFUSED", "request %s runs after its client was told that it would not", id)
	}
	if req.service != "" && req.service != at.Service {
		j.violate("ROUTE", "request %s for %s runs at %s", id, req.service, at.Service)
	}
	if req.uri != "" && req.uri != r.RequestURI {
		j.violate("UNASKED", "request %s runs with %s instead of %s", id, r.RequestURI, req.uri)
	}
	if caller := r.Header.Get("X-Caller-Service"); req.caller != "" && req.caller != caller {
		j.violate("UNASKED", "request %s runs with caller %q instead of %q", id, caller, req.caller)
	}
	if req.maxAttempts > 0 && len(req.runs) > req.maxAttempts {
		j.violate("BUDGET", "request %s reached %d targets, at most %d allowed", id, len(req.runs), req.maxAttempts)
	}
	if j.heldUp(req, at.IP) {
		return began
	}
	if !req.canceledAt.IsZero() && now.Sub(req.canceledAt) > cancelSlack+j.LateTolerance {
		j.violate("GONE", "request %s reaches a target %s after its client disconnected", id, now.Sub(req.canceledAt))
	}
	if ackedAt, draining := j.drainedAt(at); draining && now.Sub(ackedAt) > j.Drain+j.LateTolerance {
		j.violate("DRAIN", "request %s reaches a draining target %s after the acknowledgement", id, now.Sub(ackedAt))
	}
	return began
}

// FaultRecovery is how long a machine is exempt from time limits after a fault.
const FaultRecovery = 3 * time.Second

// MarkDisturbed records that the links of a machine are faulty now or that its node is not running.
func (j *Judge) MarkDisturbed(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed[ip] = time.Now()
}

// heldUp reports whether a fault may have delayed a request, so that its timing is not checked.
// Callers hold mu.
func (j *Judge) heldUp(req *request, targetIP string) bool {
	for _, ip := range []string{req.origin, targetIP} {
		if at, disturbed := j.disturbed[ip]; disturbed && time.Since(at) < FaultRecovery {
			return true
		}
	}
	return false
}

// Answered records the response that a target sends. It may be lost on the way.
func (j *Judge) Answered(run *Run, status int, signature string, statement Statement) {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.status, run.signature, run.statement = status, signature, statement
}

// Received records a response that a client received completely, and checks it.
func (j *Judge) Received(id string, status int, signature string, content []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req := j.requests[id]
	if req == nil {
		return
	}
	switch {
	case status >= 200 && status < 300 && signature != Signature(id, status, content):
		j.violate("MIXED", "request %s got a success response that no target sent", id)
	case signature != "" && req.answeredWith(status, signature) == nil:
		j.violate("MIXED", "request %s got status %d, which no target sent with this signature", id, status)
	}
	if run := req.answeredWith(status, signature); run != nil {
		j.passedOn(run, time.Now())
	}
	if status >= 400 && status < 500 && signature == "" && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && j.tenancy.revoked[req.key].IsZero() {
		j.denied++
	}
	j.countFalsePositive(req, string(content))
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		req.denied = true
		if req.unsafe && len(req.runs) > 0 {
			j.violate("REFUSED", "request %s got status %d but has run", id, status)
		}
	}
}

// answeredWith returns the run to which a target sent this response, or nil.
func (r *request) answeredWith(status int, signature string) *Run {
	for _, run := range r.runs {
		if run.status == status && run.signature == signature {
			return run
		}
	}
	return nil
}

// Signature returns a hash that identifies a target's response to a request.
func Signature(id string, status int, content []byte) string {
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%s %d ", id, status)
	_, _ = sum.Write(content)
	return strconv.FormatUint(sum.Sum64(), 16)
}
