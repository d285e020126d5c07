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
func (s *simulation) generate(end time.Duration, callers func() Callers, users int) {
	now := callers()
	s.clock.After(time.Duration(s.random.ExpFloat64()/now.Rate*float64(time.Second)), func() {
		if s.clock.Now() >= end {
			return
		}
		current := callers()
		traffic := deployment.PickTraffic(current.Mix, s.random.Float64())
		request := &userRequest{
			traffic: traffic, class: s.bundle.Match(traffic.Service, traffic.Method, traffic.Path),
			user: "user-" + strconv.Itoa(s.random.IntN(users)), arrived: s.clock.Now(),
		}
		s.stats.requests = append(s.stats.requests, request)
		s.send(request, current)
		s.generate(end, callers, users)
	})
}

// send makes one attempt of a user request at a random reachable entry.
func (s *simulation) send(request *userRequest, callers Callers) {
	request.attempts++
	s.stats.Attempts++
	entry := s.entries[s.random.IntN(len(s.entries))]
	for s.cutZones[entry.zone] && s.anyEntryUp() {
		entry = s.entries[s.random.IntN(len(s.entries))]
	}
	s.clock.After(s.deployment.ClientDelay, func() {
		s.handleAtEntry(entry, request, func(ok bool, reason outcome.Reason) {
			s.clock.After(s.deployment.ClientDelay, func() { s.handleAnswer(request, callers, ok, reason) })
		})
	})
}

func (s *simulation) anyEntryUp() bool {
	for _, entry := range s.entries {
		if !s.cutZones[entry.zone] {
			return true
		}
	}
	return false
}

func (s *simulation) handleAnswer(request *userRequest, callers Callers, ok bool, reason outcome.Reason) {
	if ok {
		request.whole, request.ended = true, s.clock.Now()
		return
	}
	request.reason = reason
	if request.attempts > callers.Resend {
		request.ended = s.clock.Now()
		return
	}
	pause := callers.Backoff/2 + time.Duration(s.random.Int64N(int64(callers.Backoff)+1))
	s.clock.After(pause, func() { s.send(request, callers) })
}

// handleAtEntry models an entry node, which sets class, importance, deadline and
// retry credits.
func (s *simulation) handleAtEntry(entry *node, request *userRequest, done func(bool, outcome.Reason)) {
	credits := request.class.Retries
	if request.attempts > 1 {
		credits = 0
	}
	level := s.bundle.LevelIndex(request.class.Importance)
	out := &outboundCall{
		node: entry, user: request, class: request.class, service: request.traffic.Service,
		route: s.deployment.Service(request.traffic.Service).Route(request.traffic.Method, request.traffic.Path), level: level,
		rank: s.rank(level, request.user), deadline: s.clock.Now() + time.Duration(request.class.Deadline), ledger: retry.NewLedger(credits),
		exclude: map[string]bool{}, done: done,
	}
	out.begin()
}

// recordGateRefusal counts a refusal by the gate of a target.
func (s *simulation) recordGateRefusal(n *node, in *ingress, action limiter.Action) {
	s.stats.shed(in.call.level)
	s.countOrderViolation(n, in, action)
}

// recordRouteRefusal counts a refusal by an upstream hop.
func (s *simulation) recordRouteRefusal(o *outboundCall, reason outcome.Reason) {
	if reason == outcome.ReasonOverloadCursor {
		s.stats.shed(o.level)
		s.stats.RefusedEarly++
	}
}

// countOrderViolation counts a call refused for a full queue that holds less
// important calls.
func (s *simulation) countOrderViolation(n *node, in *ingress, action limiter.Action) {
	if action.Reason != outcome.ReasonQueueFull {
		return
	}
	for _, other := range n.waiting {
		if other.call.level > in.call.level {
			s.stats.OrderViolations++
			return
		}
	}
}
