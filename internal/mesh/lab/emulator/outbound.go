package emulator

import (
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/retry"
	"github.com/landingmast/landingmast/internal/mesh/core/routing"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// baselineRetries is the number of retries at each hop of the baseline.
const baselineRetries = 3

// outboundCall is a call that a node makes to a service.
type outboundCall struct {
	node     *node
	parent   *call
	user     *userRequest
	class    *bundle.Class
	route    *deployment.Route
	service  string
	level    int
	rank     admission.Rank
	deadline time.Duration
	ledger   *retry.Ledger
	depth    int
	retries  int
	exclude  map[string]bool
	done     func(ok bool, reason outcome.Reason)
	ended    bool
	target   *node // of the current attempt
	ingress  *ingress
	attempt  int
}

// outbound makes a downstream call of a back end through its node.
func (s *simulation) outbound(from *node, parent *call, wanted deployment.DownstreamCall, done func(ok bool)) {
	if parent.abandoned {
		return
	}
	class := s.bundle.Match(wanted.Service, wanted.Method, wanted.Path)
	deadline := s.clock.Now() + time.Duration(class.Deadline)
	if s.mechanisms.Deadlines {
		deadline = min(deadline, parent.deadline)
	}
	out := &outboundCall{
		node: from, parent: parent, user: parent.user, class: class, service: wanted.Service,
		route: s.deployment.Service(wanted.Service).Route(wanted.Method, wanted.Path), level: parent.level, rank: parent.rank,
		deadline: deadline, ledger: parent.ledger, depth: parent.depth + 1, exclude: map[string]bool{},
	}
	if !s.mechanisms.UserOrder {
		out.rank = s.randomRank(out.level)
	}
	parent.children = append(parent.children, out)
	parent.own.DownstreamStarted(s.clock.Now())
	out.done = func(ok bool, _ outcome.Reason) {
		parent.own.DownstreamEnded(s.clock.Now())
		parent.lowerPathCursor(from.routes[wanted.Service].Cursor(s.clock.Now()))
		done(ok)
	}
	out.begin()
}

// rank returns the rank of a user request at its entry node.
func (s *simulation) rank(level int, user string) admission.Rank {
	if !s.mechanisms.UserOrder {
		return s.randomRank(level)
	}
	return admission.RankOf(level, user)
}

func (s *simulation) randomRank(level int) admission.Rank {
	return admission.RankOf(level, strconv.FormatUint(s.random.Uint64(), 36))
}

// begin starts the deadline timer and the first attempt.
func (o *outboundCall) begin() {
	sim := o.node.sim
	sim.clock.After(o.deadline-sim.clock.Now(), func() {
		if o.ended {
			return
		}
		o.end(false, outcome.ReasonTimeout)
		o.abandonAttempt()
	})
	o.startAttempt()
}

func (o *outboundCall) end(ok bool, reason outcome.Reason) {
	if !o.ended {
		o.ended = true
		o.done(ok, reason)
	}
}

// abandon ends a call whose parent was cancelled.
func (o *outboundCall) abandon() {
	if o.ended {
		return
	}
	o.ended = true
	o.abandonAttempt()
}

// abandonAttempt gives up the current attempt and, with Mechanisms.Cancel, cancels
// it at the target.
func (o *outboundCall) abandonAttempt() {
	if o.ingress == nil {
		return
	}
	sim := o.node.sim
	target, in := o.target, o.ingress
	o.ingress = nil
	o.node.routes[o.service].Finished(sim.clock.Now(), o.class.Name, routing.Result{Node: target.name, Neutral: true}, -1)
	if !sim.mechanisms.Cancel {
		return
	}
	sim.clock.After(sim.delay(o.node, target), func() {
		if !in.ended || in.call.job != nil {
			target.withdraw(in)
		}
	})
}

// startAttempt picks a target and sends the call to it.
func (o *outboundCall) startAttempt() {
	sim := o.node.sim
	if o.ended {
		return
	}
	choice, reason := o.pick()
	if reason != outcome.ReasonNone {
		sim.recordRouteRefusal(o, reason)
		o.end(false, reason)
		return
	}
	target := sim.nodes[choice]
	loan := o.ledger.Lend()
	o.attempt++
	attempt := o.attempt
	started := sim.clock.Now()
	finish := func(result hopResult) {
		sim.clock.After(sim.delay(target, o.node), func() {
			if attempt != o.attempt || o.ingress == nil && o.ended {
				return
			}
			o.ingress = nil
			loan.Settle(result.unspent)
			o.finished(target, started, result)
		})
	}
	if !sim.reachable(o.node, target) {
		sim.clock.After(unreachableAfter, func() {
			if !o.ended && attempt == o.attempt {
				loan.Settle(loan.Amount())
				o.finished(target, started, hopResult{outcome: outcome.NotRun, reason: outcome.ReasonUnreachable, cursor: -1, pathCursor: -1})
			}
		})
		return
	}
	o.send(target, loan, finish)
}

// unreachableAfter is the time until a connection attempt fails.
const unreachableAfter = 5 * time.Millisecond

func (o *outboundCall) send(target *node, loan *retry.Loan, finish func(hopResult)) {
	sim := o.node.sim
	served := &call{
		node: target, user: o.user, class: o.class.Name, level: o.level, rank: o.rank, deadline: o.deadline, ledger: retry.NewLedger(loan.Amount()),
		depth: o.depth, pathCursor: -1,
	}
	in := &ingress{call: served, route: o.route, finish: finish}
	o.target, o.ingress = target, in
	sim.clock.After(sim.delay(o.node, target), func() {
		if served.abandoned || in.ended {
			return
		}
		target.arrive(in, o.class.Execution == bundle.Repeatable)
	})
}

func (o *outboundCall) pick() (string, outcome.Reason) {
	sim := o.node.sim
	if sim.mechanisms.isBaseline() {
		targets := sim.bundle.Service(o.service).Targets
		o.node.roundRobin[o.service]++
		return targets[o.node.roundRobin[o.service]%len(targets)].Name, outcome.ReasonNone
	}
	choice, reason := o.node.routes[o.service].Pick(sim.clock.Now(), o.class.Name, routing.Request{Rank: o.rank, Exclude: o.exclude})
	return choice.Target.Node, reason
}

// finished handles the result of an attempt and retries if allowed.
func (o *outboundCall) finished(target *node, started time.Duration, result hopResult) {
	sim := o.node.sim
	o.reportToRouting(target, started, result)
	if o.ended {
		return
	}
	switch {
	case result.outcome == outcome.Answered && (result.ok || !sim.mechanisms.isBaseline()):
		o.end(result.ok, result.reason)
	case o.mayRetry(result):
		o.exclude[target.name] = true
		o.retries++
		sim.stats.Retries++
		o.user.retries++
		o.startAttempt()
	default:
		o.end(false, result.reason)
	}
}

func (o *outboundCall) mayRetry(result hopResult) bool {
	sim := o.node.sim
	repeatable := o.class.Execution == bundle.Repeatable
	if sim.mechanisms.isBaseline() || !sim.mechanisms.Credits {
		return (repeatable || result.outcome == outcome.NotRun) && o.retries < baselineRetries
	}
	verdict := retry.Decide(retry.Failure{Outcome: result.outcome, Reason: result.reason, Repeatable: repeatable, TimeLeft: sim.clock.Now() < o.deadline})
	return verdict.Retry && o.ledger.Spend()
}

func (o *outboundCall) reportToRouting(target *node, started time.Duration, result hopResult) {
	sim := o.node.sim
	if sim.mechanisms.isBaseline() {
		return
	}
	report := routing.Result{Node: target.name}
	if result.cursor >= 0 {
		report.HasCursor, report.Cursor = true, admission.Rank(result.cursor)
	}
	pathCursor := -1
	switch {
	case result.outcome == outcome.Answered:
		report.Latency = sim.clock.Now() - started
		pathCursor = result.pathCursor
	case result.reason.IsTargetFault():
		report.Failed = true
	default:
		report.Neutral = true
	}
	if o.node.routes[o.service].Finished(sim.clock.Now(), o.class.Name, report, pathCursor) {
		sim.stats.Ejections++
	}
}
