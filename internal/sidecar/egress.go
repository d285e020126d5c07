package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/wire"
)

// egress takes requests of the clients on the machine and of the target there.
type egress struct {
	node *Node
}

// exchange is one request and what it takes to have it answered.
type exchange struct {
	node       *Node
	writer     http.ResponseWriter
	request    *http.Request
	id         string
	intent     *intent.Intent
	route      *intent.Route
	service    string
	parent     *running // request of the target that made this one; nil for a client's
	importance int
	repeat     bool
	granted    float64 // part of the request's budgets for repeats that goes down the chain
	header     http.Header
	body       *payload
	started    time.Duration
	needs      []wire.Need // what the last sending needed
	lacked     bool        // there was no room for it in time
	arrivals   int         // sendings that reached a target
	mayRun     bool        // one of them may have run

	// What the log tells of the request.
	hold      time.Duration
	share     float64
	decisive  string
	occupancy float64
	sends     []eventlog.Send
}

// Times of a request.
const (
	defaultDeadline = 10 * time.Second // of a sender that names none
	maxBounces      = 8                // sendings that no target saw
	maxFulls        = 3                // of them those for which there was no room in time
	bodyGrace       = 50 * time.Millisecond
)

// ServeHTTP takes a request.
func (e *egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	end, refused := e.node.begin(w, e.node.stopping.Load())
	defer end()
	names := e.node.options.Headers
	x := &exchange{node: e.node, writer: w, request: r, id: r.Header.Get(names.RequestID), intent: e.node.intent.Load(), started: e.node.now()}
	switch {
	case refused && !e.node.ingress.runs(x.id):
		x.refuse(http.StatusServiceUnavailable, reasonStopping, unreadyRetryAfter)
		return
	case x.intent == nil:
		x.refuse(http.StatusServiceUnavailable, reasonNoIntent, unreadyRetryAfter)
		return
	case x.id == "":
		x.refuse(http.StatusBadRequest, reasonBadMessage, 0)
		return
	}
	x.route = x.intent.Match(r.Host, pathOf(r))
	if x.route == nil {
		x.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	if status, reason := refusedBySize(r, x.intent.Limits); status != 0 {
		w.Header().Set("Connection", "close")
		x.refuse(status, reason, 0)
		return
	}
	if most := x.intent.Limits.MaxBodyBytes; r.ContentLength < 0 && most > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	x.serve()
}

// uriOf gives path and query as they were sent.
func uriOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(uriOf(r), "?")
	return path
}

// clientTime is how long the sender will wait.
func (x *exchange) clientTime() time.Duration {
	if text := x.request.Header.Get(x.node.options.Headers.Deadline); text != "" {
		if milliseconds, err := strconv.ParseFloat(text, 64); err == nil && milliseconds >= 0 {
			return time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	return defaultDeadline
}

// holdTime is the longest time that the request may be held.
func (x *exchange) holdTime() time.Duration {
	hold := x.clientTime()
	if x.route.Timeout > 0 {
		hold = min(hold, x.route.Timeout)
	}
	return hold
}

func (x *exchange) serve() {
	hold := x.holdTime()
	x.hold = hold
	ctx, cancel := context.WithTimeout(x.request.Context(), hold)
	defer cancel()
	x.findParent()
	if x.parent != nil {
		stop := context.AfterFunc(x.parent.ctx, cancel)
		defer stop()
	}
	if x.request.ContentLength != 0 {
		_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(hold + bodyGrace))
	}
	body, err := receive(x.request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, 0)
		return
	case err != nil:
		x.refuse(http.StatusRequestTimeout, reasonCancelled, 0)
		return
	}
	x.body = body
	x.header = endToEnd(x.request.Header)
	x.service = x.node.splitter.choose(x.route)
	x.granted = x.node.countRequest(x.route, x.service, x.grantedAbove())
	if !x.admitted() {
		x.refuse(http.StatusServiceUnavailable, reasonSheds, comeBack(x.clientTime()))
		return
	}
	if x.parent == nil {
		defer x.release()
	}
	x.send(ctx)
}

// grantedAbove is the part of the budgets for repeats that the nodes above leave to
// this one.
func (x *exchange) grantedAbove() float64 {
	if x.parent == nil {
		return 1
	}
	return x.parent.granted
}

// admitted decides whether a client's request is let in. Calls of requests that
// are running always are: work has gone into them.
func (x *exchange) admitted() bool {
	if x.parent != nil {
		x.share = 1
		return true
	}
	var admitted bool
	admitted, x.share, x.decisive, x.occupancy = x.node.overload.admit(x.route)
	return admitted
}

// release tells how a client's request ended that was let in.
func (x *exchange) release() {
	x.node.overload.end(ending{route: x.route, limit: x.limit(), needs: x.needs, lacked: x.lacked, left: x.request.Context().Err() != nil})
}

