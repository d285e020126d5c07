package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// answer gives the target's answer to the sender.
func (x *exchange) answer(given *reply.Reply) {
	defer given.Close()
	header := x.writer.Header()
	for name, values := range given.Header {
		header[name] = values
	}
	withoutGuess(header)
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

// Times after which a refused sender may come back.
const (
	unreadyRetryAfter  = 500 * time.Millisecond
	overloadRetryAfter = 400 * time.Millisecond
)

// giveUp writes the final answer of a request that no target answered. "Not run"
// is said only where no sending may have run.
func (x *exchange) giveUp(ctx context.Context, last *reply.Reply) {
	defer last.Close()
	if x.lacked = last.Reason.Full(); x.lacked && x.parent != nil {
		// It would have waited for all the time that it had.
		x.parent.add([]wire.Need{{Service: x.service, Calls: 1, Occupancy: -1, Wait: x.hold}})
	}
	if x.request.Context().Err() != nil {
		x.ended(0, outcome.ReasonCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	switch {
	case !x.mayRun:
		x.node.quotas.GiveBack(x.holder)
		x.refuse(http.StatusServiceUnavailable, last.Reason, comeBackAfter(last.Reason))
	case ctx.Err() != nil || x.left(ctx) <= 0:
		x.refuse(http.StatusGatewayTimeout, outcome.ReasonTimeout, 0)
	default:
		x.refuse(http.StatusBadGateway, last.Reason, 0)
	}
}

// comeBackAfter is when the sender of a request that was not run may come back; 0: it is not
// invited to.
func comeBackAfter(reason outcome.Reason) time.Duration {
	if reason == outcome.ReasonEndsTargets {
		return 0
	}
	return wait.Jittered(overloadRetryAfter)
}

// refuse writes an answer of the node's own.
func (x *exchange) refuse(status int, reason outcome.Reason, retryAfter time.Duration) {
	header := x.writer.Header()
	if x.id != "" {
		header.Set(x.node.options.Headers.RequestID, x.id)
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
