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

// userRequest is what a user wants; a caller may send it several times.
type userRequest struct {
	traffic  *deployment.Traffic
	class    *bundle.Class
	user     string
	arrived  time.Duration
	sendings int
	retries  int
	whole    bool
	ended    time.Duration
	reason   outcome.Reason
}

// Callers set how the callers behave.
type Callers struct {
	Rate    float64       // user requests a second
	Resend  int           // how often a caller sends a failed request again
	Backoff time.Duration // before that; the answer's time to come back is ignored
	Mix     []deployment.Traffic
}

// generate makes user requests as an open loop until the end.
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

// send sends a user request to an entry, once.
func (w *world) send(request *userRequest, callers Callers) {
	request.sendings++
	w.stats.Sendings++
	entry := w.entries[w.random.IntN(len(w.entries))]
	for w.cutZones[entry.zone] && w.anyEntryUp() {
		entry = w.entries[w.random.IntN(len(w.entries))]
	}
	w.clock.After(w.deployment.ClientDelay, func() {
		w.enter(entry, request, func(ok bool, reason outcome.Reason) {
			w.clock.After(w.deployment.ClientDelay, func() { w.answered(request, callers, ok, reason) })
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

func (w *world) answered(request *userRequest, callers Callers, ok bool, reason outcome.Reason) {
	if ok {
		request.whole, request.ended = true, w.clock.Now()
		return
	}
	request.reason = reason
	if request.sendings > callers.Resend {
		request.ended = w.clock.Now()
		return
	}
	pause := callers.Backoff/2 + time.Duration(w.random.Int64N(int64(callers.Backoff)+1))
	w.clock.After(pause, func() { w.send(request, callers) })
}

// enter is the entry's part: class, importance, deadline and credits are set here.
func (w *world) enter(entry *node, request *userRequest, done func(bool, outcome.Reason)) {
	credits := request.class.Retries
	if request.sendings > 1 {
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

// refusedAt notes a refusal by the gate of a target.
func (w *world) refusedAt(n *node, in *ingress, action limiter.Action) {
	w.stats.shed(in.call.level)
	w.checkImportance(n, in, action)
}

// refusedByRoute notes a refusal by the hop above.
func (w *world) refusedByRoute(o *outboundCall, reason outcome.Reason) {
	if reason == outcome.ReasonOverloadCursor {
		w.stats.shed(o.level)
		w.stats.RefusedEarly++
	}
}

// checkImportance counts refusals of a call while the same queue holds less
// important work: that would be shedding in the wrong order.
func (w *world) checkImportance(n *node, in *ingress, action limiter.Action) {
	if action.Reason != outcome.ReasonQueueFull {
		return
	}
	for _, other := range n.waiting {
		if other.call.level > in.call.level {
			w.stats.WrongOrder++
			return
		}
	}
}
