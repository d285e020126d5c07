package dataplane

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/wire"
	"github.com/landingmast/landingmast/internal/responses"
)

// ingressCall is a call from another node to the local target.
type ingressCall struct {
	plane       *Plane
	writer      *duplex.Writer
	request     *http.Request
	wire        *wire.Call
	context     *callContext
	started     time.Duration
	preemptible bool
	cursor      int
}

// Ingress returns the handler of the peer port. Requests that are not calls are passed to
// control.
func (p *Plane) Ingress(control http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isCall(r) {
			control.ServeHTTP(w, r)
			return
		}
		p.serveIngress(w, r)
	})
}

func (p *Plane) serveIngress(writer http.ResponseWriter, received *http.Request) {
	w, r, end := p.begin(writer, received)
	defer end()
	call := &ingressCall{plane: p, writer: w, request: r, started: p.now(), cursor: -1}
	header, err := wire.CallCodec.DecodeHeader(r.Header.Get(wire.HeaderCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.wire = header
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	ctx, cancel := withTimeout(ctx, time.Duration(header.Remaining)*time.Microsecond)
	defer cancel()
	setBodyReadDeadline(w, r, time.Duration(header.Remaining)*time.Microsecond)
	call.context = &callContext{
		requestID: header.RequestID, callID: header.CallID, class: header.Class, level: header.Level, rank: admission.Rank(header.Rank),
		depth: header.Depth, deadline: call.started + time.Duration(header.Remaining)*time.Microsecond,
		ledger: newCredits(header.Credits), ctx: ctx, pathCursor: -1,
	}
	if final := call.validate(); final != nil {
		call.refuse(*final, "")
		return
	}
	call.admit(ctx, cancelCause)
}

// validate returns a refusal if this node cannot serve the call.
func (c *ingressCall) validate() *refusal {
	index := c.plane.index.Load()
	switch {
	case c.wire.Protocol > wire.ProtocolVersion:
		return notRun(outcome.ReasonVersionMismatch)
	case index == nil || c.plane.gate.Load() == nil:
		return notRun(outcome.ReasonNoBundle)
	case c.wire.Service != *c.plane.service.Load():
		return notRun(outcome.ReasonUnknownService)
	}
	levels := index.Bundle.Levels
	c.context.level = min(max(c.context.level, 0), len(levels)-1)
	c.context.levelName = levels[c.context.level]
	c.preemptible = !c.wire.AtMostOnce
	return nil
}

// admit waits for a slot at the target and runs the call.
func (c *ingressCall) admit(ctx context.Context, cancel context.CancelCauseFunc) {
	if c.wire.AtMostOnce && c.answerKnownKey() {
		return
	}
	gate := c.plane.gate.Load()
	ticket := gate.acquire(ctx, limiter.Call{
		Level: c.context.level, Class: c.context.class, Deadline: c.context.deadline, Preemptible: c.preemptible,
		Chain: c.context.requestID, Depth: c.context.depth,
	}, c.context.rank, cancel)
	c.cursor = int(ticket.cursor)
	numbers := []explain.Number{
		number("rank", float64(c.context.rank)), number("cursor", float64(ticket.cursor)), number("limit", float64(ticket.action.Limit)),
		number("active", float64(ticket.action.Active)), number("queued", float64(ticket.action.Queued)),
		number("wait_ms", milliseconds(ticket.action.Wait)), number("credits", float64(c.wire.Credits)),
	}
	if !ticket.admitted() {
		c.plane.record(c.context, explain.Refuse, string(ticket.action.Reason), c.wire.Service, c.plane.node, numbers...)
		c.refuse(newRefusal(outcome.NotRun, ticket.action.Reason), "")
		return
	}
	c.plane.record(c.context, explain.Admit, "slot_free", c.wire.Service, c.plane.node, numbers...)
	end := c.run(ctx)
	gate.release(ticket.id, end.own, end.healthy, end.shed)
	if end.final != nil {
		c.refuse(*end.final, end.executor)
	}
	if end.abort {
		panic(http.ErrAbortHandler)
	}
}

// runResult describes how an admitted call ended.
type runResult struct {
	own      time.Duration
	healthy  bool     // own is a valid latency sample
	shed     bool     // the target refused the call
	final    *refusal // response still to be written
	executor string
	abort    bool // the response is incomplete; close the connection
}

// answerKnownKey responds without a slot if the idempotency key is already known here. It
// reports whether it has written a response.
func (c *ingressCall) answerKnownKey() bool {
	phase, answer := c.plane.claims.Lookup(c.wire.Key)
	switch phase {
	case claim.PhaseDone:
		c.writeStoredAnswer(answer)
	case claim.PhaseClaiming, claim.PhaseRunning:
		c.refuse(newRefusal(outcome.Unknown, outcome.ReasonInProgress), "")
	case claim.PhaseUnknown:
		c.refuse(newRefusal(outcome.Unknown, outcome.ReasonExecutorLost), "")
	default:
		return false
	}
	return true
}

func (c *ingressCall) writeStoredAnswer(answer *claim.Answer) {
	if answer == nil {
		c.refuse(newRefusal(outcome.Unknown, outcome.ReasonResponseNotStored), "")
		return
	}
	c.plane.record(c.context, explain.Claim, string(outcome.ReasonStoredResponse), c.wire.Service, c.plane.node)
	header := c.writer.Header()
	for name, values := range answer.Headers {
		header[name] = values
	}
	c.writeHead(outcome.Answered, outcome.ReasonStoredResponse, answer.Status, int64(len(answer.Body)), 0, "")
	sum, err := relay(c.writer, bytes.NewReader(answer.Body), -1, false, nil, func(bodySum) error { return nil })
	c.writeTrailer(sum, err != nil)
}

// run claims the idempotency key of an at-most-once call, forwards the call to the target
// and relays the response.
func (c *ingressCall) run(ctx context.Context) runResult {
	if c.wire.AtMostOnce {
		claimed := c.plane.claims.Begin(ctx, c.wire.Key)
		c.plane.record(c.context, explain.Claim, string(claimed.Reason), c.wire.Service, claimed.Executor, claimed.Numbers...)
		switch {
		case claimed.StoredAnswer != nil:
			c.writeStoredAnswer(claimed.StoredAnswer)
			return runResult{}
		case !claimed.Granted:
			final := newRefusal(claimed.Outcome, claimed.Reason)
			return runResult{final: &final, executor: claimed.Executor}
		}
	}
	c.plane.calls.add(c.context)
	defer c.plane.calls.remove(c.context)
	return c.forward(ctx)
}

func (c *ingressCall) forward(ctx context.Context) runResult {
	started := c.plane.now()
	request, err := c.targetRequest(ctx)
	if err != nil {
		return c.notStarted(outcome.ReasonUnreachable)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.plane.local.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected.Load() {
			return c.notStarted(cancelReason(ctx, outcome.ReasonUnreachable))
		}
		return c.noResponse(started, cancelReason(ctx, outcome.ReasonReset))
	}
	defer response.Body.Close()
	if err := responses.Validate(response); err != nil {
		return c.noResponse(started, outcome.ReasonInvalidResponse)
	}
	if c.isShed(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, relayBufferSize))
		end := c.notStarted(outcome.ReasonTargetShed)
		end.shed = true
		return end
	}
	return c.relayAnswer(ctx, response, started)
}

