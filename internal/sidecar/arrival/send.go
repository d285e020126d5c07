package arrival

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// sendToTarget sends a request to the target and reads its answer.
func (i *Ingress) sendToTarget(ctx context.Context, gate *target.Gate, one *request, header http.Header) *reply.Reply {
	names, call, body := i.options.Headers, one.Call, one.Body
	remaining := one.left(ctx, i.options.Now()).Milliseconds()
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
	answer, err := gate.Links.Do(ctx, &targetlink.Request{
		ID: call.RequestID, Method: call.Method, URI: call.URI, Host: call.Host, Header: header,
		Body: body.Data, Stream: body.Stream, Length: body.Length,
	})
	if err != nil {
		return i.failed(ctx, gate, one, err)
	}
	return i.readAnswer(ctx, gate, one, answer)
}

func (i *Ingress) failed(ctx context.Context, gate *target.Gate, one *request, err error) *reply.Reply {
	switch {
	case errors.Is(err, targetlink.ErrNotSent):
		i.unreachable(gate, err)
		return reply.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		i.senderLeft(gate, one)
		return reply.Unknown(reply.CancelReason(ctx))
	case errors.Is(err, targetlink.ErrSpoiled):
		return reply.Unknown(outcome.ReasonSpoiled)
	default:
		return reply.Unknown(i.lost(gate, one))
	}
}

// readAnswer judges the target's answer and reads its body if it is one.
func (i *Ingress) readAnswer(ctx context.Context, gate *target.Gate, one *request, answer *targetlink.Answer) *reply.Reply {
	names := i.options.Headers
	end, reason := outcome.TargetAnswer{
		Status: answer.Status, NotRun: answer.Header.Get(names.NotRun) != "", Signed: answer.Header.Get(names.Signature) != "",
		Encoded: answer.Header.Get("Content-Encoding") != "",
	}.Judge()
	switch end {
	case outcome.NotRun:
		return i.declined(gate, answer, reason)
	case outcome.Unknown:
		_ = answer.Body.Close()
		return reply.Unknown(reason)
	}
	data, rest, err := reply.ReadBuffered(answer.Body, answer.Length)
	if err != nil {
		_ = answer.Body.Close()
		if ctx.Err() != nil {
			return reply.Unknown(reply.CancelReason(ctx))
		}
		return reply.Unknown(i.lost(gate, one))
	}
	given := &reply.Reply{Outcome: outcome.Answered, Reason: outcome.ReasonNone, Arrived: true, Status: answer.Status, Header: headers.EndToEnd(answer.Header), Body: data, Length: answer.Length}
	if rest == nil {
		_ = answer.Body.Close()
		return given
	}
	given.Body = nil
	given.Stream = struct {
		io.Reader
		io.Closer
	}{rest, answer.Body}
	return given
}

// declined is the reply to a request that the target did not run. Its body is read, so that
// the connection can be used again. An answer of another instance at the target's address
// means that the one before is gone.
func (i *Ingress) declined(gate *target.Gate, answer *targetlink.Answer, reason outcome.Reason) *reply.Reply {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, reply.MaxBuffered))
	_ = answer.Body.Close()
	if reason == outcome.ReasonMisdirected {
		if other := answer.Header.Get(i.options.Headers.Instance); other != "" && other != gate.Instance {
			i.options.Target.Replaced(gate.Instance)
		}
	}
	declined := reply.NotRun(reason)
	declined.Arrived = true
	return declined
}
