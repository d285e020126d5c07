package dataplane

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/retry"
	"github.com/landingmast/landingmast/internal/mesh/core/routing"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// outboundCall is a call to a service from an outside client (entry) or from the local
// target (egress).
type outboundCall struct {
	plane      *Plane
	side       Side
	writer     *duplex.Writer
	request    *http.Request
	body       *replayBody
	service    string
	class      *bundle.Class
	key        string
	route      *serviceRoute
	context    *callContext
	parent     *callContext
	retries    int
	mayHaveRun bool // an attempt ended with an unknown outcome
	started    time.Duration
	peerTime   time.Duration // time spent waiting for other nodes
}

// Entry returns the handler for outside clients.
func (p *Plane) Entry() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveOutbound(w, r, SideEntry) })
}

// Egress returns the handler for calls made by the local target.
func (p *Plane) Egress() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveOutbound(w, r, SideEgress) })
}

func (p *Plane) serveOutbound(writer http.ResponseWriter, received *http.Request, side Side) {
	w, r, end := p.begin(writer, received)
	defer end()
	call := &outboundCall{
		plane: p, side: side, writer: w, request: r, body: &replayBody{source: r.Body}, started: p.now(),
		context: &callContext{callID: newID(), pathCursor: -1},
	}
	if stripped := stripReserved(r.Header); stripped > 0 {
		p.metrics.StrippedHeaders.Add(float64(stripped))
	}
	if side == SideEgress {
		call.parent = p.calls.find(r.Header.Get(wire.HeaderRequestID))
	}
	call.context.requestID = p.node + "-" + newID()
	if call.parent != nil {
		call.context.requestID = call.parent.requestID
	}
	r.Header.Del(wire.HeaderRequestID)
	if refused := call.prepare(); refused != nil {
		call.refuse(*refused)
		return
	}
	call.serve()
}

// prepare selects the route and class of the call and sets its context. It returns a
// refusal if the call cannot be sent.
func (c *outboundCall) prepare() *refusal {
	index := c.plane.index.Load()
	if index == nil {
		return notRun(outcome.ReasonNoBundle)
	}
	c.service = c.request.Host
	if host, _, err := net.SplitHostPort(c.request.Host); err == nil {
		c.service = host
	}
	c.route = c.plane.router.route(c.service)
	if c.route == nil {
		return notRun(outcome.ReasonUnknownService)
	}
	c.class = index.Match(c.service, c.request.Method, c.request.URL.Path)
	if c.class == nil {
		return notRun(outcome.ReasonNoClass)
	}
	c.context.class = c.class.Name
	if c.class.Execution == bundle.AtMostOnce {
		c.key = c.request.Header.Get(c.class.KeyHeader)
		if c.key == "" {
			return notRun(outcome.ReasonNoKey)
		}
	}
	c.inherit(index.Bundle)
	if c.context.depth > index.Bundle.MaxDepth {
		return notRun(outcome.ReasonTooDeep)
	}
	return nil
}

func notRun(reason outcome.Reason) *refusal {
	r := newRefusal(outcome.NotRun, reason)
	return &r
}

