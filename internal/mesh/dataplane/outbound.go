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

// outboundCall is a call on its way out: from an outside caller or from the
// target beside the node, to a service.
type outboundCall struct {
	plane    *Plane
	side     Side
	writer   *duplex.Writer
	request  *http.Request
	body     *replayBody
	service  string
	class    *bundle.Class
	key      string
	route    *serviceRoute
	context  *callContext
	parent   *callContext
	retries  int
	mayRun   bool // an attempt was handed over and its end is not known
	started  time.Duration
	upstream time.Duration // time spent waiting for peers
}

// Entry serves outside callers.
func (p *Plane) Entry() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveOutbound(w, r, SideEntry) })
}

// Egress serves the calls that the target beside the node makes.
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

// prepare finds the class of the call and what it inherits; it gives a refusal
// when the call cannot be sent at all.
func (c *outboundCall) prepare() *refusal {
	intent := c.plane.intent.Load()
	if intent == nil {
		return refused(outcome.ReasonNoBundle)
	}
	c.service = c.request.Host
	if host, _, err := net.SplitHostPort(c.request.Host); err == nil {
		c.service = host
	}
	c.route = c.plane.router.route(c.service)
	if c.route == nil {
		return refused(outcome.ReasonUnknownService)
	}
	c.class = intent.Match(c.service, c.request.Method, c.request.URL.Path)
	if c.class == nil {
		return refused(outcome.ReasonNoClass)
	}
	c.context.class = c.class.Name
	if c.class.Execution == bundle.AtMostOnce {
		c.key = c.request.Header.Get(c.class.KeyHeader)
		if c.key == "" {
			return refused(outcome.ReasonNoKey)
		}
	}
	c.inherit(intent.Bundle)
	if c.context.depth > intent.Bundle.MaxDepth {
		return refused(outcome.ReasonTooDeep)
	}
	return nil
}

func refused(reason outcome.Reason) *refusal {
	made := refuse(outcome.NotRun, reason)
	return &made
}

// inherit takes importance, deadline and credits from the parent call, or from
// the class where the chain starts. Importance never comes from a caller.
func (c *outboundCall) inherit(installed *bundle.Bundle) {
	own := c.context
	deadline := c.started + time.Duration(c.class.Deadline)
	if c.parent != nil {
		own.level, own.levelName, own.rank = c.parent.level, c.parent.levelName, c.parent.rank
		own.depth = c.parent.depth + 1
		own.deadline = min(deadline, c.parent.deadline)
		own.ledger = c.parent.ledger
		return
	}
	own.level = installed.LevelIndex(c.class.Importance)
	own.levelName = c.class.Importance
	user := c.request.Header.Get(installed.UserHeader)
	own.rank = admission.RankOf(own.level, orElse(user, own.requestID))
	own.deadline = deadline
	credits := c.class.Retries
	if c.side == SideEgress || c.plane.resends.seen(c.started, user, c.request.Method, c.request.URL.RequestURI(), c.key) {
		credits = 0
	}
	own.ledger = newCredits(credits)
}

func orElse(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}

// serve tries targets until one answers or no further try is allowed.
func (c *outboundCall) serve() {
	ctx, cancel := bounded(c.request.Context(), c.context.deadline-c.started)
	defer cancel()
	boundBody(c.writer, c.request, c.context.deadline-c.started)
	if c.parent != nil {
		c.parent.deeperBegins(c.started)
		defer func() {
			now := c.plane.now()
			c.parent.deeperEnds(now, c.route.cursor(now))
		}()
		var abandon context.CancelCauseFunc
		ctx, abandon = context.WithCancelCause(ctx)
		stop := context.AfterFunc(c.parent.abandoned, func() { abandon(errParentGone) })
		defer stop()
	}
	request := routing.Request{Rank: c.context.rank, Key: c.key, Exclude: map[string]bool{}}
	for {
		try, refused := c.try(ctx, request)
		if refused != nil {
			c.refuse(*refused)
			return
		}
		if try.outcome == outcome.Answered {
			c.answer(try)
			return
		}
		try.settle()
		c.mayRun = c.mayRun || try.outcome == outcome.Unknown
		if !c.again(ctx, try, &request) {
			return
		}
	}
}

// try picks a target and sends the call there.
func (c *outboundCall) try(ctx context.Context, request routing.Request) (*attempt, *refusal) {
	now := c.plane.now()
	choice, reason := c.route.pick(now, c.class.Name, request)
	if reason != outcome.ReasonNone {
		if request.Only != "" {
			lost := refuse(outcome.Unknown, outcome.ReasonExecutorLost)
			return nil, &lost
		}
		return nil, refused(reason)
	}
	try := &attempt{plane: c.plane, outbound: c, choice: choice, loan: c.context.ledger.lend(), callID: newID()}
	c.plane.record(c.context, explain.Route, "lowest_cost", c.service, choice.Target.Node,
		number("cost_ms", choice.Cost), number("in_flight", float64(choice.InFlight)), number("latency_ms", milliseconds(choice.Latency)),
		number("candidates", float64(choice.Rivals)), number("rank", float64(c.context.rank)), number("credits_lent", float64(try.loan.Amount())),
		number("remaining_ms", milliseconds(c.context.deadline-now)))
	try.send(ctx)
	c.upstream += c.plane.now() - try.started
	return try, nil
}

