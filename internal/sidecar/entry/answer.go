package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// answer gives the target's answer to the sender.
func (x *request) answer(given *reply.Reply) {
	defer given.Close()
	header := x.writer.Header()
	for name, values := range given.Header {
		header[name] = values
	}
	arrival.SuppressDefaultHeaders(header)
	if given.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(given.Body)))
		x.writer.WriteHeader(given.Status)
		_, _ = x.writer.Write(given.Body)
		x.ended(given.Status, outcome.ReasonNone, 0)
		return
	}
	if given.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(given.Length, 10))
	}
	x.writer.WriteHeader(given.Status)
	if _, err := io.Copy(x.writer, given.Stream); err != nil {
		x.ended(0, outcome.ReasonLost, 0)
		panic(http.ErrAbortHandler)
	}
	x.ended(given.Status, outcome.ReasonNone, 0)
}

// giveUp writes the final answer of a request that no target answered. "Not run"
// is said only where no sending may have run.
func (x *request) giveUp(ctx context.Context, last *reply.Reply) {
	defer last.Close()
	if x.lacked = last.Reason.Full(); x.lacked && x.parent != nil {
		// It would have waited for all the time that it had.
		x.parent.AddNeeds([]wire.Need{{Service: x.service, Calls: 1, Occupancy: -1, Wait: x.holdFor}})
	}
	if x.request.Context().Err() != nil {
		x.ended(0, outcome.ReasonCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	status, reason := outcome.Final(x.mayRun, ctx.Err() != nil || x.left(ctx) <= 0, last.Reason)
	if x.mayRun {
		x.refuse(status, reason, notInvited)
		return
	}
	x.options.Quotas.GiveBack(x.holder)
	x.refuse(status, reason, retryafter.NotRun(reason))
}

// notInvited is for senders whose request, sent again as it is, would be refused again or
// might run twice.
var notInvited = retryafter.Span{}

// refuse writes an answer of the node's own. invited is when the sender may come back.
func (x *request) refuse(status int, reason outcome.Reason, invited retryafter.Span) {
	x.writer.ReadRest()
	retryAfter := invited.At(rand.Float64())
	header := x.writer.Header()
	if x.id != "" {
		header.Set(x.options.Headers.RequestID, x.id)
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(reason)))
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, string(reason))
	x.ended(status, reason, retryAfter)
}
