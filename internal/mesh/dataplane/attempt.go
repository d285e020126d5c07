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
	"github.com/landingmast/landingmast/internal/responses"
)

// attempt sends a call to one node and records the result.
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
	reported bool
}

// send sends the request and decodes the result header of the response.
func (a *attempt) send(ctx context.Context) {
	a.started = a.plane.now()
	request, err := a.request(ctx)
	if err != nil {
		a.fail(outcome.NotRun, outcome.ReasonUnreachable)
		return
	}
	var conn atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info) }}
	response, err := a.plane.peerTransport(a.outbound.key != "").RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		a.classifyError(ctx, conn.Load())
		return
	}
	a.response = response
	if err := responses.Validate(response); err != nil {
		_ = response.Body.Close()
		a.fail(outcome.Unknown, outcome.ReasonInvalidResponse)
		return
	}
	head, err := wire.ResultCodec.DecodeHeader(response.Header.Get(wire.HeaderResult))
	if err != nil {
		_ = response.Body.Close()
		a.fail(outcome.Unknown, outcome.ReasonVersionMismatch)
		return
	}
	if head.Outcome == string(outcome.Answered) && !responses.IsFinal(head.Status) {
		_ = response.Body.Close()
		a.fail(outcome.Unknown, outcome.ReasonInvalidResponse)
		return
	}
	a.head = head
	a.outcome = outcome.Outcome(head.Outcome)
	a.reason = outcome.Reason(head.Reason)
}

func (a *attempt) fail(result outcome.Outcome, reason outcome.Reason) {
	a.outcome, a.reason = result, reason
}

// classifyError sets the outcome after a transport error. conn is the connection the
// request was written to; nil means that no connection was obtained, so nothing was sent.
func (a *attempt) classifyError(ctx context.Context, conn *httptrace.GotConnInfo) {
	if conn == nil {
		a.fail(outcome.NotRun, cancelReason(ctx, outcome.ReasonUnreachable))
		return
	}
	a.fail(outcome.Unknown, cancelReason(ctx, outcome.ReasonReset))
	a.recordLostConnection(conn)
}

// recordLostConnection records the connection on which a call was lost. A reused
// connection suggests that the peer closed it while idle; a new one suggests a crashed
// node or a network failure.
func (a *attempt) recordLostConnection(conn *httptrace.GotConnInfo) {
	kind := connNew
	if conn.Reused {
		kind = connReused
	}
	call := a.outbound
	a.plane.metrics.LostCalls.WithLabelValues(call.service, string(a.reason), kind).Inc()
	a.plane.record(call.context, explain.Lost, kind, call.service, a.choice.Target.Node,
		number("rested_ms", milliseconds(conn.IdleTime)), number("local_port", float64(localPort(conn.Conn))),
		number("after_ms", milliseconds(a.plane.now()-a.started)))
}

// Connection kinds, used as metric labels and as reasons in decision records.
const (
	connNew    = "new_connection"
	connReused = "rested_connection"
)

// localPort returns the local TCP port of conn, or 0 if it is not a TCP connection. The
// port identifies the connection in tools run on the peer.
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
		return nil, failure.Wrap(err, failure.BadInput, "correct the path", "cannot build the forwarded request")
	}
	setBody(request, call.body.next(), call.request.ContentLength)
	copyHeaders(request.Header, call.request.Header)
	lowercaseIdempotencyKeys(request.Header)
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

// settle drains the response to a refused call, returns unspent credits to the ledger
// and reports the result to the balancer.
func (a *attempt) settle() {
	if a.response != nil && a.head != nil && a.outcome != outcome.Answered {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, relayBufferSize))
		if end, err := wire.EndCodec.DecodeHeader(a.response.Trailer.Get(wire.TrailerEnd)); err == nil {
			a.outbound.context.ledger.settle(a.loan, end.Unspent)
		}
		_ = a.response.Body.Close()
	}
	if a.response == nil && a.outcome == outcome.NotRun {
		a.outbound.context.ledger.settle(a.loan, a.loan.Amount()) // nothing was sent, so no credits were spent
	}
	a.reportResult()
}

func (a *attempt) reportResult() {
	if a.reported {
		return
	}
	a.reported = true
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