// again decides what follows a failed attempt: another one, or a refusal, which
// it writes.
func (c *outboundCall) again(ctx context.Context, try *attempt, request *routing.Request) bool {
	if try.head != nil && try.head.Executor != "" && request.Only == "" && c.body.replayable() {
		request.Only = try.head.Executor
		c.plane.record(c.context, explain.Route, "claimed_by_executor", c.service, request.Only)
		return true
	}
	if request.Only != "" || (try.head != nil && try.head.Executor != "") {
		// Another sending of the key may have run: nobody here can say "not run".
		lost := refuse(outcome.Unknown, try.reason)
		c.refuse(lost)
		return false
	}
	request.Exclude[try.choice.Target.Node] = true
	verdict := retry.Decide(retry.Failure{
		Outcome: try.outcome, Reason: try.reason, Repeatable: c.class.Execution == bundle.Repeatable, TimeLeft: ctx.Err() == nil,
	})
	if verdict.Retry && !c.body.replayable() {
		verdict = retry.Verdict{Reason: "body_not_kept"}
	}
	if verdict.Retry && !c.context.ledger.spend() {
		verdict = retry.Verdict{Reason: "no_credits"}
	}
	action := explain.NoRetry
	if verdict.Retry {
		action = explain.Retry
		c.retries++
		c.plane.metrics.Retries.WithLabelValues(c.service, c.class.Name).Inc()
	}
	c.plane.record(c.context, action, string(try.reason), c.service, try.choice.Target.Node, number("credits_held", float64(c.context.ledger.held())))
	if !verdict.Retry {
		final := refuse(try.outcome, try.reason)
		if try.head != nil && try.head.RetryAfter > 0 {
			final.retryAfter = time.Duration(try.head.RetryAfter) * time.Millisecond
		}
		c.refuse(final)
	}
	return verdict.Retry
}

// refuse writes the final answer of a call that no target answers. Whatever the
// last attempt came to, "not run" is never said after one that may have run.
func (c *outboundCall) refuse(final refusal) {
	if c.mayRun {
		final.outcome = outcome.Unknown
	}
	c.count(final.outcome, final.reason)
	c.plane.record(c.context, explain.Refuse, string(final.reason), c.service, "",
		number("rank", float64(c.context.rank)), number("retry_after_ms", milliseconds(final.retryAfter)))
	if final.outcome == outcome.NotRun {
		c.plane.metrics.Shed.WithLabelValues(orElse(c.context.levelName, "none"), string(final.reason)).Inc()
	}
	if c.side == SideEntry {
		c.writer.Header().Set(wire.HeaderRequestID, c.context.requestID)
	}
	c.writer.ReadRest()
	final.write(c.writer, c.context.requestID)
}

func (c *outboundCall) count(how outcome.Outcome, reason outcome.Reason) {
	class := "none"
	if c.class != nil {
		class = c.class.Name
	}
	c.plane.metrics.Calls.WithLabelValues(string(c.side), orElse(c.knownService(), "unknown"), class, string(how), string(reason)).Inc()
}

// knownService keeps names that callers make up out of the metrics.
func (c *outboundCall) knownService() string {
	if c.route == nil {
		return ""
	}
	return c.service
}

// answer relays the target's answer. When it turns out to be broken after its
// head was sent, the connection to the caller is cut: a part never passes for
// the whole.
func (c *outboundCall) answer(try *attempt) {
	defer try.response.Body.Close()
	header := c.writer.Header()
	copyHeaders(header, try.response.Header)
	header.Del("Content-Length")
	if c.side == SideEntry {
		header.Set(wire.HeaderRequestID, c.context.requestID)
	}
	header.Set(wire.HeaderOutcome, string(outcome.Answered))
	header.Set(wire.HeaderReason, try.head.Reason)
	length := try.head.ContentLength
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if !allowsBody(c.request.Method, try.head.Status) {
		length = -1
	}
	c.writer.WriteHeader(try.head.Status)
	waited := c.plane.now()
	sum, err := relay(c.writer, try.response.Body, length, length < 0, nil, func(sum body) error { return c.checkEnd(try, sum) })
	c.upstream += c.plane.now() - waited
	if err != nil {
		try.fail(outcome.Unknown, outcome.ReasonTruncated)
		if err == errReceiverGone {
			try.reason = outcome.ReasonCancelled
		}
		try.tellRouting()
		c.count(try.outcome, try.reason)
		c.plane.record(c.context, explain.Answer, string(try.reason), c.service, try.choice.Target.Node, number("bytes", float64(sum.length)))
		panic(http.ErrAbortHandler)
	}
	try.tellRouting()
	c.count(outcome.Answered, outcome.Reason(try.head.Reason))
	took := c.plane.now() - c.started
	c.plane.metrics.Added.WithLabelValues(string(c.side)).Observe((took - c.upstream).Seconds())
	c.plane.record(c.context, explain.Answer, try.head.Reason, c.service, try.choice.Target.Node, number("status", float64(try.head.Status)),
		number("bytes", float64(sum.length)), number("took_ms", milliseconds(took)), number("retries", float64(c.retries)),
		number("credits_held", float64(c.context.ledger.held())))
}

// checkEnd compares the body with the closing message of the answer and takes
// back the credits that were not spent.
func (c *outboundCall) checkEnd(try *attempt, sum body) error {
	end, err := wire.EndCodec.DecodeHeader(try.response.Trailer.Get(wire.TrailerEnd))
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	if end.CallID != try.callID {
		return failure.New(failure.Internal, "report this", "answer of call %s came to call %s", end.CallID, try.callID)
	}
	c.context.ledger.settle(try.loan, end.Unspent)
	if end.Broken || end.Length != sum.length || uint64(end.Digest) != sum.digest {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// allowsBody tells whether an answer has a body (RFC 9110, 6.4.1).
func allowsBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