// inherit takes importance, deadline and retry credits from the parent call, or from the
// class if there is no parent. Clients cannot set the importance.
func (c *outboundCall) inherit(installed *bundle.Bundle) {
	call := c.context
	deadline := c.started + time.Duration(c.class.Deadline)
	if c.parent != nil {
		call.level, call.levelName, call.rank = c.parent.level, c.parent.levelName, c.parent.rank
		call.depth = c.parent.depth + 1
		call.deadline = min(deadline, c.parent.deadline)
		call.ledger = c.parent.ledger
		return
	}
	call.level = installed.LevelIndex(c.class.Importance)
	call.levelName = c.class.Importance
	user := c.request.Header.Get(installed.UserHeader)
	call.rank = admission.RankOf(call.level, valueOr(user, call.requestID))
	call.deadline = deadline
	credits := c.class.Retries
	if c.side == SideEgress || c.plane.resends.seen(c.started, user, c.request.Method, c.request.URL.RequestURI(), c.key) {
		credits = 0
	}
	call.ledger = newCredits(credits)
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// serve sends the call until a target answers or no retry is allowed.
func (c *outboundCall) serve() {
	ctx, cancel := withTimeout(c.request.Context(), c.context.deadline-c.started)
	defer cancel()
	setBodyReadDeadline(c.writer, c.request, c.context.deadline-c.started)
	if c.parent != nil {
		c.parent.downstreamStarted(c.started)
		defer func() {
			now := c.plane.now()
			c.parent.downstreamEnded(now, c.route.cursor(now))
		}()
		var cancelCause context.CancelCauseFunc
		ctx, cancelCause = context.WithCancelCause(ctx)
		stop := context.AfterFunc(c.parent.ctx, func() { cancelCause(errParentCancelled) })
		defer stop()
	}
	request := routing.Request{Rank: c.context.rank, Key: c.key, Exclude: map[string]bool{}}
	for {
		attempt, refused := c.sendAttempt(ctx, request)
		if refused != nil {
			c.refuse(*refused)
			return
		}
		if attempt.outcome == outcome.Answered {
			c.answer(attempt)
			return
		}
		attempt.settle()
		c.mayHaveRun = c.mayHaveRun || attempt.outcome == outcome.Unknown
		if !c.retryOrRefuse(ctx, attempt, &request) {
			return
		}
	}
}

// sendAttempt picks a target and sends the call to it.
func (c *outboundCall) sendAttempt(ctx context.Context, request routing.Request) (*attempt, *refusal) {
	now := c.plane.now()
	choice, reason := c.route.pick(now, c.class.Name, request)
	if reason != outcome.ReasonNone {
		if request.Node != "" {
			unknown := newRefusal(outcome.Unknown, outcome.ReasonExecutorLost)
			return nil, &unknown
		}
		return nil, notRun(reason)
	}
	sent := &attempt{plane: c.plane, outbound: c, choice: choice, loan: c.context.ledger.lend(), callID: newID()}
	c.plane.record(c.context, explain.Route, "lowest_cost", c.service, choice.Target.Node,
		number("cost_ms", choice.Cost), number("in_flight", float64(choice.InFlight)), number("latency_ms", milliseconds(choice.Latency)),
		number("candidates", float64(choice.Candidates)), number("rank", float64(c.context.rank)), number("credits_lent", float64(sent.loan.Amount())),
		number("remaining_ms", milliseconds(c.context.deadline-now)))
	sent.send(ctx)
	c.peerTime += c.plane.now() - sent.started
	return sent, nil
}

// retryOrRefuse reports whether the call is retried after a failed attempt. If not, it has
// written a refusal.
func (c *outboundCall) retryOrRefuse(ctx context.Context, failed *attempt, request *routing.Request) bool {
	if failed.head != nil && failed.head.Executor != "" && request.Node == "" && c.body.replayable() {
		request.Node = failed.head.Executor
		c.plane.record(c.context, explain.Route, "claimed_by_executor", c.service, request.Node)
		return true
	}
	if request.Node != "" || (failed.head != nil && failed.head.Executor != "") {
		// An earlier request with the same key may have run, so the outcome is unknown.
		unknown := newRefusal(outcome.Unknown, failed.reason)
		c.refuse(unknown)
		return false
	}
	request.Exclude[failed.choice.Target.Node] = true
	verdict := retry.Decide(retry.Failure{
		Outcome: failed.outcome, Reason: failed.reason, Repeatable: c.class.Execution == bundle.Repeatable, TimeLeft: ctx.Err() == nil,
	})
	if verdict.Retry && !c.body.replayable() {
		verdict = retry.Decision{Reason: "body_not_kept"}
	}
	if verdict.Retry && !c.context.ledger.spend() {
		verdict = retry.Decision{Reason: "no_credits"}
	}
	action := explain.NoRetry
	if verdict.Retry {
		action = explain.Retry
		c.retries++
		c.plane.metrics.Retries.WithLabelValues(c.service, c.class.Name).Inc()
	}
	c.plane.record(c.context, action, string(failed.reason), c.service, failed.choice.Target.Node, number("credits_held", float64(c.context.ledger.held())))
	if !verdict.Retry {
		final := newRefusal(failed.outcome, failed.reason)
		if failed.head != nil && failed.head.RetryAfter > 0 {
			final.retryAfter = time.Duration(failed.head.RetryAfter) * time.Millisecond
		}
		c.refuse(final)
	}
	return verdict.Retry
}

// refuse writes the final response of a call that no target answered. The outcome is
// unknown if any attempt may have run.
func (c *outboundCall) refuse(final refusal) {
	if c.mayHaveRun {
		final.outcome = outcome.Unknown
	}
	c.count(final.outcome, final.reason)
	c.plane.record(c.context, explain.Refuse, string(final.reason), c.service, "",
		number("rank", float64(c.context.rank)), number("retry_after_ms", milliseconds(final.retryAfter)))
	if final.outcome == outcome.NotRun {
		c.plane.metrics.Shed.WithLabelValues(valueOr(c.context.levelName, "none"), string(final.reason)).Inc()
	}
	if c.side == SideEntry {
		c.writer.Header().Set(wire.HeaderRequestID, c.context.requestID)
	}
	c.writer.DrainBody()
	final.write(c.writer, c.context.requestID)
}

func (c *outboundCall) count(result outcome.Outcome, reason outcome.Reason) {
	class := "none"
	if c.class != nil {
		class = c.class.Name
	}
	c.plane.metrics.Calls.WithLabelValues(string(c.side), valueOr(c.serviceLabel(), "unknown"), class, string(result), string(reason)).Inc()
}

// serviceLabel returns the service name as a metric label, or "" for an unknown service, so
// that clients cannot create arbitrary label values.
func (c *outboundCall) serviceLabel() string {
	if c.route == nil {
		return ""
	}
	return c.service
}

// answer relays the response of the target. If the body fails verification after the head
// was sent, the client connection is aborted so that the client sees an incomplete response.
func (c *outboundCall) answer(sent *attempt) {
	defer sent.response.Body.Close()
	header := c.writer.Header()
	copyHeaders(header, sent.response.Header)
	header.Del("Content-Length")
	if c.side == SideEntry {
		header.Set(wire.HeaderRequestID, c.context.requestID)
	}
	header.Set(wire.HeaderOutcome, string(outcome.Answered))
	header.Set(wire.HeaderReason, sent.head.Reason)
	length := sent.head.ContentLength
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if !allowsBody(c.request.Method, sent.head.Status) {
		length = -1
	}
	c.writer.WriteHeader(sent.head.Status)
	relayStarted := c.plane.now()
	sum, err := relay(c.writer, sent.response.Body, length, length < 0, nil, func(sum bodySum) error { return c.verifyTrailer(sent, sum) })
	c.peerTime += c.plane.now() - relayStarted
	if err != nil {
		sent.fail(outcome.Unknown, outcome.ReasonTruncated)
		if err == errClientGone {
			sent.reason = outcome.ReasonCancelled
		}
		sent.reportResult()
		c.count(sent.outcome, sent.reason)
		c.plane.record(c.context, explain.Answer, string(sent.reason), c.service, sent.choice.Target.Node, number("bytes", float64(sum.length)))
		c.writer.Abort()
	}
	sent.reportResult()
	c.count(outcome.Answered, outcome.Reason(sent.head.Reason))
	took := c.plane.now() - c.started
	c.plane.metrics.AddedLatency.WithLabelValues(string(c.side)).Observe((took - c.peerTime).Seconds())
	c.plane.record(c.context, explain.Answer, sent.head.Reason, c.service, sent.choice.Target.Node, number("status", float64(sent.head.Status)),
		number("bytes", float64(sum.length)), number("took_ms", milliseconds(took)), number("retries", float64(c.retries)),
		number("credits_held", float64(c.context.ledger.held())))
}

// verifyTrailer checks the relayed body against the trailer and settles unspent credits.
func (c *outboundCall) verifyTrailer(sent *attempt, sum bodySum) error {
	end, err := wire.EndCodec.DecodeHeader(sent.response.Trailer.Get(wire.TrailerEnd))
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	if end.CallID != sent.callID {
		return failure.New(failure.Internal, "report this", "response trailer is for call %s, want %s", end.CallID, sent.callID)
	}
	c.context.ledger.settle(sent.loan, end.Unspent)
	if end.Broken || end.Length != sum.length || uint64(end.Digest) != sum.digest {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// allowsBody reports whether a response has a body (RFC 9110, section 6.4.1).
func allowsBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
