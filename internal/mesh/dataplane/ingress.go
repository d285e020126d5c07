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
)

// ingressCall is a call from another node to the target beside this one.
type ingressCall struct {
	plane      *Plane
	writer     *duplex.Writer
	request    *http.Request
	wire       *wire.Call
	context    *callContext
	started    time.Duration
	repeatable bool
	cursor     int
}

// Ingress serves the calls of other nodes on the peer port. Requests that are
// no calls go to control.
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
	ctx, abandon := context.WithCancelCause(r.Context())
	defer abandon(nil)
	ctx, cancel := bounded(ctx, time.Duration(header.Remaining)*time.Microsecond)
	defer cancel()
	boundBody(w, r, time.Duration(header.Remaining)*time.Microsecond)
	call.context = &callContext{
		requestID: header.RequestID, callID: header.CallID, class: header.Class, level: header.Level, rank: admission.Rank(header.Rank),
		depth: header.Depth, deadline: call.started + time.Duration(header.Remaining)*time.Microsecond,
		ledger: newCredits(header.Credits), abandoned: ctx, pathCursor: -1,
	}
	if final := call.check(); final != nil {
		call.refuse(*final, "")
		return
	}
	call.admit(ctx, abandon)
}

// check refuses what can never be served here and answers keys that have run.
func (c *ingressCall) check() *refusal {
	intent := c.plane.intent.Load()
	switch {
	case c.wire.Protocol > wire.ProtocolVersion:
		return refused(outcome.ReasonVersionMismatch)
	case intent == nil || c.plane.gate.Load() == nil:
		return refused(outcome.ReasonNoBundle)
	case c.wire.Service != *c.plane.service.Load():
		return refused(outcome.ReasonUnknownService)
	}
	levels := intent.Bundle.Levels
	c.context.level = min(max(c.context.level, 0), len(levels)-1)
	c.context.levelName = levels[c.context.level]
	c.repeatable = !c.wire.AtMostOnce
	return nil
}

// admit waits for a slot of the target and serves the call with it.
func (c *ingressCall) admit(ctx context.Context, abandon context.CancelCauseFunc) {
	if c.wire.AtMostOnce && c.known() {
		return
	}
	gate := c.plane.gate.Load()
	ticket := gate.enter(ctx, limiter.Call{
		Level: c.context.level, Class: c.context.class, Deadline: c.context.deadline, Preemptible: c.repeatable,
		Chain: c.context.requestID, Depth: c.context.depth,
	}, c.context.rank, abandon)
	c.cursor = int(ticket.cursor)
	numbers := []explain.Number{
		number("rank", float64(c.context.rank)), number("cursor", float64(ticket.cursor)), number("limit", float64(ticket.action.Limit)),
		number("active", float64(ticket.action.Active)), number("queued", float64(ticket.action.Queued)),
		number("wait_ms", milliseconds(ticket.action.Wait)), number("credits", float64(c.wire.Credits)),
	}
	if !ticket.admitted() {
		c.plane.record(c.context, explain.Refuse, string(ticket.action.Reason), c.wire.Service, c.plane.node, numbers...)
		c.refuse(refuse(outcome.NotRun, ticket.action.Reason), "")
		return
	}
	c.plane.record(c.context, explain.Admit, "slot_free", c.wire.Service, c.plane.node, numbers...)
	end := c.run(ctx)
	gate.leave(ticket.id, end.own, end.healthy, end.shed)
	if end.final != nil {
		c.refuse(*end.final, end.executor)
	}
	if end.abort {
		panic(http.ErrAbortHandler)
	}
}

// served is how the time with a slot ended.
type served struct {
	own      time.Duration
	healthy  bool     // own tells about the target's speed
	shed     bool     // target refused the call
	final    *refusal // answer still to be written
	executor string
	abort    bool // answer was broken off: cut the connection
}

