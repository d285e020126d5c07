package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/core/importance"
	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// Egress serves the requests of the clients on the machine and of the target there.
type Egress struct {
	options  Options
	splitter *splitter
}

// New makes the egress of a node.
func New(options Options) *Egress {
	return &Egress{options: options, splitter: &splitter{credit: map[string][]float64{}}}
}

// request is one request and what it takes to have it answered.
type request struct {
	options    *Options
	splitter   *splitter
	writer     *duplex.Writer
	request    *http.Request
	id         string
	intent     *intent.Intent
	route      *intent.Route
	service    string
	parent     *arrival.Running // request of the target that made this one; nil for a client's
	fresh      bool             // the configuration was confirmed lately enough for keys, as of the arrival
	holder     *intent.Tenant   // whose key a client's request carries; nil: none
	tenant     string           // to which the request belongs; empty: none
	importance int
	repeat     bool
	granted    float64 // part of the request's budgets for repeats that goes down the chain
	header     http.Header
	body       *reply.Payload
	started    time.Duration
	needs      []wire.Need     // what the last sending needed
	lacked     bool            // there was no room for it in time
	status     int             // that the sender got; 0: none
	closing    bool            // the node stops and takes no new requests
	ctx        context.Context // ends with the request's time, its sender's interest or its parent
	cleanups   []func()        // run at the end of the request, the last first
	arrivals   int             // sendings that reached a target
	mayRun     bool            // one of them may have run
	trial      bool            // targets ended with its content; only this one is sent now

	// What its log line has besides.
	holdFor  time.Duration
	decision admission.Decision
	sends    []eventlog.Send
}

// Times of a request.
const (
	defaultDeadline = 10 * time.Second // of a sender that names none
	// bodyGrace is how long after the request's time its body may still be read: the context ends
	// first then, and the reason is that the time is up.
	bodyGrace = 50 * time.Millisecond
)

// ServeHTTP takes a request: it goes through the steps of the entry in their order, and is
// sent unless one of them refuses it.
func (e *Egress) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	w, r, end, closing := e.options.Begin(writer, received)
	defer end()
	id := r.Header.Get(e.options.Headers.RequestID)
	isCall := e.options.Arrivals.IsCall(id)
	if !isCall {
		defer e.options.CountClient()()
	}
	x := &request{options: &e.options, splitter: e.splitter, writer: w, request: r, id: id, started: e.options.Now(), closing: closing && !isCall}
	defer x.finish()
	for _, step := range entrySteps {
		if !step(x) {
			return
		}
	}
	x.send(x.ctx)
}

// uriOf is path and query as they were sent.
func uriOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(uriOf(r), "?")
	return path
}

// senderTime is how long the sender will wait.
func (x *request) senderTime() time.Duration {
	if text := x.request.Header.Get(x.options.Headers.Deadline); text != "" {
		if milliseconds, err := strconv.ParseFloat(text, 64); err == nil && milliseconds >= 0 {
			return time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	return defaultDeadline
}

// longestHold is the longest time that the request may be held.
func (x *request) longestHold() time.Duration {
	hold := x.senderTime()
	if x.route.Timeout > 0 {
		hold = min(hold, x.route.Timeout)
	}
	return hold
}

// heldBack asks whether the request may be sent though targets ended with it.
func (x *request) heldBack() heldback.Verdict {
	call := &wire.SidecarCall{Method: x.request.Method, URI: uriOf(x.request), Host: x.request.Host, Caller: x.options.Caller(), Tenant: x.tenant}
	return x.options.HeldBack.AtStart(&heldback.Request{Call: call, Body: x.body})
}

// countRequest counts the request and the calls that will be made for it. The result is the
// part of its budgets for repeats that is left to the nodes below.
func (x *request) countRequest() float64 {
	return x.options.Services.RecordRequest(x.service, x.grantedAbove(), func(f func(name string, calls float64)) {
		x.options.Overload.EachNeed(x.route, f)
	})
}

// grantedAbove is the part of the budgets for repeats that the nodes above leave to
// this one.
func (x *request) grantedAbove() float64 {
	if x.parent == nil {
		return 1
	}
	return x.parent.RetryGrant
}

// leaveWindow notes how a client's request ended that was let in. What one whose time ran out
// waited for is not known: it counts as without room in time, whatever was short.
func (x *request) leaveWindow() {
	x.options.Overload.End(admission.Completion{
		Route: x.route, LatencyBudget: x.limit(), Latency: x.options.Now() - x.started, Needs: x.needs,
		NoCapacity: x.lacked || x.status == http.StatusGatewayTimeout, Abandoned: x.request.Context().Err() != nil,
	})
}

// left is how much of its time the request has left. The timer of ctx stands still while the
// machine is suspended.
func (x *request) left(ctx context.Context) time.Duration {
	left := x.holdFor - (x.options.Now() - x.started)
	if deadline, bounded := ctx.Deadline(); bounded {
		left = min(left, time.Until(deadline))
	}
	return left
}

// limit is the time from its arrival inside which the request's answer is wanted.
func (x *request) limit() time.Duration {
	if objective := x.route.Objective; objective > 0 {
		return min(objective, x.holdFor)
	}
	return x.holdFor
}

// learn notes what a sending needed of the services down the chain.
func (x *request) learn(answer *reply.Reply) {
	needs := answer.Needs
	if pressure, known := x.options.Services.Get(x.service).Pressure(x.options.Now()); known && answer.Load.Slots > 0 {
		needs = append(needs, wire.Need{Service: x.service, Calls: 1, Occupancy: int(pressure.Occupancy * wire.OccupancyScale), Wait: answer.Waited})
	}
	x.needs = needs
	if x.parent != nil {
		x.parent.AddNeeds(needs)
	}
	x.options.Overload.RecordNeeds(x.route, needs, answer.Outcome == outcome.Answered && answer.Status < http.StatusBadRequest)
}

// findParent looks for the request at the target for which this one is made, and settles the
// importance by it.
func (x *request) findParent() {
	limit := x.limit()
	if !x.options.PolicyOn(settings.Urgency) {
		limit = 0
	}
	x.importance = importance.Of(x.route, nil, limit)
	parent := x.options.Arrivals.Parent(x.id)
	if parent == nil {
		return
	}
	x.parent = parent
	x.importance = importance.OfCall(parent.Importance)
	x.repeat = parent.IsRetry
}