func (c *ingressCall) targetRequest(ctx context.Context) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: c.plane.target, Path: c.request.URL.Path, RawPath: c.request.URL.RawPath, RawQuery: c.request.URL.RawQuery}
	request, err := http.NewRequestWithContext(ctx, c.wire.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	setBody(request, io.NopCloser(c.request.Body), c.request.ContentLength)
	request.Host = c.wire.Service
	copyHeaders(request.Header, c.request.Header)
	lowercaseIdempotencyKeys(request.Header)
	request.Header.Set(wire.HeaderRequestID, targetRequestID(c.context.requestID, c.context.callID))
	remaining := (c.context.deadline - c.plane.now()) / time.Millisecond
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(int64(remaining), 10))
	return request, nil
}

// notStarted releases the claim of a call that the target did not start.
func (c *ingressCall) notStarted(reason outcome.Reason) runResult {
	if c.wire.AtMostOnce {
		c.plane.claims.Release(c.wire.Key)
	}
	final := newRefusal(outcome.NotRun, reason)
	return runResult{final: &final}
}

// noResponse handles a call that was sent to the target but got no valid response.
func (c *ingressCall) noResponse(started time.Duration, reason outcome.Reason) runResult {
	if c.wire.AtMostOnce {
		c.plane.claims.MarkUnknown(c.wire.Key)
	}
	final := newRefusal(outcome.Unknown, reason)
	return runResult{final: &final, own: c.context.ownTime(c.plane.now(), started), healthy: reason == outcome.ReasonTimeout}
}

// isShed reports whether the response is the shed signal of the service. A target that
// has made a downstream call has started work, so its signal is ignored.
func (c *ingressCall) isShed(response *http.Response) bool {
	service := c.plane.index.Load().Service(c.wire.Service)
	if service == nil || service.Shed == nil || c.context.madeDownstreamCall() {
		return false
	}
	return response.StatusCode == service.Shed.Status && response.Header.Get(service.Shed.Header) != ""
}

