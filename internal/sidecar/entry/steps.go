package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/duplex"
	readahead "github.com/landingmast/landingmast/internal/pipeline"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// pipeline lists the steps between accepting a request and its first attempt, in order. A step
// either passes the request on or writes the rejection itself and returns false. Cheap steps that
// need no body run first. Steps that acquire something (a quota token, a place in the admission
// window) run last, so that nothing is acquired for a request that another step would reject.
//
//	step            rejects                                    with
//	checkReady      while stopping or without configuration    503 stopping, no_configuration
//	checkID         a request without an id                    400 bad_message
//	matchRoute      a request that matches no route            404 no_route
//	awaitTurn       a request that may run once, was read    503 cancelled
//	                ahead and lost its connection
//	identifyTenant  an unknown key, a key that cannot be       401 unknown_key, 503
//	                verified, a call whose parent is gone      stale_configuration, parent_gone
//	checkSize       a head or body over the configured limits  413 body_too_large, 431 head_too_large
//	readBody        a body that does not arrive in time, or    408 cancelled, 413 body_too_large,
//	                for which there is no memory               503 no_memory
//	checkCrashes    content that crashed several targets       503 ends_targets
//	checkQuota      a request over its tenant's limit          429 over_quota, 503 no_allowance
//	admit           a share of new requests during overload    503 overload
//	                (while a price decides, after a wait)
var pipeline = [...]func(r *request) bool{
	(*request).checkReady,
	(*request).checkID,
	(*request).matchRoute,
	(*request).awaitTurn,
	(*request).identifyTenant,
	(*request).checkSize,
	(*request).readBody,
	(*request).checkCrashes,
	(*request).checkQuota,
	(*request).admit,
}

// onFinish registers f to be called when the request ends.
func (r *request) onFinish(f func()) { r.cleanups = append(r.cleanups, f) }

// finish runs the registered cleanups in reverse order.
func (r *request) finish() {
	for index := len(r.cleanups) - 1; index >= 0; index-- {
		r.cleanups[index]()
	}
}

// checkReady loads the configuration that applies to the request. Freshness is read first: a
// configuration loaded afterwards is at least as new as the one that was revalidated.
func (r *request) checkReady() bool {
	r.configFresh = r.options.ConfigFresh()
	r.intent = r.options.Configuration.Load()
	switch {
	case r.draining:
		r.reject(http.StatusServiceUnavailable, outcome.ReasonStopping, retryafter.NotReady())
		return false
	case r.intent == nil:
		r.reject(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, retryafter.NotReady())
		return false
	}
	return true
}

// checkID rejects a request without an id, since its response could not be correlated.
func (r *request) checkID() bool {
	if r.id == "" {
		r.reject(http.StatusBadRequest, outcome.ReasonBadMessage, noRetryAfter)
		return false
	}
	return true
}

// matchRoute determines the route, the timeout and the importance.
func (r *request) matchRoute() bool {
	r.route = r.intent.Match(r.incoming.Host, requestPath(r.incoming))
	if r.route == nil {
		r.reject(http.StatusNotFound, outcome.ReasonNoRoute, noRetryAfter)
		return false
	}
	r.timeout = r.effectiveTimeout()
	r.resolveParent()
	return true
}

// awaitTurn holds a request that may run only once until the responses before it on its connection are
// complete: the client sends it again if one of them closes the connection.
func (r *request) awaitTurn() bool {
	if r.route.Kind.Repeatable() || readahead.AwaitTurn(r.incoming.Context()) == nil {
		return true
	}
	r.reject(http.StatusServiceUnavailable, outcome.ReasonCancelled, noRetryAfter)
	return false
}

// checkSize rejects a request that exceeds the configured limits, and limits a body of unknown
// length while it is read.
func (r *request) checkSize() bool {
	if status, reason := checkLimits(r.incoming, r.intent.Limits); status != 0 {
		r.writer.Header().Set("Connection", "close")
		r.reject(status, reason, noRetryAfter)
		return false
	}
	if maxBytes := r.intent.Limits.MaxBodyBytes; r.incoming.ContentLength < 0 && maxBytes > 0 {
		r.incoming.Body = http.MaxBytesReader(r.writer, r.incoming.Body, maxBytes)
	}
	return true
}

