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
func (w *world) outbound(from *node, parent *call, wanted deployment.DeepCall, done func(ok bool)) {
	if parent.abandoned {
		return
	}
	class := w.bundle.Match(wanted.Service, wanted.Method, wanted.Path)
	deadline := w.clock.Now() + time.Duration(class.Deadline)
	if w.mechanisms.Deadlines {
		deadline = min(deadline, parent.deadline)
	}
	out := &outboundCall{
		node: from, parent: parent, user: parent.user, class: class, service: wanted.Service,
		route: w.deployment.Service(wanted.Service).Route(wanted.Method, wanted.Path), level: parent.level, rank: parent.rank,
		deadline: deadline, ledger: parent.ledger, depth: parent.depth + 1, exclude: map[string]bool{},
	}
	if !w.mechanisms.UserOrder {
		out.rank = w.randomRank(out.level)
	}
	parent.children = append(parent.children, out)
	parent.own.DeeperBegins(w.clock.Now())
	out.done = func(ok bool, _ outcome.Reason) {
		parent.own.DeeperEnds(w.clock.Now())
		parent.lowerPathCursor(from.routes[wanted.Service].Cursor(w.clock.Now()))
		done(ok)
	}
	out.begin()
}

// rank returns the rank of a user request at its entry node.
func (w *world) rank(level int, user string) admission.Rank {
	if !w.mechanisms.UserOrder {
		return w.randomRank(level)
	}
	return admission.RankOf(level, user)
}

func (w *world) randomRank(level int) admission.Rank {
	return admission.RankOf(level, strconv.FormatUint(w.random.Uint64(), 36))
}

// begin starts the deadline timer and the first attempt.
func (o *outboundCall) begin() {
	w := o.node.world
	w.clock.After(o.deadline-w.clock.Now(), func() {
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
	w := o.node.world
	target, in := o.target, o.ingress
	o.ingress = nil
	o.node.routes[o.service].Finished(w.clock.Now(), o.class.Name, routing.Result{Node: target.name, Neutral: true}, -1)
	if !w.mechanisms.Cancel {
		return
	}
	w.clock.After(w.delay(o.node, target), func() {
		if !in.ended || in.call.job != nil {
			target.withdraw(in)
		}
	})
}

// startAttempt picks a target and sends the call to it.
func (o *outboundCall) startAttempt() {
	w := o.node.world
	if o.ended {
		return
	}
	choice, reason := o.pick()
	if reason != outcome.ReasonNone {
		w.recordRouteRefusal(o, reason)
		o.end(false, reason)
		return
	}
	target := w.nodes[choice]
	loan := o.ledger.Lend()
	o.attempt++
	attempt := o.attempt
	started := w.clock.Now()
	finish := func(result hopResult) {
		w.clock.After(w.delay(target, o.node), func() {
			if attempt != o.attempt || o.ingress == nil && o.ended {
				return
			}
			o.ingress = nil
			loan.Settle(result.unspent)
			o.finished(target, started, result)
		})
	}
	if !w.reachable(o.node, target) {
		w.clock.After(unreachableAfter, func() {
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
	w := o.node.world
	served := &call{
		node: target, user: o.user, class: o.class.Name, level: o.level, rank: o.rank, deadline: o.deadline, ledger: retry.NewLedger(loan.Amount()),
		depth: o.depth, pathCursor: -1,
	}
	in := &ingress{call: served, route: o.route, finish: finish}
	o.target, o.ingress = target, in
	w.clock.After(w.delay(o.node, target), func() {
		if served.abandoned || in.ended {
			return
		}
		target.arrive(in, o.class.Execution == bundle.Repeatable)
	})
}

func (o *outboundCall) pick() (string, outcome.Reason) {
	w := o.node.world
	if w.mechanisms.isBaseline() {
		targets := w.bundle.Service(o.service).Targets
		o.node.roundRobin[o.service]++
		return targets[o.node.roundRobin[o.service]%len(targets)].Name, outcome.ReasonNone
	}
	choice, reason := o.node.routes[o.service].Pick(w.clock.Now(), o.class.Name, routing.Request{Rank: o.rank, Exclude: o.exclude})
	return choice.Target.Node, reason
}

// finished handles the result of an attempt and retries if allowed.
func (o *outboundCall) finished(target *node, started time.Duration, result hopResult) {
	w := o.node.world
	o.reportToRouting(target, started, result)
	if o.ended {
		return
	}
	switch {
	case result.outcome == outcome.Answered && (result.ok || !w.mechanisms.isBaseline()):
		o.end(result.ok, result.reason)
	case o.mayRetry(result):
		o.exclude[target.name] = true
		o.retries++
		w.stats.Retries++
		o.user.retries++
		o.startAttempt()
	default:
		o.end(false, result.reason)
	}
}

func (o *outboundCall) mayRetry(result hopResult) bool {
	w := o.node.world
	repeatable := o.class.Execution == bundle.Repeatable
	if w.mechanisms.isBaseline() || !w.mechanisms.Credits {
		return (repeatable || result.outcome == outcome.NotRun) && o.retries < baselineRetries
	}
	verdict := retry.Decide(retry.Failure{Outcome: result.outcome, Reason: result.reason, Repeatable: repeatable, TimeLeft: w.clock.Now() < o.deadline})
	return verdict.Retry && o.ledger.Spend()
}

func (o *outboundCall) reportToRouting(target *node, started time.Duration, result hopResult) {
	w := o.node.world
	if w.mechanisms.isBaseline() {
		return
	}
	report := routing.Result{Node: target.name}
	if result.cursor >= 0 {
		report.HasCursor, report.Cursor = true, admission.Rank(result.cursor)
	}
	pathCursor := -1
	switch {
	case result.outcome == outcome.Answered:
		report.Latency = w.clock.Now() - started
		pathCursor = result.pathCursor
	case result.reason.IsTargetFault():
		report.Failed = true
	default:
		report.Neutral = true
	}
	if o.node.routes[o.service].Finished(w.clock.Now(), o.class.Name, report, pathCursor) {
		w.stats.Ejections++
	}
}