// limit is the time from its arrival inside which the request's answer is wanted.
func (x *exchange) limit() time.Duration {
	if objective := x.route.Objective; objective > 0 {
		return min(objective, x.hold)
	}
	return x.hold
}

// comeBackShare is the part of its time after which a refused client comes back at
// the latest: as late as clients wait, when the shortage may be over, with most of
// its time left.
const comeBackShare = 3

func comeBack(time time.Duration) time.Duration { return jittered(time / (2 * comeBackShare)) }

// learn takes in what a sending told of the services down the chain.
func (x *exchange) learn(answer *reply) {
	needs := answer.needs
	if pressure, known := x.node.services.get(x.service).pressure(x.node.now()); known && answer.load.Slots > 0 {
		needs = append(needs, wire.Need{Service: x.service, Calls: 1, Occupancy: int(pressure.Occupancy * occupancyScale), Wait: answer.waited})
	}
	x.needs = needs
	if x.parent != nil {
		x.parent.add(needs)
	}
	x.node.overload.learn(x.route, needs, answer.outcome == Answered && answer.status < http.StatusBadRequest)
}

// findParent looks for the request at the target for which this one is made. The
// id of a call is the id of the request that made it, a dot and a part of its
// own; where ids look otherwise the request stands for itself.
func (x *exchange) findParent() {
	x.importance = x.route.Priority*importanceStep + importanceFresh
	dot := strings.LastIndexByte(x.id, '.')
	if dot <= 0 {
		return
	}
	parent := x.node.ingress.running.find(x.id[:dot])
	if parent == nil {
		return
	}
	x.parent = parent
	x.importance = parent.importance - parent.importance%importanceStep + importanceOfCall
	x.repeat = parent.repeat
}

// Importance within one priority: calls of running work go before fresh work.
const (
	importanceStep   = 4
	importanceOfCall = 0
	importanceFresh  = 2
)

// send tries targets until one answers or nothing more can be tried.
func (x *exchange) send(ctx context.Context) {
	target := x.node.services.get(x.service)
	excluded := map[string]bool{}
	last := notRun(reasonNoTarget)
	for bounces, fulls := 0, 0; bounces < maxBounces && fulls < maxFulls && ctx.Err() == nil; {
		choice := target.pick(x.node.now(), x.wish(ctx), excluded)
		if choice == nil {
			break
		}
		last.close()
		began := x.node.now()
		last = x.attempt(ctx, choice, bounces)
		x.noteSend(choice, last, x.node.now()-began)
		choice.done(x.node.now(), last)
		if last.reason == reasonUnreachable && last.incarnation == "" && choice.node != x.node.settings().Node {
			x.node.liveness.revive(choice.node, choice.address)
		}
		x.tellIfLost(choice, last)
		x.learn(last)
		if last.arrived {
			x.arrivals++
		} else {
			bounces++
		}
		if last.full() {
			fulls++
		}
		if last.outcome == Unknown {
			x.mayRun = true
		}
		if last.outcome == Answered {
			x.answer(last)
			return
		}
		excluded[choice.node] = true
		if !x.again(last) {
			break
		}
	}
	x.giveUp(ctx, last)
}

// wish is what the request asks of a target: an answer within its route's objective,
// and before its time is up.
func (x *exchange) wish(ctx context.Context) balancer.Wish {
	deadline, _ := ctx.Deadline()
	wish := balancer.Wish{Class: x.route.Name, Limit: time.Until(deadline)}
	if left := x.route.Objective - (x.node.now() - x.started); left > 0 {
		wish.Limit = min(wish.Limit, left)
	}
	return wish
}

// again tells whether another target may be tried after a sending that brought
// no answer.
func (x *exchange) again(last *reply) bool {
	if !x.body.replayable() {
		return false
	}
	if !last.arrived {
		return true
	}
	if last.outcome == Unknown && !x.route.Kind.Repeatable() {
		return false
	}
	if x.arrivals >= max(x.route.MaxAttempts, 1) || x.repeat {
		return false
	}
	return x.node.repeat(x.route, x.service)
}

// attempt sends the request to one target.
func (x *exchange) attempt(ctx context.Context, choice *choice, bounces int) *reply {
	deadline, _ := ctx.Deadline()
	repeatable := x.route.Kind.Repeatable()
	call := &wire.SidecarCall{
		RequestID: x.id, Method: x.request.Method, URI: uriOf(x.request), Host: x.request.Host, Service: x.service, Route: x.route.Name,
		Caller: x.node.caller(), From: x.node.settings().Node, Importance: x.importance, Repeatable: repeatable,
		Repeat: x.repeat || x.arrivals > 0, Attempt: x.arrivals, Remaining: time.Until(deadline).Microseconds(),
		Version: int64(x.intent.Version), Granted: x.granted,
	}
	if choice.node == x.node.settings().Node {
		return x.node.ingress.serve(ctx, call, x.header.Clone(), x.body)
	}
	if repeatable {
		return x.sendRepeatable(ctx, choice, call)
	}
	return x.sendOnce(ctx, choice, call)
}

