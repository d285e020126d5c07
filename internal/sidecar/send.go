package sidecar

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/wire"
)

// send tries targets until one answers or nothing more can be tried.
func (x *exchange) send(ctx context.Context) {
	target := x.node.services.get(x.service)
	excluded := map[string]bool{}
	last := notRun(reasonNoTarget)
	for bounces, fulls := 0, 0; bounces < maxBounces && fulls < maxFulls && ctx.Err() == nil; {
		choice := target.pick(x.node.now(), x.wish(ctx), excluded)
		if choice == nil {
			break
		}
		last.close()
		began := x.node.now()
		last = x.attempt(ctx, choice, bounces)
		x.noteSend(choice, last, x.node.now()-began)
		choice.done(x.node.now(), last)
		if last.reason == reasonUnreachable && last.incarnation == "" && choice.node != x.node.settings().Node {
			x.node.liveness.revive(choice.node, choice.address)
		}
		x.tellIfLost(choice, last)
		x.learn(last)
		if last.arrived {
			x.arrivals++
		} else {
			bounces++
		}
		if last.full() {
			fulls++
		}
		if last.outcome == Unknown {
			x.mayRun = true
		}
		if last.outcome == Answered {
			x.answer(last)
			return
		}
		excluded[choice.node] = true
		if !x.again(last) {
			break
		}
	}
	x.giveUp(ctx, last)
}

// wish is what the request asks of a target: an answer within its route's objective,
// and before its time is up.
func (x *exchange) wish(ctx context.Context) balancer.Wish {
	deadline, _ := ctx.Deadline()
	wish := balancer.Wish{Class: x.route.Name, Limit: time.Until(deadline)}
	if left := x.route.Objective - (x.node.now() - x.started); left > 0 {
		wish.Limit = min(wish.Limit, left)
	}
	return wish
}

// again tells whether another target may be tried after a sending that brought
// no answer.
func (x *exchange) again(last *reply) bool {
	if !x.body.replayable() {
		return false
	}
	if !last.arrived {
		return true
	}
	if last.outcome == Unknown && !x.route.Kind.Repeatable() {
		return false
	}
	if x.arrivals >= max(x.route.MaxAttempts, 1) || x.repeat {
		return false
	}
	return x.node.repeat(x.route, x.service)
}

// attempt sends the request to one target.
func (x *exchange) attempt(ctx context.Context, choice *choice, bounces int) *reply {
	deadline, _ := ctx.Deadline()
	repeatable := x.route.Kind.Repeatable()
	call := &wire.SidecarCall{
		RequestID: x.id, Method: x.request.Method, URI: uriOf(x.request), Host: x.request.Host, Service: x.service, Route: x.route.Name,
		Caller: x.node.caller(), From: x.node.settings().Node, Importance: x.importance, Repeatable: repeatable,
		Repeat: x.repeat || x.arrivals > 0, Attempt: x.arrivals, Remaining: time.Until(deadline).Microseconds(),
		Version: int64(x.intent.Version), Granted: x.granted,
	}
	if choice.node == x.node.settings().Node {
		return x.node.ingress.serve(ctx, call, x.header.Clone(), x.body)
	}
	if repeatable {
		return x.sendRepeatable(ctx, choice, call)
	}
	return x.sendOnce(ctx, choice, call)
}

// noteSend keeps a sending for the log and counts it.
func (x *exchange) noteSend(choice *choice, answer *reply, took time.Duration) {
	x.node.metrics.Sends.WithLabelValues(x.service, string(answer.outcome), string(answer.reason)).Inc()
	x.sends = append(x.sends, eventlog.Send{
		Node: choice.node, Outcome: string(answer.outcome), Reason: string(answer.reason), Arrived: answer.arrived, Status: answer.status,
		TookMS: milliseconds(took), Occupancy: answer.load.Occupancy(),
	})
}

// tellIfLost helps a node that replied without knowing any configuration.
func (x *exchange) tellIfLost(choice *choice, answer *reply) {
	if answer.incarnation != "" && answer.version == 0 && choice.node != x.node.settings().Node {
		x.node.exchanger.tell(choice.address)
	}
}

// sendRepeatable sends to another node, and gives up when that node shows no
// sign of life.
func (x *exchange) sendRepeatable(ctx context.Context, choice *choice, call *wire.SidecarCall) *reply {
	ctx, abandon := context.WithCancelCause(ctx)
	watched := x.node.liveness.begin(choice.node, choice.address, abandon)
	answer := x.node.peers.call(ctx, choice.address, call, x.header, x.body)
	watched.end(answer.incarnation != "")
	if answer.outcome == Unknown && errors.Is(context.Cause(ctx), errSilent) {
		answer.reason = reasonSilent
	}
	if answer.stream == nil {
		abandon(nil)
	}
	return answer
}

// sendOnce sends a request that may run at most once. When the connection to the
// node breaks, the node is asked what became of the request.
func (x *exchange) sendOnce(ctx context.Context, choice *choice, call *wire.SidecarCall) *reply {
	call.Key = strconv.FormatUint(rand.Uint64(), 36)
	call.Incarnation = x.node.membership.incarnation(choice.node)
	watched := x.node.liveness.begin(choice.node, choice.address, nil)
	defer func() { watched.end(false) }()
	answer := x.node.peers.call(ctx, choice.address, call, x.header, x.body)
	for range settleTries {
		if answer.outcome != Unknown || answer.reason != reasonLost || call.Incarnation == "" || ctx.Err() != nil {
			break
		}
		deadline, _ := ctx.Deadline()
		call.Remaining = time.Until(deadline).Microseconds()
		answer = x.node.peers.settle(ctx, choice.address, call)
	}
	if answer.reason == reasonIncarnation {
		x.node.membership.restarted(choice.node, answer.incarnation)
	}
	return answer
}

// settleTries is how often a node is asked what became of a request.
const settleTries = 3
