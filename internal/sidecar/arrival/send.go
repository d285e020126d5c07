package arrival

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/responses"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// sendToTarget sends a request to the target and reads its response.
func (i *Ingress) sendToTarget(ctx context.Context, gate *target.Gate, req *request, header http.Header) *reply.Reply {
	names, call, body := i.options.Headers, req.Call, req.Body
	remaining := req.remaining(ctx, i.options.Now()).Milliseconds()
	if remaining < 1 {
		return reply.NotRun(outcome.ReasonTimeout)
	}
	header.Set(names.RequestID, call.RequestID)
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.ExpectInstance, gate.Instance)
	header.Set(names.Caller, call.Caller)
	if call.Tenant != "" {
		header.Set(names.Tenant, call.Tenant)
	}
	sentAt := i.options.Now()
	answer, err := gate.Link.Do(ctx, &targetlink.Request{
		ID: call.RequestID, Method: call.Method, URI: call.URI, Host: call.Host, Header: header,
		Body: body.Data, Stream: body.Stream, Length: body.Length,
		Abandon: gate.Drained(),
		BeforeSend: func() {
			req.connected = i.options.Now() - sentAt
			i.options.Metrics.TargetRequests.WithLabelValues(i.senderLabel(call)).Inc()
		},
	})
	if err != nil {
		return i.classifyError(ctx, gate, req, err)
	}
	i.observeState(gate, answer, sentAt)
	return i.readAnswer(ctx, gate, req, answer)
}

func (i *Ingress) classifyError(ctx context.Context, gate *target.Gate, req *request, err error) *reply.Reply {
	switch {
	case errors.Is(err, targetlink.ErrAbandoned):
		return reply.NotRun(outcome.Reason(slots.ReasonDraining))
	case errors.Is(err, targetlink.ErrNotSent):
		i.handleUnreachable(gate, err)
		return reply.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		i.recordCancelled(gate, req)
		return reply.Unknown(reply.CancelReason(ctx))
	case errors.Is(err, targetlink.ErrInvalidResponse):
		return req.invalidResponse(err)
	default:
		return reply.Unknown(i.recordLost(ctx, gate, req))
	}
}

// maxLoggedError is the longest text of an error in a log line, in bytes: it quotes what the target has sent.
const maxLoggedError = 200

// invalidResponse returns the reply to a request whose response is invalid, and keeps the error for the log.
func (r *request) invalidResponse(err error) *reply.Reply {
	r.invalid = err.Error()
	r.invalid = r.invalid[:min(len(r.invalid), maxLoggedError)]
	return reply.Unknown(outcome.ReasonInvalidResponse)
}

// readAnswer classifies the target's response and reads its body if it is a valid one.
func (i *Ingress) readAnswer(ctx context.Context, gate *target.Gate, req *request, answer *targetlink.Response) *reply.Reply {
	names := i.options.Headers
	result, reason := outcome.TargetResponse{
		Status: answer.Status, NotRun: answer.Header.Get(names.NotRun) != "", Signed: answer.Header.Get(names.Signature) != "",
		Encoded: answer.Header.Get("Content-Encoding") != "",
	}.Classify()
	switch result {
	case outcome.NotRun:
		return i.handleDeclined(gate, answer, reason)
	case outcome.Unknown:
		_ = answer.Body.Close()
		return reply.Unknown(reason)
	}
	data, rest, err := reply.ReadBuffered(answer.Body, answer.Length)
	if err != nil {
		_ = answer.Body.Close()
		switch {
		case ctx.Err() != nil:
			return reply.Unknown(reply.CancelReason(ctx))
		case errors.Is(err, responses.ErrInvalid):
			return req.invalidResponse(err)
		}
		return reply.Unknown(i.recordLost(ctx, gate, req))
	}
	response := &reply.Reply{Outcome: outcome.Answered, Reason: outcome.ReasonNone, Arrived: true, Status: answer.Status, Header: headers.KeepEndToEnd(answer.Header), Body: data, Length: answer.Length}
	if rest == nil {
		_ = answer.Body.Close()
		return response
	}
	response.Body = nil
	response.Stream = struct {
		io.Reader
		io.Closer
	}{rest, answer.Body}
	return response
}

// handleDeclined returns the reply to a request that the target declined. The body is drained so
// that the connection can be reused. A response from another instance at the target's address means
// that the previous instance is gone.
func (i *Ingress) handleDeclined(gate *target.Gate, answer *targetlink.Response, reason outcome.Reason) *reply.Reply {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, reply.MaxBuffered))
	_ = answer.Body.Close()
	if reason == outcome.ReasonMisdirected {
		if other := answer.Header.Get(i.options.Headers.Instance); other != "" && other != gate.Instance {
			i.options.Target.MarkReplaced(gate.Instance)
		}
	}
	declined := reply.NotRun(reason)
	declined.Arrived = true
	return declined
}