// readBody starts the request's timeout and reads its body, buffering all of it unless it is long.
func (r *request) readBody() bool {
	r.startTimeout()
	held, reserved := r.options.Bodies.Reserve(r.incoming.ContentLength)
	if !reserved {
		r.reject(http.StatusServiceUnavailable, outcome.ReasonNoMemory, retryafter.Shed(r.clientTimeout()))
		return false
	}
	r.onFinish(func() { r.options.Bodies.Release(held) })
	if r.incoming.ContentLength != 0 {
		_ = http.NewResponseController(r.writer).SetReadDeadline(time.Now().Add(r.timeout + bodyReadGrace))
	}
	body, err := arrival.ReadBody(r.incoming)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.reject(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, noRetryAfter)
		return false
	case err != nil:
		r.reject(http.StatusRequestTimeout, outcome.ReasonCancelled, noRetryAfter)
		return false
	}
	duplex.NoticeDisconnect()
	r.body = body
	r.header = headers.EndToEnd(r.incoming.Header)
	if len(r.intent.Tenants) > 0 {
		r.options.Headers.RemoveIdentity(r.header)
	}
	return true
}

// startTimeout creates the request's context. A call is cancelled together with its parent.
func (r *request) startTimeout() {
	ctx, cancel := context.WithTimeout(r.incoming.Context(), r.timeout)
	r.ctx = ctx
	r.onFinish(cancel)
	if r.parent != nil {
		stop := context.AfterFunc(r.parent.Context, cancel)
		r.onFinish(func() { stop() })
	}
}

// checkCrashes rejects content that crashed several targets. No Retry-After is sent, since the same
// request would be rejected again.
func (r *request) checkCrashes() bool {
	verdict := r.crashVerdict()
	if verdict.Refused {
		r.reject(http.StatusServiceUnavailable, outcome.ReasonEndsTargets, noRetryAfter)
		return false
	}
	if r.trial = verdict.EndTrial != nil; r.trial {
		r.onFinish(verdict.EndTrial)
	}
	return true
}

// admit chooses the service and, during overload, sheds a share of the client requests. Calls of
// requests in progress are always admitted, because work was already spent on them.
func (r *request) admit() bool {
	r.service = r.splitter.choose(r.route)
	r.retryGrant = r.countRequest()
	if r.parent != nil {
		r.decision.Probability = 1
		return true
	}
	var admitted bool
	stated, _ := r.statedTimeout()
	admitted, r.decision = r.options.Admission.AdmitOrWait(r.ctx, r.route, r.tenant, stated, r.startLimits())
	if r.decision.StartWait > 0 {
		r.options.Metrics.StartWait.Observe(r.decision.StartWait.Seconds())
	}
	if !admitted && r.decision.StartWait > 0 && r.clientLeft() {
		r.options.Quotas.ReturnToken(r.keyTenant)
		r.recordCompletion(0, outcome.ReasonCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	if !admitted {
		r.options.Metrics.Shed.WithLabelValues(r.route.Name, r.decision.Bottleneck).Inc()
		if r.decision.OverShare {
			r.options.Metrics.ShedOverShare.WithLabelValues(r.route.Name).Inc()
		}
		r.options.Quotas.ReturnToken(r.keyTenant)
		r.reject(http.StatusServiceUnavailable, outcome.ReasonOverload, r.shedDelay())
		return false
	}
	r.recordAdmission()
	r.onFinish(r.releaseWindow)
	r.needClass, r.scarce = r.decision.NeedClass, r.decision.Scarce
	return true
}

// shedDelay returns the Retry-After of a request that admission refused.
func (r *request) shedDelay() retryafter.Range {
	switch {
	case r.decision.Price > 0 && r.options.PolicyOn(settings.ReturnSlots):
		return r.assignReturn()
	case r.decision.Price > 0:
		return retryafter.ShedByPrice(r.clientTimeout(), r.route.Objective)
	}
	return retryafter.Shed(r.clientTimeout())
}
