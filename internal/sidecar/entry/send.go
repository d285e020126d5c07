package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/importance"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retry"
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// send tries targets until one responds or no further attempt is allowed.
func (r *request) send(ctx context.Context) {
	service := r.options.Services.Get(r.service)
	attempts := retry.New(!r.options.PolicyOn(settings.Declined))
	last := reply.NotRun(outcome.ReasonNoTarget)
	for ctx.Err() == nil && r.remaining(ctx) > 0 && attempts.CanContinue() {
		if r.options.Closed(r.parent != nil) {
			last.Close()
			last = reply.NotRun(outcome.ReasonStopping)
			break
		}
		choice := service.Pick(r.options.Now(), r.requirement(ctx, attempts), attempts.Excluded())
		if choice == nil {
			if len(r.attempts) == 0 && service.OverShare(r.options.Now()) {
				last = reply.NotRun(outcome.ReasonRateLimited)
			}
			break
		}
		last.Close()
		started := r.options.Now()
		last = r.attempt(ctx, choice, attempts.TargetCrashed())
		r.recordAttempt(choice, last, r.options.Now()-started)
		choice.Done(r.options.Now(), last)
		r.observeState(choice, last)
		if last.Reason == outcome.ReasonUnreachable && last.Incarnation == "" && choice.Node != r.options.Node {
			r.options.Liveness.StartRecovery(choice.Node, choice.Address)
		}
		r.syncIfUnconfigured(choice, last)
		r.recordNeeds(last)
		attempts.Add(choice.Node, last.ResendEnd())
		if last.Arrived {
			r.delivered++
		}
		if last.Outcome == outcome.Unknown {
			r.mayHaveRun = true
		}
		if last.Outcome == outcome.Answered {
			r.writeReply(last)
			return
		}
		if !r.shouldRetry(last, attempts) {
			break
		}
	}
	r.writeFailure(ctx, last)
}

// shouldRetry reports whether a failed attempt is followed by another. It deducts the next attempt
// from the retry budgets if the rules charge it to them.
func (r *request) shouldRetry(last *reply.Reply, attempts *retry.Attempts) bool {
	switch attempts.Decide(last.ResendEnd(), r.retryRules()) {
	case retry.RetryTransparent:
		return true
	case retry.RetryFromBudget:
		return r.takeRetry(last.Reason.Declined())
	}
	return false
}

// takeRetry deducts a retry from the budgets. declined means that the target declined the previous
// attempt.
func (r *request) takeRetry(declined bool) bool {
	if !r.options.Services.TakeRetry(r.service, r.options.Admission.Needs(r.route), r.retryRank(), declined) {
		r.options.Metrics.RetriesDenied.WithLabelValues(r.service).Inc()
		return false
	}
	r.options.Metrics.Retries.WithLabelValues(r.service).Inc()
	return true
}

// retryRules returns the properties of the request that decide whether it may be retried.
func (r *request) retryRules() retry.Request {
	return retry.Request{
		Replayable: r.body.Replayable(), Idempotent: r.route.Kind.Repeatable(), IsRetry: r.parentIsRetry, Trial: r.trial, MaxTargets: r.maxTargets(),
		NoQuarantine: !r.options.PolicyOn(settings.HoldBack), NoRetries: !r.options.PolicyOn(settings.Repeats),
	}
}

// maxTargets returns how many targets the request may be delivered to.
func (r *request) maxTargets() int { return max(r.route.MaxAttempts, 1) }

// retryRank ranks the request's call chain when retries are scarce. All nodes compute the same rank
// for the calls of one chain.
func (r *request) retryRank() float64 {
	priorities := 1
	if current := r.options.Configuration.Load(); current != nil {
		priorities = current.LowestPriority() + 1
	}
	need := 0
	if r.scarce {
		need = r.needClass
	}
	root, _, _ := strings.Cut(r.id, wire.CallSeparator)
	return retrybudget.Rank(r.importance/importance.PriorityStep, priorities, need, wire.MaxNeedClass, xxhash.Sum64String(root))
}

