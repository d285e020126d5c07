package emulator

import (
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/retry"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// userRequest is a request of a user, including its retries by the caller.
type userRequest struct {
	traffic  *deployment.Traffic
	class    *bundle.Class
	user     string
	arrived  time.Duration
	attempts int
	retries  int
	whole    bool
	ended    time.Duration
	reason   outcome.Reason
}

// Callers configures the load generator.
type Callers struct {
	Rate    float64       // user requests per second
	Resend  int           // retries of a failed request by its caller
	Backoff time.Duration // mean delay before a retry, with jitter
	Mix     []deployment.Traffic
}

// generate creates user requests as an open-loop Poisson process until end.
func (w *world) generate(end time.Duration, callers func() Callers, users int) {
	now := callers()
	w.clock.After(time.Duration(w.random.ExpFloat64()/now.Rate*float64(time.Second)), func() {
		if w.clock.Now() >= end {
			return
		}
		current := callers()
		traffic := deployment.Pick(current.Mix, w.random.Float64())
		request := &userRequest{
			traffic: traffic, class: w.bundle.Match(traffic.Service, traffic.Method, traffic.Path),
			user: "user-" + strconv.Itoa(w.random.IntN(users)), arrived: w.clock.Now(),
		}
		w.stats.requests = append(w.stats.requests, request)
		w.send(request, current)
		w.generate(end, callers, users)
	})
}

// send makes one attempt of a user request at a random reachable entry.
func (w *world) send(request *userRequest, callers Callers) {
	request.attempts++
	w.stats.Sendings++
	entry := w.entries[w.random.IntN(len(w.entries))]
	for w.cutZones[entry.zone] && w.anyEntryUp() {
		entry = w.entries[w.random.IntN(len(w.entries))]
	}
	w.clock.After(w.deployment.ClientDelay, func() {
		w.handleAtEntry(entry, request, func(ok bool, reason outcome.Reason) {
			w.clock.After(w.deployment.ClientDelay, func() { w.handleAnswer(request, callers, ok, reason) })
		})
	})
}

func (w *world) anyEntryUp() bool {
	for _, entry := range w.entries {
		if !w.cutZones[entry.zone] {
			return true
		}
	}
	return false
}

func (w *world) handleAnswer(request *userRequest, callers Callers, ok bool, reason outcome.Reason) {
	if ok {
		request.whole, request.ended = true, w.clock.Now()
		return
	}
	request.reason = reason
	if request.attempts > callers.Resend {
		request.ended = w.clock.Now()
		return
	}
	pause := callers.Backoff/2 + time.Duration(w.random.Int64N(int64(callers.Backoff)+1))
	w.clock.After(pause, func() { w.send(request, callers) })
}

// handleAtEntry models an entry node, which sets class, importance, deadline and
// retry credits.
func (w *world) handleAtEntry(entry *node, request *userRequest, done func(bool, outcome.Reason)) {
	credits := request.class.Retries
	if request.attempts > 1 {
		credits = 0
	}
	level := w.bundle.LevelIndex(request.class.Importance)
	out := &outboundCall{
		node: entry, user: request, class: request.class, service: request.traffic.Service,
		route: w.deployment.Service(request.traffic.Service).Route(request.traffic.Method, request.traffic.Path), level: level,
		rank: w.rank(level, request.user), deadline: w.clock.Now() + time.Duration(request.class.Deadline), ledger: retry.NewLedger(credits),
		exclude: map[string]bool{}, done: done,
	}
	out.begin()
}

// recordGateRefusal counts a refusal by the gate of a target.
func (w *world) recordGateRefusal(n *node, in *ingress, action limiter.Action) {
	w.stats.shed(in.call.level)
	w.countOrderViolation(n, in, action)
}

// recordRouteRefusal counts a refusal by an upstream hop.
func (w *world) recordRouteRefusal(o *outboundCall, reason outcome.Reason) {
	if reason == outcome.ReasonOverloadCursor {
		w.stats.shed(o.level)
		w.stats.RefusedEarly++
	}
}

// countOrderViolation counts a call refused for a full queue that holds less
// important calls.
func (w *world) countOrderViolation(n *node, in *ingress, action limiter.Action) {
	if action.Reason != outcome.ReasonQueueFull {
		return
	}
	for _, other := range n.waiting {
		if other.call.level > in.call.level {
			w.stats.OrderViolations++
			return
		}
	}
}
