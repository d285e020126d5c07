package dataplane

import (
	"context"
	"io"
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
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := a.plane.peersFor(a.outbound.key != "").RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		a.noAnswer(ctx, connected.Load())
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

// noAnswer sorts a failed round trip: without a connection nothing was sent.
func (a *attempt) noAnswer(ctx context.Context, connected bool) {
	if !connected {
		a.fail(outcome.NotRun, reasonOf(ctx, outcome.ReasonUnreachable))
		return
	}
	a.fail(outcome.Unknown, reasonOf(ctx, outcome.ReasonReset))
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
	default:
		result.Neutral = true
	}
	ejected := a.outbound.route.finished(now, a.outbound.class.Name, result, pathCursor)
	if ejected {
		a.plane.metrics.Ejections.WithLabelValues(a.outbound.service).Inc()
	}
}