// known answers a key that has run or is running here, without a slot.
func (c *ingressCall) known() bool {
	phase, answer := c.plane.claims.Lookup(c.wire.Key)
	switch phase {
	case claim.PhaseDone:
		c.keptAnswer(answer)
	case claim.PhaseClaiming, claim.PhaseRunning:
		c.refuse(refuse(outcome.Unknown, outcome.ReasonInProgress), "")
	case claim.PhaseUnknown:
		c.refuse(refuse(outcome.Unknown, outcome.ReasonExecutorLost), "")
	default:
		return false
	}
	return true
}

func (c *ingressCall) keptAnswer(answer *claim.Answer) {
	if answer == nil {
		c.refuse(refuse(outcome.Unknown, outcome.ReasonAnswerNotKept), "")
		return
	}
	c.plane.record(c.context, explain.Claim, string(outcome.ReasonKept), c.wire.Service, c.plane.node)
	header := c.writer.Header()
	for name, values := range answer.Headers {
		header[name] = values
	}
	c.head(outcome.Answered, outcome.ReasonKept, answer.Status, int64(len(answer.Body)), 0, "")
	sum, err := relay(c.writer, bytes.NewReader(answer.Body), -1, false, nil, func(body) error { return nil })
	c.end(sum, err != nil)
}

// run claims the key where that is needed, hands the call over to the target
// and relays the answer.
func (c *ingressCall) run(ctx context.Context) served {
	if c.wire.AtMostOnce {
		claimed := c.plane.claims.Begin(ctx, c.wire.Key)
		c.plane.record(c.context, explain.Claim, string(claimed.Reason), c.wire.Service, claimed.Executor, claimed.Numbers...)
		switch {
		case claimed.Kept != nil:
			c.keptAnswer(claimed.Kept)
			return served{}
		case !claimed.Run:
			final := refuse(claimed.Outcome, claimed.Reason)
			return served{final: &final, executor: claimed.Executor}
		}
	}
	c.plane.calls.add(c.context)
	defer c.plane.calls.remove(c.context)
	return c.handOver(ctx)
}

// handOver sends the call to the target.
func (c *ingressCall) handOver(ctx context.Context) served {
	started := c.plane.now()
	request, err := c.targetRequest(ctx)
	if err != nil {
		return c.notHandedOver(outcome.ReasonUnreachable)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.plane.local.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected.Load() {
			return c.notHandedOver(reasonOf(ctx, outcome.ReasonUnreachable))
		}
		return c.lost(ctx, started)
	}
	defer response.Body.Close()
	if c.isShed(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, relayBuffer))
		end := c.notHandedOver(outcome.ReasonTargetShed)
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
	hideKeys(request.Header)
	request.Header.Set(wire.HeaderRequestID, targetRequestID(c.context.requestID, c.context.callID))
	remaining := (c.context.deadline - c.plane.now()) / time.Millisecond
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(int64(remaining), 10))
	return request, nil
}

// notHandedOver ends a call that provably did not reach the target's work.
func (c *ingressCall) notHandedOver(reason outcome.Reason) served {
	if c.wire.AtMostOnce {
		c.plane.claims.NotStarted(c.wire.Key)
	}
	final := refuse(outcome.NotRun, reason)
	return served{final: &final}
}

// lost ends a call that was handed over and got no answer.
func (c *ingressCall) lost(ctx context.Context, started time.Duration) served {
	if c.wire.AtMostOnce {
		c.plane.claims.Lose(c.wire.Key)
	}
	reason := reasonOf(ctx, outcome.ReasonReset)
	final := refuse(outcome.Unknown, reason)
	return served{final: &final, own: c.context.ownTime(c.plane.now(), started), healthy: reason == outcome.ReasonTimeout}
}

// isShed tells the target's declared "not started" from an answer. A target
// that made a call of its own has started, whatever it says.
func (c *ingressCall) isShed(response *http.Response) bool {
	service := c.plane.intent.Load().Service(c.wire.Service)
	if service == nil || service.Shed == nil || c.context.hasGoneDeeper() {
		return false
	}
	return response.StatusCode == service.Shed.Status && response.Header.Get(service.Shed.Header) != ""
}

