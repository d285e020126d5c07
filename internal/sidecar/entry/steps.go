package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
)

// entrySteps are what a request goes through between its listener and its first sending, in
// this order. A step either lets the request go on or refuses it, and then writes the answer
// itself. What is cheap and needs no body comes first; what takes something (a token of the
// quota, a place in the window) comes last, so that nothing is taken for a request that
// another step would refuse.
//
//	step         refuses                                      with
//	isReady      while the node stops or knows no routes      503 stopping, no_configuration
//	hasID        a request without an id                      400 bad_message
//	hasRoute     what no route matches                        404 no_route
//	identify     a key that nobody holds or that cannot be    401 unknown_key, 503
//	             believed, a call whose parent is gone        stale_configuration, parent_gone
//	hasSize      heads and bodies over the operators' limits  413 body_too_large, 431 head_too_large
//	hasBody      bodies that do not come in time              408 cancelled, 413 body_too_large
//	isHarmless   what several targets ended with              503 ends_targets
//	withinQuota  what is beyond its tenant's limit            429 over_quota, 503 no_allowance
//	isAdmitted   a share of fresh requests under overload     503 overload
var entrySteps = [...]func(x *request) bool{
	(*request).isReady,
	(*request).hasID,
	(*request).hasRoute,
	(*request).identify,
	(*request).hasSize,
	(*request).hasBody,
	(*request).isHarmless,
	(*request).withinQuota,
	(*request).isAdmitted,
}

// atEnd has f called when the request has ended.
func (x *request) atEnd(f func()) { x.cleanups = append(x.cleanups, f) }

// finish calls what the steps have left for the end of the request, the last first.
func (x *request) finish() {
	for index := len(x.cleanups) - 1; index >= 0; index-- {
		x.cleanups[index]()
	}
}

// isReady takes the configuration that decides on the request. Freshness is looked at before:
// a configuration that comes in between is newer than what was confirmed; the other way round
// it might be older.
func (x *request) isReady() bool {
	x.fresh = x.options.Fresh()
	x.intent = x.options.Configuration.Load()
	switch {
	case x.closing:
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonStopping, retryafter.Unready())
		return false
	case x.intent == nil:
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonNoIntent, retryafter.Unready())
		return false
	}
	return true
}

// hasID refuses a request without an id: its answer could not be told from another's.
func (x *request) hasID() bool {
	if x.id == "" {
		x.refuse(http.StatusBadRequest, outcome.ReasonBadMessage, notInvited)
		return false
	}
	return true
}

// hasRoute finds the route, how long the request may be held, and its importance.
func (x *request) hasRoute() bool {
	x.route = x.intent.Match(x.request.Host, pathOf(x.request))
	if x.route == nil {
		x.refuse(http.StatusNotFound, outcome.ReasonNoRoute, notInvited)
		return false
	}
	x.holdFor = x.longestHold()
	x.findParent()
	return true
}

// hasSize refuses a request that is larger than the operators allow. The body of one that
// does not say its length is bounded while it is read.
func (x *request) hasSize() bool {
	if status, reason := refusedBySize(x.request, x.intent.Limits); status != 0 {
		x.writer.Header().Set("Connection", "close")
		x.refuse(status, reason, notInvited)
		return false
	}
	if most := x.intent.Limits.MaxBodyBytes; x.request.ContentLength < 0 && most > 0 {
		x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, most)
	}
	return true
}

// hasBody starts the request's time and reads its body, whole unless it is long.
func (x *request) hasBody() bool {
	x.startTime()
	if x.request.ContentLength != 0 {
		_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(x.holdFor + bodyGrace))
	}
	body, err := arrival.ReadBody(x.request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, notInvited)
		return false
	case err != nil:
		x.refuse(http.StatusRequestTimeout, outcome.ReasonCancelled, notInvited)
		return false
	}
	x.body = body
	x.header = headers.EndToEnd(x.request.Header)
	if len(x.intent.Tenants) > 0 {
		x.options.Headers.RemoveIdentity(x.header)
	}
	return true
}

// startTime starts the time for which the request may be held. A call ends with the request
// that made it.
func (x *request) startTime() {
	ctx, cancel := context.WithTimeout(x.request.Context(), x.holdFor)
	x.ctx = ctx
	x.atEnd(cancel)
	if x.parent != nil {
		stop := context.AfterFunc(x.parent.Context, cancel)
		x.atEnd(func() { stop() })
	}
}

// isHarmless refuses a request that several targets ended with. Its sender is not invited to
// come back: it would be refused again.
func (x *request) isHarmless() bool {
	verdict := x.heldBack()
	if verdict.Refused {
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonEndsTargets, notInvited)
		return false
	}
	if x.trial = verdict.EndTrial != nil; x.trial {
		x.atEnd(verdict.EndTrial)
	}
	return true
}

// isAdmitted chooses the service and lets the request in or, under overload, refuses it where
// its chain begins. Calls of requests that are running are always let in: work has gone into
// them.
func (x *request) isAdmitted() bool {
	x.service = x.splitter.choose(x.route)
	x.granted = x.countRequest()
	if x.parent != nil {
		x.decision.Probability = 1
		return true
	}
	var admitted bool
	admitted, x.decision = x.options.Overload.Admit(x.route)
	if !admitted {
		x.options.Quotas.GiveBack(x.holder)
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonSheds, retryafter.Shed(x.senderTime()))
		return false
	}
	x.atEnd(x.leaveWindow)
	return true
}
