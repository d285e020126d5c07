package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/importance"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/core/resend"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// send tries targets until one answers or nothing more can be tried.
func (x *request) send(ctx context.Context) {
	target := x.options.Services.Get(x.service)
	tried := resend.New(!x.options.PolicyOn(settings.Declined))
	last := reply.NotRun(outcome.ReasonNoTarget)
	for ctx.Err() == nil && x.left(ctx) > 0 && tried.MayGoOn() {
		choice := target.Pick(x.options.Now(), x.requirement(ctx, tried), tried.Excluded())
		if choice == nil {
			break
		}
		last.Close()
		began := x.options.Now()
		last = x.attempt(ctx, choice, tried.Ended())
		x.noteSend(choice, last, x.options.Now()-began)
		choice.Done(x.options.Now(), last)
		if last.Reason == outcome.ReasonUnreachable && last.Incarnation == "" && choice.Node != x.options.Node {
			x.options.Liveness.StartRecovery(choice.Node, choice.Address)
		}
		x.informIfLost(choice, last)
		x.learn(last)
		tried.Add(choice.Node, last.ResendEnd())
		if last.Arrived {
			x.arrivals++
		}
		if last.Outcome == outcome.Unknown {
			x.mayRun = true
		}
		if last.Outcome == outcome.Answered {
			x.answer(last)
			return
		}
		if !x.again(last, tried) {
			break
		}
	}
	x.giveUp(ctx, last)
}

// again reports whether another sending is made after one that brought no answer; one that
// costs a part of the budgets for repeats takes it.
func (x *request) again(last *reply.Reply, tried *resend.Tried) bool {
	switch tried.Decide(last.ResendEnd(), x.resendRules()) {
	case resend.Again:
		return true
	case resend.FromBudget:
		return x.takeRepeat(last.Reason.Declined())
	}
	return false
}

// takeRepeat takes a repeat of the request out of the budgets. declined means that the target
// declined the sending before.
func (x *request) takeRepeat(declined bool) bool {
	if !x.options.Services.TakeRetry(x.service, x.options.Overload.Needs(x.route), x.rank(), declined) {
		x.options.Metrics.Denied.WithLabelValues(x.service).Inc()
		return false
	}
	x.options.Metrics.Repeats.WithLabelValues(x.service).Inc()
	return true
}

// resendRules is what the decision on another sending depends on besides the sendings.
func (x *request) resendRules() resend.Request {
	return resend.Request{
		Replayable: x.body.Replayable(), Repeatable: x.route.Kind.Repeatable(), Repeat: x.repeat, Trial: x.trial, MostTargets: x.mostTargets(),
		NoHoldBack: !x.options.PolicyOn(settings.HoldBack), NoRepeats: !x.options.PolicyOn(settings.Repeats),
	}
}

// mostTargets is how many targets the request may reach.
func (x *request) mostTargets() int { return max(x.route.MaxAttempts, 1) }

// rank is the rank of the request's chain where repeats are short. It is the same at all nodes
// at which calls of the chain begin.
func (x *request) rank() float64 {
	priorities := 1
	if current := x.options.Configuration.Load(); current != nil {
		priorities = current.LeastPriority() + 1
	}
	start, _, _ := strings.Cut(x.id, wire.CallSeparator)
	return repeats.Rank(x.importance/importance.Step, priorities, xxhash.Sum64String(start))
}

// requirement is what the request needs of a target: an answer within its route's objective,
// and before its time is up.
func (x *request) requirement(ctx context.Context, tried *resend.Tried) balancer.Requirement {
	need := balancer.Requirement{Class: x.route.Name, Limit: x.left(ctx), Only: tried.Only(x.mostTargets())}
	if left := x.route.Objective - (x.options.Now() - x.started); left > 0 {
		need.Limit = min(need.Limit, left)
	}
	return need
}

// attempt sends the request to one target.
func (x *request) attempt(ctx context.Context, choice *services.Choice, suspect bool) *reply.Reply {
	repeatable := x.route.Kind.Repeatable()
	call := &wire.SidecarCall{
		RequestID: x.id, Method: x.request.Method, URI: uriOf(x.request), Host: x.request.Host, Service: x.service, Route: x.route.Name,
		Caller: x.options.Caller(), From: x.options.Node, Importance: x.importance, Repeatable: repeatable,
		Repeat: x.repeat || x.arrivals > 0, Attempt: x.arrivals, Remaining: x.left(ctx).Microseconds(),
		Version: int64(x.intent.Version), Granted: x.granted, Tenant: x.tenant, Suspect: suspect, Trial: x.trial,
	}
	if choice.Node == x.options.Node {
		return x.options.Arrivals.Serve(ctx, call, x.header.Clone(), x.body)
	}
	if repeatable {
		return x.sendRepeatable(ctx, choice, call)
	}
	return x.sendOnce(ctx, choice, call)
}

// noteSend counts a sending and keeps it for the log line.
func (x *request) noteSend(choice *services.Choice, answer *reply.Reply, took time.Duration) {
	x.options.Metrics.Sends.WithLabelValues(x.service, string(answer.Outcome), string(answer.Reason)).Inc()
	x.sends = append(x.sends, eventlog.Send{
		Node: choice.Node, Outcome: string(answer.Outcome), Reason: string(answer.Reason), Arrived: answer.Arrived, Status: answer.Status,
		TookMS: eventlog.Milliseconds(took), Occupancy: answer.Load.Occupancy(),
	})
}

// informIfLost exchanges with a node that replied without knowing any configuration.
func (x *request) informIfLost(choice *services.Choice, answer *reply.Reply) {
	if answer.Incarnation != "" && answer.Version == 0 && choice.Node != x.options.Node {
		x.options.Exchange(choice.Address)
	}
}

// sendRepeatable sends to another node, and gives up when that node shows no
// sign of life.
func (x *request) sendRepeatable(ctx context.Context, choice *services.Choice, call *wire.SidecarCall) *reply.Reply {
	ctx, abandon := context.WithCancelCause(ctx)
	watched := x.options.Liveness.Watch(choice.Node, choice.Address, abandon)
	answer := x.options.Peers.Call(ctx, choice.Address, call, x.header, x.body)
	watched.End(answer.Incarnation != "")
	if answer.Outcome == outcome.Unknown && errors.Is(context.Cause(ctx), peer.ErrUnresponsive) {
		answer.Reason = outcome.ReasonSilent
	}
	if answer.Stream == nil {
		abandon(nil)
	}
	return answer
}

// sendOnce sends a request that may run at most once. When the connection to the
// node breaks, the node is asked what became of the request.
func (x *request) sendOnce(ctx context.Context, choice *services.Choice, call *wire.SidecarCall) *reply.Reply {
	call.Key = strconv.FormatUint(rand.Uint64(), 36)
	call.Incarnation = x.options.Members.Incarnation(choice.Node)
	watched := x.options.Liveness.Watch(choice.Node, choice.Address, nil)
	defer func() { watched.End(false) }()
	answer := x.options.Peers.Call(ctx, choice.Address, call, x.header, x.body)
	for range settleTries {
		if answer.Outcome != outcome.Unknown || answer.Reason != outcome.ReasonLost || call.Incarnation == "" || ctx.Err() != nil {
			break
		}
		call.Remaining = x.left(ctx).Microseconds()
		answer = x.options.Peers.Settle(ctx, choice.Address, call)
	}
	if answer.Reason == outcome.ReasonIncarnation {
		x.options.Members.Restarted(choice.Node, answer.Incarnation)
	}
	return answer
}

// settleTries is how often a node is asked what became of a request whose connection broke; no
// measurement set it.
const settleTries = 3