// requirement returns what the balancer must satisfy: a response within the objective of the route
// and before the timeout.
func (r *request) requirement(ctx context.Context, attempts *retry.Attempts) balancer.Requirement {
	requirement := balancer.Requirement{Class: r.route.Name, Timeout: r.remaining(ctx), Allowed: attempts.AllowedTargets(r.maxTargets())}
	if left := r.route.Objective - (r.options.Now() - r.started); left > 0 {
		requirement.Timeout = min(requirement.Timeout, left)
	}
	return requirement
}

// attempt sends the request to one target.
func (r *request) attempt(ctx context.Context, choice *services.Choice, suspect bool) *reply.Reply {
	repeatable := r.route.Kind.Repeatable()
	call := &wire.SidecarCall{
		RequestID: r.id, Method: r.incoming.Method, URI: requestURI(r.incoming), Host: r.incoming.Host, Service: r.service, Route: r.route.Name,
		Caller: r.options.Caller(), From: r.options.Node, Importance: r.importance, Idempotent: repeatable,
		IsRetry: r.parentIsRetry || r.delivered > 0, Attempt: r.delivered, Remaining: r.remaining(ctx).Microseconds(),
		Version: int64(r.intent.Version), RetryGrant: r.retryGrant, NeedClass: r.needClass, Scarce: r.scarce, Tenant: r.tenant, Suspect: suspect, Trial: r.trial,
		TargetState: choice.State,
	}
	if choice.Node == r.options.Node {
		return r.options.Ingress.Serve(ctx, call, r.header.Clone(), r.body)
	}
	if repeatable {
		return r.sendRepeatable(ctx, choice, call)
	}
	return r.sendAtMostOnce(ctx, choice, call)
}

// recordAttempt counts an attempt and keeps it for the log event.
func (r *request) recordAttempt(choice *services.Choice, response *reply.Reply, elapsed time.Duration) {
	r.options.Metrics.Attempts.WithLabelValues(r.service, string(response.Outcome), string(response.Reason)).Inc()
	r.attempts = append(r.attempts, eventlog.Attempt{
		Node: choice.Node, Outcome: string(response.Outcome), Reason: string(response.Reason), Arrived: response.Arrived, Status: response.Status,
		TookMS: eventlog.Milliseconds(elapsed), Occupancy: response.Load.Occupancy(),
	})
}

// syncIfUnconfigured synchronizes with a node that replied without having a configuration.
func (r *request) syncIfUnconfigured(choice *services.Choice, response *reply.Reply) {
	if response.Incarnation != "" && response.Version == 0 && choice.Node != r.options.Node {
		r.options.SyncWith(choice.Address)
	}
}

// sendRepeatable sends a repeatable request to another node and abandons it when the node becomes
// unresponsive.
func (r *request) sendRepeatable(ctx context.Context, choice *services.Choice, call *wire.SidecarCall) *reply.Reply {
	var abort peer.Abort
	watch := r.options.Liveness.Watch(choice.Node, choice.Address, &abort)
	response := r.options.PeerClient.Call(ctx, choice.Address, call, r.header, r.body, &abort)
	watch.End(response.Incarnation != "")
	if response.Outcome == outcome.Unknown && abort.Aborted() {
		response.Reason = outcome.ReasonSilent
	}
	return response
}

// sendAtMostOnce sends a request that must not be executed twice. If the connection breaks, it
// queries the node for the outcome.
func (r *request) sendAtMostOnce(ctx context.Context, choice *services.Choice, call *wire.SidecarCall) *reply.Reply {
	call.Key = strconv.FormatUint(rand.Uint64(), 36)
	call.Incarnation = r.options.Members.Incarnation(choice.Node)
	watch := r.options.Liveness.Watch(choice.Node, choice.Address, nil)
	defer func() { watch.End(false) }()
	response := r.options.PeerClient.Call(ctx, choice.Address, call, r.header, r.body, nil)
	for range maxSettleQueries {
		if response.Outcome != outcome.Unknown || response.Reason != outcome.ReasonLost || call.Incarnation == "" || ctx.Err() != nil {
			break
		}
		call.Remaining = r.remaining(ctx).Microseconds()
		response = r.options.PeerClient.Settle(ctx, choice.Address, call)
	}
	if response.Reason == outcome.ReasonNodeRestarted {
		r.options.Members.SetIncarnation(choice.Node, response.Incarnation)
	}
	return response
}

// maxSettleQueries limits the queries for the outcome of a request whose connection broke.
const maxSettleQueries = 3
