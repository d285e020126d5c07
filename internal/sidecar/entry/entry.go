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
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// Egress is the HTTP handler for requests of local clients and of the local target.
type Egress struct {
	options  Options
	splitter *weightedSplitter
	returns  *returns
}

// New returns the egress handler of a node.
func New(options Options) *Egress {
	return &Egress{options: options, splitter: &weightedSplitter{credit: map[string][]float64{}}, returns: newReturns()}
}

// request is the state of one request while it is processed.
type request struct {
	options       *Options
	splitter      *weightedSplitter
	returns       *returns
	writer        *duplex.Writer
	incoming      *http.Request
	id            string
	intent        *intent.Intent
	route         *intent.Route
	service       string
	parent        *arrival.Running // request at the local target that made this call; nil for client requests
	configFresh   bool             // whether the configuration was fresh enough on arrival to trust client keys
	keyTenant     *intent.Tenant   // tenant identified by the client's key; nil if none
	tenant        string           // name of the tenant that owns the request; may be empty
	importance    int
	needClass     int  // need of the chain for a scarce service; see wire.SidecarCall
	scarce        bool // whether that service had a price when the chain began
	parentIsRetry bool
	retryGrant    float64 // share of the request's retry budget passed to downstream nodes
	header        http.Header
	body          *reply.Payload
	started       time.Duration
	needs         []wire.Need     // downstream demand observed by the last attempt
	noCapacity    bool            // whether the last attempt found no capacity in time
	status        int             // status sent to the client; 0 if none was
	draining      bool            // whether the node is shutting down and accepts no new requests
	ctx           context.Context // ends on timeout, on client disconnect or with the parent request
	cleanups      []func()        // run in reverse order when the request ends
	delivered     int             // number of attempts that reached a target
	mayHaveRun    bool            // whether any attempt may have been executed
	trial         bool            // whether this is the only request admitted to test content that crashed targets

	// Recorded in the request's log event.
	timeout          time.Duration
	decision         admission.Decision
	attempts         []eventlog.Attempt
	returnIsPromised bool // whether Retry-After leads to a time slot with room
}

const (
	defaultTimeout = 10 * time.Second // applies when the client sends no deadline
	// bodyReadGrace delays the read deadline of the body past the request's timeout, so that the
	// context expires first and the failure is reported as a timeout.
	bodyReadGrace = 50 * time.Millisecond
)

// ServeHTTP runs a request through the pipeline and sends it unless a step rejects it.
func (e *Egress) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	w, r, end, closing := e.options.Begin(writer, received)
	defer end()
	id := r.Header.Get(e.options.Headers.RequestID)
	isCall := e.options.Ingress.IsCall(id)
	if !isCall {
		defer e.options.CountClient()()
	}
	req := &request{options: &e.options, splitter: e.splitter, returns: e.returns, writer: w, incoming: r, id: id, started: e.options.Now(), draining: closing && !isCall}
	defer req.finish()
	defer req.recordPanic()
	for _, step := range pipeline {
		if !step(req) {
			return
		}
	}
	req.send(req.ctx)
}

// requestURI returns the path and query exactly as the client sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return path
}

// clientTimeout returns how long the client waits for a response.
func (r *request) clientTimeout() time.Duration {
	if timeout, valid := r.statedTimeout(); valid {
		return timeout
	}
	return defaultTimeout
}