// noteSend keeps a sending for the log and counts it.
func (x *exchange) noteSend(choice *choice, answer *reply, took time.Duration) {
	x.node.metrics.Sends.WithLabelValues(x.service, string(answer.outcome), string(answer.reason)).Inc()
	x.sends = append(x.sends, eventlog.Send{
		Node: choice.node, Outcome: string(answer.outcome), Reason: string(answer.reason), Arrived: answer.arrived, Status: answer.status,
		TookMS: milliseconds(took), Occupancy: answer.load.Occupancy(),
	})
}

// tellIfLost helps a node that replied without knowing any configuration.
func (x *exchange) tellIfLost(choice *choice, answer *reply) {
	if answer.incarnation != "" && answer.version == 0 && choice.node != x.node.settings().Node {
		x.node.exchanger.tell(choice.address)
	}
}

// sendRepeatable sends to another node, and gives up when that node shows no
// sign of life.
func (x *exchange) sendRepeatable(ctx context.Context, choice *choice, call *wire.SidecarCall) *reply {
	ctx, abandon := context.WithCancelCause(ctx)
	watched := x.node.liveness.begin(choice.node, choice.address, abandon)
	answer := x.node.peers.call(ctx, choice.address, call, x.header, x.body)
	watched.end(answer.incarnation != "")
	if answer.outcome == Unknown && errors.Is(context.Cause(ctx), errSilent) {
		answer.reason = reasonSilent
	}
	if answer.stream == nil {
		abandon(nil)
	}
	return answer
}

// sendOnce sends a request that may run at most once. When the connection to the
// node breaks, the node is asked what became of the request.
func (x *exchange) sendOnce(ctx context.Context, choice *choice, call *wire.SidecarCall) *reply {
	call.Key = strconv.FormatUint(rand.Uint64(), 36)
	call.Incarnation = x.node.membership.incarnation(choice.node)
	watched := x.node.liveness.begin(choice.node, choice.address, nil)
	defer func() { watched.end(false) }()
	answer := x.node.peers.call(ctx, choice.address, call, x.header, x.body)
	for range settleTries {
		if answer.outcome != Unknown || answer.reason != reasonLost || call.Incarnation == "" || ctx.Err() != nil {
			break
		}
		deadline, _ := ctx.Deadline()
		call.Remaining = time.Until(deadline).Microseconds()
		answer = x.node.peers.settle(ctx, choice.address, call)
	}
	if answer.reason == reasonIncarnation {
		x.node.membership.restarted(choice.node, answer.incarnation)
	}
	return answer
}

// settleTries is how often a node is asked what became of a request.
const settleTries = 3

// answer gives the target's answer to the sender.
func (x *exchange) answer(given *reply) {
	defer given.close()
	header := x.writer.Header()
	for name, values := range given.header {
		header[name] = values
	}
	withoutGuess(header)
	if given.stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(given.body)))
		x.writer.WriteHeader(given.status)
		_, _ = x.writer.Write(given.body)
		x.ended(given.status, reasonNone, 0)
		return
	}
	if given.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(given.length, 10))
	}
	x.writer.WriteHeader(given.status)
	if _, err := io.Copy(x.writer, given.stream); err != nil {
		x.ended(0, reasonLost, 0)
		panic(http.ErrAbortHandler)
	}
	x.ended(given.status, reasonNone, 0)
}

// Times after which a refused sender may come back.
const (
	unreadyRetryAfter  = 500 * time.Millisecond
	overloadRetryAfter = 400 * time.Millisecond
)

// giveUp writes the final answer of a request that no target answered. "Not run"
// is said only where no sending may have run.
func (x *exchange) giveUp(ctx context.Context, last *reply) {
	defer last.close()
	if x.lacked = last.full(); x.lacked && x.parent != nil {
		// It would have waited for all the time that it had.
		x.parent.add([]wire.Need{{Service: x.service, Calls: 1, Occupancy: -1, Wait: x.hold}})
	}
	if x.request.Context().Err() != nil {
		x.ended(0, reasonCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	switch {
	case !x.mayRun:
		x.refuse(http.StatusServiceUnavailable, last.reason, jittered(overloadRetryAfter))
	case ctx.Err() != nil:
		x.refuse(http.StatusGatewayTimeout, reasonTimeout, 0)
	default:
		x.refuse(http.StatusBadGateway, last.reason, 0)
	}
}

func jittered(span time.Duration) time.Duration {
	return span + time.Duration(rand.Int64N(int64(span)))
}

// refuse writes an answer of the node's own.
func (x *exchange) refuse(status int, reason Reason, retryAfter time.Duration) {
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
