package dataplane

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/retry"
	"github.com/landingmast/landingmast/internal/mesh/core/routing"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// attempt is one try to have a call served by one target's node.
type attempt struct {
	plane    *Plane
	outbound *outboundCall
	choice   routing.Choice
	loan     *retry.Loan
	callID   string
	started  time.Duration

	response *http.Response
	head     *wire.Result
	outcome  outcome.Outcome
	reason   outcome.Reason
	settled  bool
}

// send sends the call and reads the head of the answer.
func (a *attempt) send(ctx context.Context) {
	a.started = a.plane.now()
	request, err := a.request(ctx)
	if err != nil {
		a.fail(outcome.NotRun, outcome.ReasonUnreachable)
		return
	}
	var taken atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { taken.Store(&info) }}
	response, err := a.plane.peersFor(a.outbound.key != "").RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		a.noAnswer(ctx, taken.Load())
		return
	}
	a.response = response
	head, err := wire.ResultCodec.DecodeHeader(response.Header.Get(wire.HeaderResult))
	if err != nil {
		_ = response.Body.Close()
		a.fail(outcome.Unknown, outcome.ReasonVersionMismatch)
		return
	}
	a.head = head
	a.outcome = outcome.Outcome(head.Outcome)
	a.reason = outcome.Reason(head.Reason)
}

func (a *attempt) fail(how outcome.Outcome, reason outcome.Reason) {
	a.outcome, a.reason = how, reason
}

// noAnswer sorts a failed round trip: without a connection nothing was sent. taken is the
// connection that the call was written to, or nil.
func (a *attempt) noAnswer(ctx context.Context, taken *httptrace.GotConnInfo) {
	if taken == nil {
		a.fail(outcome.NotRun, reasonOf(ctx, outcome.ReasonUnreachable))
		return
	}
	a.fail(outcome.Unknown, reasonOf(ctx, outcome.ReasonReset))
	a.recordLost(taken)
}

// recordLost notes over which connection a call was lost. One that has rested tells of a node
// that closed it, a new one of a node that ended or of a network that broke.
func (a *attempt) recordLost(taken *httptrace.GotConnInfo) {
	kind := connectionNew
	if taken.Reused {
		kind = connectionRested
	}
	call := a.outbound
	a.plane.metrics.Lost.WithLabelValues(call.service, string(a.reason), kind).Inc()
	a.plane.record(call.context, explain.Lose, kind, call.service, a.choice.Target.Node,
		number("rested_ms", milliseconds(taken.IdleTime)), number("local_port", float64(localPort(taken.Conn))),
		number("after_ms", milliseconds(a.plane.now()-a.started)))
}

// Kinds of connections over which calls are lost; labels of a counter and reasons of records.
const (
	connectionNew    = "new_connection"
	connectionRested = "rested_connection" // carried calls before
)

// localPort gives the port at this end of a connection, by which the other end's tools name
// it; 0 when it has none.
func localPort(conn net.Conn) int {
	if address, ok := conn.LocalAddr().(*net.TCPAddr); ok {
		return address.Port
	}
	return 0
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	call := a.outbound
	target := &url.URL{Scheme: "https", Host: a.choice.Target.Address, Path: call.request.URL.Path, RawPath: call.request.URL.RawPath, RawQuery: call.request.URL.RawQuery}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the path", "request cannot be forwarded")
	}
	setBody(request, call.body.next(), call.request.ContentLength)
	copyHeaders(request.Header, call.request.Header)
	hideKeys(request.Header)
	header, err := wire.CallCodec.EncodeHeader(&wire.Call{
		Protocol: wire.ProtocolVersion, RequestID: call.context.requestID, CallID: a.callID, Service: call.service, Method: call.request.Method,
		Class: call.class.Name, Level: call.context.level, Rank: int(call.context.rank), Depth: call.context.depth,
		Remaining: int64((call.context.deadline - a.started) / time.Microsecond), Credits: a.loan.Amount(),
		AtMostOnce: call.key != "", Key: call.key, From: a.plane.node,
	})
	if err != nil {
		return nil, err
	}
	request.Header.Set(wire.HeaderCall, header)
	return request, nil
}

// settle reads the rest of a refused answer, takes back the credits that were
// not spent and tells routing what was seen.
func (a *attempt) settle() {
	if a.response != nil && a.head != nil && a.outcome != outcome.Answered {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, relayBuffer))
		if end, err := wire.EndCodec.DecodeHeader(a.response.Trailer.Get(wire.TrailerEnd)); err == nil {
			a.outbound.context.ledger.settle(a.loan, end.Unspent)
		}
		_ = a.response.Body.Close()
	}
	if a.response == nil && a.outcome == outcome.NotRun {
		a.outbound.context.ledger.settle(a.loan, a.loan.Amount()) // nothing was sent, so nothing was lent
	}
	a.tellRouting()
}

func (a *attempt) tellRouting() {
	if a.settled {
		return
	}
	a.settled = true
	now := a.plane.now()
	result := routing.Result{Node: a.choice.Target.Node}
	pathCursor := -1
	if a.head != nil && a.head.Cursor >= 0 {
		result.HasCursor, result.Cursor = true, admission.Rank(a.head.Cursor)
	}
	if a.outcome == outcome.Answered {
		pathCursor = a.head.PathCursor
	}
	switch {
	case a.outcome == outcome.Answered:
		result.Latency = now - a.started
	case a.reason == outcome.ReasonDraining:
		result.Draining = true
	case a.reason.IsTargetFault():
		result.Failed = true
	case a.reason == outcome.ReasonTargetShed:
		result.Declined = true
	default:
		result.Neutral = true
	}
	ejected := a.outbound.route.finished(now, a.outbound.class.Name, result, pathCursor)
	if ejected {
		a.plane.metrics.Ejections.WithLabelValues(a.outbound.service).Inc()
	}
}