// statedTimeout returns how long the client says that it waits for a response, if it does.
func (r *request) statedTimeout() (timeout time.Duration, valid bool) {
	milliseconds, err := strconv.ParseFloat(r.incoming.Header.Get(r.options.Headers.Deadline), 64)
	if err != nil || !(milliseconds >= 0) {
		return 0, false
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}

// effectiveTimeout returns the client's timeout capped by the timeout of the route.
func (r *request) effectiveTimeout() time.Duration {
	timeout := r.clientTimeout()
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	return timeout
}

// crashVerdict checks the request against the contents that are known to crash targets.
func (r *request) crashVerdict() quarantine.Verdict {
	call := &wire.SidecarCall{Method: r.incoming.Method, URI: requestURI(r.incoming), Host: r.incoming.Host, Caller: r.options.Caller(), Tenant: r.tenant}
	return r.options.Quarantine.CheckAtEntry(&quarantine.Request{Call: call, Body: r.body})
}

// countRequest credits the retry budgets for the request and its expected downstream calls. It
// returns the share of the budgets that is left to downstream nodes.
func (r *request) countRequest() float64 {
	return r.options.Services.RecordRequest(r.service, r.inheritedRetryGrant(), func(f func(name string, calls float64)) {
		r.options.Admission.EachNeed(r.route, f)
	})
}

// inheritedRetryGrant returns the share of the retry budgets that upstream nodes left to this one.
func (r *request) inheritedRetryGrant() float64 {
	if r.parent == nil {
		return 1
	}
	return r.parent.RetryGrant
}

// releaseWindow reports the end of an admitted client request to the overload controller. A
// timeout counts as missing capacity, since it is unknown which service the request waited for.
func (r *request) releaseWindow() {
	r.options.Admission.End(admission.Completion{
		Route: r.route, LatencyBudget: r.latencyBudget(), Latency: r.options.Now() - r.started - r.decision.StartWait, Needs: r.needs,
		NoCapacity: r.noCapacity || r.status == http.StatusGatewayTimeout, Abandoned: r.incoming.Context().Err() != nil,
	})
}

// startLimits returns how long the request may wait at the start of its chain: a share of the latency
// objective, and no larger share of the time that it has left.
func (r *request) startLimits() admission.Limits {
	left := r.remaining(r.ctx)
	if !r.options.PolicyOn(settings.StartQueue) {
		return admission.Limits{Left: left}
	}
	wanted := min(r.latencyBudget(), max(left, 0))
	return admission.Limits{Left: left, MaxWait: time.Duration(r.options.MaxWaitShare() * float64(wanted))}
}

// remaining returns the time left until the request times out. It checks the node's clock as well
// as the context, because context timers stop while the host is suspended.
func (r *request) remaining(ctx context.Context) time.Duration {
	left := r.timeout - (r.options.Now() - r.started)
	if deadline, bounded := ctx.Deadline(); bounded {
		left = min(left, time.Until(deadline))
	}
	return left
}

// latencyBudget returns the time after arrival within which a response is wanted: the latency
// objective of the route, capped by the timeout.
func (r *request) latencyBudget() time.Duration {
	if objective := r.route.Objective; objective > 0 {
		return min(objective, r.timeout)
	}
	return r.timeout
}

// recordNeeds records the downstream demand reported by an attempt.
func (r *request) recordNeeds(response *reply.Reply) {
	needs := response.Needs
	if pressure, known := r.options.Services.Get(r.service).Pressure(r.options.Now()); known && response.Load.Slots > 0 {
		needs = append(needs, wire.Need{Service: r.service, Calls: 1, Occupancy: int(pressure.Occupancy * wire.OccupancyScale), Wait: response.Waited, SlotTime: response.SlotTime, Offered: response.Load.Offered, TenantLoad: response.TenantLoad})
	}
	r.needs = needs
	if r.parent != nil {
		r.parent.AddNeeds(needs)
	}
	r.options.Admission.RecordNeeds(r.route, needs, response.Outcome == outcome.Answered && response.Status < http.StatusBadRequest, r.parent != nil)
	r.options.Admission.RecordTenant(r.tenant, needs)
}

// resolveParent looks up the request at the local target that made this call and derives the
// importance from it.
func (r *request) resolveParent() {
	limit := r.latencyBudget()
	if !r.options.PolicyOn(settings.Urgency) {
		limit = 0
	}
	r.importance = importance.Of(r.route, nil, limit)
	parent := r.options.Ingress.Parent(r.id)
	if parent == nil {
		return
	}
	r.parent = parent
	r.importance = importance.OfCall(parent.Importance)
	r.parentIsRetry = parent.IsRetry
	r.needClass, r.scarce = parent.NeedClass, parent.Scarce
}
