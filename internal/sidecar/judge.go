package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// exchange sends a request to the target and says what its answer is worth.
func (i *ingress) exchange(ctx context.Context, gate *gate, one *arrival, header http.Header) *reply {
	names, call, body := i.node.options.Headers, one.call, one.body
	remaining := one.left(ctx, i.node.now()).Milliseconds()
	if remaining < 1 {
		return notRun(outcome.ReasonTimeout)
	}
	header.Set(names.RequestID, call.RequestID)
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.ExpectInstance, gate.instance)
	header.Set(names.Caller, call.Caller)
	if call.Tenant != "" {
		header.Set(names.Tenant, call.Tenant)
	}
	answer, err := gate.links.Do(ctx, &targetlink.Request{
		ID: call.RequestID, Method: call.Method, URI: call.URI, Host: call.Host, Header: header,
		Body: body.data, Stream: body.stream, Length: body.length,
	})
	if err != nil {
		return i.failed(ctx, gate, one, err)
	}
	return i.judge(ctx, gate, one, answer)
}

func (i *ingress) failed(ctx context.Context, gate *gate, one *arrival, err error) *reply {
	switch {
	case errors.Is(err, targetlink.ErrNotSent):
		i.unreachable(gate, err)
		return notRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		i.senderLeft(gate, one)
		return unknown(endOf(ctx))
	case errors.Is(err, targetlink.ErrSpoiled):
		return unknown(outcome.ReasonSpoiled)
	default:
		return unknown(i.lost(gate, one))
	}
}

// endOf tells the end of a request's time from the end of its sender's interest.
// The sender counts the same time and may close its connection a little before the
// time is up here.
func endOf(ctx context.Context) outcome.Reason {
	deadline, bounded := ctx.Deadline()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || bounded && time.Until(deadline) < closeMargin {
		return outcome.ReasonTimeout
	}
	return outcome.ReasonCancelled
}

// closeMargin is how long before the end of a request's time a close of its
// connection counts as that end.
const closeMargin = 25 * time.Millisecond

// judge tells what the target's answer is worth.
func (i *ingress) judge(ctx context.Context, gate *gate, one *arrival, answer *targetlink.Answer) *reply {
	names := i.node.options.Headers
	if answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(names.NotRun) != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, keepBytes))
		_ = answer.Body.Close()
		declined := notRun(outcome.ReasonTargetShed)
		declined.arrived = true
		if answer.Status == http.StatusMisdirectedRequest {
			declined.reason = outcome.ReasonMisdirected
			if other := answer.Header.Get(names.Instance); other != "" && other != gate.instance {
				i.node.target.replaced(gate.instance)
			}
		}
		return declined
	}
	if answer.Header.Get(names.Signature) == "" && answer.Status < http.StatusBadRequest || answer.Header.Get("Content-Encoding") != "" {
		_ = answer.Body.Close()
		return unknown(outcome.ReasonSpoiled)
	}
	data, rest, err := readWhole(answer.Body, answer.Length)
	if err != nil {
		_ = answer.Body.Close()
		if ctx.Err() != nil {
			return unknown(endOf(ctx))
		}
		return unknown(i.lost(gate, one))
	}
	given := &reply{outcome: outcome.Answered, reason: outcome.ReasonNone, arrived: true, status: answer.Status, header: endToEnd(answer.Header), body: data, length: answer.Length}
	if rest == nil {
		_ = answer.Body.Close()
		return given
	}
	given.body = nil
	given.stream = struct {
		io.Reader
		io.Closer
	}{rest, answer.Body}
	return given
}