// relayAnswer relays the response of the target to the calling node and stores it under
// the idempotency key of an at-most-once call.
func (c *ingressCall) relayAnswer(ctx context.Context, response *http.Response, started time.Duration) runResult {
	copyHeaders(c.writer.Header(), response.Header)
	c.writer.Header().Del("Content-Length")
	c.writeHead(outcome.Answered, outcome.ReasonNone, response.StatusCode, response.ContentLength, 0, "")
	var stored *boundedCopy
	if c.wire.AtMostOnce {
		stored = &boundedCopy{limit: maxStoredAnswer}
	}
	sum, err := relay(c.writer, response.Body, -1, response.ContentLength < 0, stored, func(bodySum) error { return nil })
	own := c.context.ownTime(c.plane.now(), started)
	if c.wire.AtMostOnce {
		c.storeAnswer(response, stored, err)
	}
	if err == errClientGone {
		return runResult{abort: true}
	}
	c.writeTrailer(sum, err != nil)
	reason := outcome.ReasonNone
	if err != nil {
		reason = cancelReason(ctx, outcome.ReasonTruncated)
	}
	c.count(outcome.Answered, reason)
	c.plane.metrics.AddedLatency.WithLabelValues(string(SideIngress)).Observe((started - c.started).Seconds())
	c.plane.record(c.context, explain.Answer, string(reason), c.wire.Service, c.plane.node, number("status", float64(response.StatusCode)),
		number("bytes", float64(sum.length)), number("own_ms", milliseconds(own)), number("took_ms", milliseconds(c.plane.now()-started)))
	return runResult{own: own, healthy: err == nil && response.StatusCode < http.StatusInternalServerError}
}

// maxStoredAnswer is the largest response body, in bytes, stored for an idempotency key.
const maxStoredAnswer = 64 << 10

func (c *ingressCall) storeAnswer(response *http.Response, stored *boundedCopy, relayErr error) {
	if relayErr != nil && relayErr != errClientGone {
		c.plane.claims.MarkUnknown(c.wire.Key)
		return
	}
	if relayErr != nil || stored.exceeded {
		c.plane.claims.Complete(c.wire.Key, nil)
		return
	}
	headers := http.Header{}
	copyHeaders(headers, response.Header)
	headers.Del("Content-Length")
	c.plane.claims.Complete(c.wire.Key, &claim.Answer{Status: response.StatusCode, Headers: headers, Body: stored.data})
}

// writeHead writes the result header and the status line of the response to the calling node.
func (c *ingressCall) writeHead(result outcome.Outcome, reason outcome.Reason, status int, length int64, retryAfter time.Duration, executor string) {
	value, err := wire.ResultCodec.EncodeHeader(&wire.Result{
		Outcome: string(result), Reason: string(reason), Status: status, ContentLength: length, Cursor: c.cursor,
		PathCursor: c.context.lowestCursor(), Executor: executor, RetryAfter: int64(retryAfter / time.Millisecond),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := c.writer.Header()
	header.Set("Trailer", wire.TrailerEnd)
	header.Set(wire.HeaderResult, value)
	c.writer.WriteHeader(http.StatusOK)
}

// writeTrailer sets the trailer with the length, digest and unspent credits.
func (c *ingressCall) writeTrailer(sum bodySum, broken bool) {
	value, err := wire.EndCodec.EncodeHeader(&wire.End{
		CallID: c.context.callID, Unspent: c.context.ledger.close(), Length: sum.length, Digest: int64(sum.digest), Broken: broken,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.writer.Header().Set(wire.TrailerEnd, value)
}

// refuse writes a refusal, which has no body.
func (c *ingressCall) refuse(final refusal, executor string) {
	if final.outcome == outcome.NotRun {
		c.plane.metrics.Shed.WithLabelValues(valueOr(c.context.levelName, "none"), string(final.reason)).Inc()
	}
	c.count(final.outcome, final.reason)
	if final.reason == outcome.ReasonUnreachable || final.outcome == outcome.Unknown {
		c.plane.record(c.context, explain.Refuse, string(final.reason), c.wire.Service, c.plane.node)
	}
	c.writer.DrainBody()
	c.writeHead(final.outcome, final.reason, 0, 0, final.retryAfter, executor)
	c.writeTrailer(bodySum{}, false)
}

func (c *ingressCall) count(result outcome.Outcome, reason outcome.Reason) {
	service := "unknown"
	class := "unknown"
	if c.wire.Service == *c.plane.service.Load() {
		service = c.wire.Service
	}
	if index := c.plane.index.Load(); index != nil && index.HasClass(c.context.class) {
		class = c.context.class
	}
	c.plane.metrics.Calls.WithLabelValues(string(SideIngress), service, class, string(result), string(reason)).Inc()
}