// relayAnswer sends the target's answer up the chain and keeps it for the key.
func (c *ingressCall) relayAnswer(ctx context.Context, response *http.Response, started time.Duration) served {
	copyHeaders(c.writer.Header(), response.Header)
	c.writer.Header().Del("Content-Length")
	c.head(outcome.Answered, outcome.ReasonNone, response.StatusCode, response.ContentLength, 0, "")
	var kept *keeper
	if c.wire.AtMostOnce {
		kept = &keeper{maximum: maxKeptAnswer}
	}
	sum, err := relay(c.writer, response.Body, -1, response.ContentLength < 0, kept, func(body) error { return nil })
	own := c.context.ownTime(c.plane.now(), started)
	if c.wire.AtMostOnce {
		c.keep(response, kept, err)
	}
	if err == errReceiverGone {
		return served{abort: true}
	}
	c.end(sum, err != nil)
	reason := outcome.ReasonNone
	if err != nil {
		reason = reasonOf(ctx, outcome.ReasonTruncated)
	}
	c.count(outcome.Answered, reason)
	c.plane.metrics.Added.WithLabelValues(string(SideIngress)).Observe((started - c.started).Seconds())
	c.plane.record(c.context, explain.Answer, string(reason), c.wire.Service, c.plane.node, number("status", float64(response.StatusCode)),
		number("bytes", float64(sum.length)), number("own_ms", milliseconds(own)), number("took_ms", milliseconds(c.plane.now()-started)))
	return served{own: own, healthy: err == nil && response.StatusCode < http.StatusInternalServerError}
}

// maxKeptAnswer is the largest answer that is kept for a key, in bytes.
const maxKeptAnswer = 64 << 10

func (c *ingressCall) keep(response *http.Response, kept *keeper, relayErr error) {
	if relayErr != nil && relayErr != errReceiverGone {
		c.plane.claims.Lose(c.wire.Key)
		return
	}
	if relayErr != nil || kept.exceeded {
		c.plane.claims.Complete(c.wire.Key, nil)
		return
	}
	headers := http.Header{}
	copyHeaders(headers, response.Header)
	headers.Del("Content-Length")
	c.plane.claims.Complete(c.wire.Key, &claim.Answer{Status: response.StatusCode, Headers: headers, Body: kept.data})
}

// head writes the head of the answer to the node above.
func (c *ingressCall) head(how outcome.Outcome, reason outcome.Reason, status int, length int64, retryAfter time.Duration, executor string) {
	value, err := wire.ResultCodec.EncodeHeader(&wire.Result{
		Outcome: string(how), Reason: string(reason), Status: status, ContentLength: length, Cursor: c.cursor,
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

// end writes the closing message of the answer.
func (c *ingressCall) end(sum body, broken bool) {
	value, err := wire.EndCodec.EncodeHeader(&wire.End{
		CallID: c.context.callID, Unspent: c.context.ledger.close(), Length: sum.length, Digest: int64(sum.digest), Broken: broken,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.writer.Header().Set(wire.TrailerEnd, value)
}

// refuse writes an answer without a body.
func (c *ingressCall) refuse(final refusal, executor string) {
	if final.outcome == outcome.NotRun {
		c.plane.metrics.Shed.WithLabelValues(orElse(c.context.levelName, "none"), string(final.reason)).Inc()
	}
	c.count(final.outcome, final.reason)
	if final.reason == outcome.ReasonUnreachable || final.outcome == outcome.Unknown {
		c.plane.record(c.context, explain.Refuse, string(final.reason), c.wire.Service, c.plane.node)
	}
	c.writer.ReadRest()
	c.head(final.outcome, final.reason, 0, 0, final.retryAfter, executor)
	c.end(body{}, false)
}

func (c *ingressCall) count(how outcome.Outcome, reason outcome.Reason) {
	service := "unknown"
	class := "unknown"
	if c.wire.Service == *c.plane.service.Load() {
		service = c.wire.Service
	}
	if intent := c.plane.intent.Load(); intent != nil && intent.HasClass(c.context.class) {
		class = c.context.class
	}
	c.plane.metrics.Calls.WithLabelValues(string(SideIngress), service, class, string(how), string(reason)).Inc()
}
