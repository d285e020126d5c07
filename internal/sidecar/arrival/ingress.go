package arrival

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/wire"
)

// Ingress serves the requests for the target beside the node.
type Ingress struct {
	options Options
	Running runningTable
	Once    *onceGate
}

// New makes the ingress of a node.
func New(options Options) *Ingress {
	i := &Ingress{options: options, Running: runningTable{requests: map[string]*Running{}}}
	i.Once = newOnceGate(i)
	return i
}

// IsCall reports whether an id is that of a call of a request at the target.
func (i *Ingress) IsCall(id string) bool { return i.Parent(id) != nil }

// Parent returns the request at the target whose call has an id; nil: there is none. The id of
// a call is the id of the request that made it, a separator and a part of its own; where ids
// look otherwise a request stands for itself.
func (i *Ingress) Parent(id string) *Running {
	at := strings.LastIndex(id, wire.CallSeparator)
	if at <= 0 {
		return nil
	}
	return i.Running.find(id[:at])
}

// ServeHTTP takes a request of another node.
func (i *Ingress) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	w, r, end, refused := i.options.Begin(writer, received)
	defer end()
	if refused {
		w.ReadRest()
		i.write(w, reply.NotRun(outcome.ReasonStopping))
		return
	}
	call, err := wire.CallFrom(r.Header)
	if err != nil {
		w.ReadRest()
		i.write(w, reply.NotRun(outcome.ReasonBadMessage))
		return
	}
	remaining := time.Duration(call.Remaining) * time.Microsecond
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	body, err := ReadBody(r)
	if err != nil {
		i.write(w, reply.NotRun(outcome.ReasonCancelled))
		return
	}
	answer := i.Serve(ctx, call, headers.EndToEnd(r.Header), body)
	if r.Header.Get(i.options.Headers.RequestID) == "" {
		answer = answer.WithoutHeader(i.options.Headers.RequestID)
	}
	i.write(w, answer)
}

// ReadBody reads the body of a request, whole unless it is long.
func ReadBody(r *http.Request) (*reply.Payload, error) {
	if r.ContentLength == 0 {
		return &reply.Payload{}, nil
	}
	data, rest, err := reply.ReadBuffered(r.Body, r.ContentLength)
	if err != nil {
		return nil, err
	}
	if rest != nil {
		return &reply.Payload{Stream: rest, Head: data, Length: r.ContentLength}, nil
	}
	return &reply.Payload{Data: data}, nil
}

// write sends a reply to the node that asked. An answer that breaks off cuts the
// connection, so that it never passes for a whole one.
func (i *Ingress) write(w http.ResponseWriter, answer *reply.Reply) {
	defer answer.Close()
	answer.Incarnation = i.options.Incarnation
	answer.Version = i.options.Version()
	head, err := wire.SidecarResultCodec.EncodeHeader(answer.Result())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(wire.HeaderSidecarResult, head)
	if waits := reply.EncodeWaits(answer); waits != "" {
		header.Set(wire.HeaderSidecarWaits, waits)
	}
	SuppressDefaultHeaders(header)
	if answer.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		_, _ = w.Write(answer.Body)
		return
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if _, err := io.Copy(w, answer.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// SuppressDefaultHeaders keeps net/http from adding headers that the target did not send.
func SuppressDefaultHeaders(header http.Header) {
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil
	}
	if _, present := header["Date"]; !present {
		header["Date"] = nil
	}
}

// Serve sends a request to the target, once at most where it may not be repeated.
func (i *Ingress) Serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	switch {
	case call.Incarnation != "" && call.Incarnation != i.options.Incarnation:
		return reply.NotRun(outcome.ReasonIncarnation)
	case call.Repeatable || call.Key == "":
		return i.admit(ctx, call, header, body, nil)
	default:
		return i.Once.serve(ctx, call, header, body)
	}
}

// admit waits for a slot and sends the request to the target. maySend is asked right before it
// is sent; nil: it may.
func (i *Ingress) admit(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload, maySend func() bool) *reply.Reply {
	one := &request{Request: heldback.Request{Call: call, Body: body}, at: i.options.Now()}
	answer := i.gated(ctx, one, header, maySend)
	i.noteRun(one, answer)
	return answer
}

// request is a request at the gate, with what its log line has.
type request struct {
	heldback.Request
	at       time.Duration
	instance string
	waited   time.Duration
	alone    bool // no other suspected request is at the target
}

// left is how much of its time the request has left. The timer of ctx stands still while the
// machine is suspended.
func (a *request) left(ctx context.Context, now time.Duration) time.Duration {
	left := time.Duration(a.Call.Remaining)*time.Microsecond - (now - a.at)
	if deadline, bounded := ctx.Deadline(); bounded {
		left = min(left, time.Until(deadline))
	}
	return left
}

func (i *Ingress) gated(ctx context.Context, one *request, header http.Header, maySend func() bool) *reply.Reply {
	gate, call := i.options.Target.Current(), one.Call
	switch {
	case gate == nil:
		return reply.NotRun(outcome.ReasonNoTarget)
	case gate.Service != call.Service:
		return reply.NotRun(outcome.ReasonWrongService)
	}
	one.instance = gate.Instance
	held := i.options.HeldBack
	switch {
	case !held.MaySend(&one.Request):
		return reply.NotRun(outcome.ReasonEndsTargets)
	case held.Suspected(&one.Request):
		if !gate.Unanswered.AcquireSingle(ctx) {
			return reply.NotRun(outcome.ReasonSuspectWaits)
		}
		if one.alone = held.Suspected(&one.Request); one.alone {
			defer gate.Unanswered.ReleaseSingle()
		} else {
			gate.Unanswered.ReleaseSingle() // it was cleared while it waited
		}
	}
	now := i.options.Now()
	id, decision := gate.Enter(ctx, slots.Request{Importance: call.Importance, Deadline: now + one.left(ctx, now), Class: call.Route})
	one.waited = decision.Waited
	var answer *reply.Reply
	switch {
	case !decision.Send && ctx.Err() != nil:
		answer = reply.NotRun(reply.CancelReason(ctx))
	case !decision.Send:
		answer = reply.NotRun(outcome.Reason(decision.Reason))
	case maySend != nil && !maySend():
		gate.Leave(id, false)
		answer = reply.NotRun(outcome.ReasonFenced)
	case !held.MaySend(&one.Request): // by what was heard while it waited
		gate.Leave(id, false)
		answer = reply.NotRun(outcome.ReasonEndsTargets)
	default:
		answer = i.run(ctx, gate, id, one, header)
	}
	answer.Load, _ = gate.Load()
	answer.Waited = decision.Waited
	return answer
}

// run sends the request to the target and reads its answer.
func (i *Ingress) run(ctx context.Context, gate *target.Gate, id uint64, one *request, header http.Header) *reply.Reply {
	call := one.Call
	request := &Running{ID: call.RequestID, Context: ctx, Importance: call.Importance, IsRetry: call.Repeat, Tenant: call.Tenant, RetryGrant: call.Granted, needs: map[string]wire.Need{}}
	i.Running.add(call.RequestID, request)
	answer := i.sendToTarget(ctx, gate, one, header)
	i.Running.remove(call.RequestID, request)
	learn := answer.Outcome == outcome.Answered
	if answer.Stream == nil {
		gate.Leave(id, learn)
		if answer.Outcome == outcome.Answered {
			i.options.HeldBack.EndedWell(&one.Request)
		}
	} else {
		answer.Stream = &slotReader{ReadCloser: answer.Stream, leave: func(err error) {
			gate.Leave(id, learn)
			i.streamed(ctx, gate, one, err)
		}}
	}
	answer.Needs = request.below()
	return answer
}

// slotReader gives the slot back when a long answer was read.
type slotReader struct {
	io.ReadCloser
	err   error // with which the reading ended; io.EOF: the answer is whole
	once  sync.Once
	leave func(err error)
}

// Read implements io.Reader.
func (l *slotReader) Read(piece []byte) (int, error) {
	count, err := l.ReadCloser.Read(piece)
	if err != nil {
		l.err = err
	}
	return count, err
}

// Close implements io.Closer.
func (l *slotReader) Close() error {
	defer l.once.Do(func() { l.leave(l.err) })
	return l.ReadCloser.Close()
}

// streamed notes how the reading of a long answer ended; nil: its reader went away.
func (i *Ingress) streamed(ctx context.Context, gate *target.Gate, one *request, err error) {
	switch {
	case err == io.EOF:
		i.options.HeldBack.EndedWell(&one.Request)
	case err == nil || ctx.Err() != nil:
		i.senderLeft(gate, one)
	default:
		i.lost(gate, one)
	}
}

// noteRun notes the end of a request at the gate of the target.
func (i *Ingress) noteRun(one *request, answer *reply.Reply) {
	waited, took := one.waited, i.options.Now()-one.at
	if answer.Arrived {
		i.options.Metrics.Waited.Observe(waited.Seconds())
		i.options.Metrics.Held.Observe((took - waited).Seconds())
	}
	weight := eventlog.Success
	if answer.Outcome != outcome.Answered || answer.Status >= http.StatusInternalServerError {
		weight = eventlog.Failure
	}
	if !i.options.Events.Wants(eventlog.Run{}.Kind(), weight) {
		return
	}
	i.options.Events.Add(eventlog.Run{
		Request: one.Call.RequestID, From: one.Call.From, Service: one.Call.Service, Instance: one.instance, Outcome: string(answer.Outcome),
		Reason: string(answer.Reason), Status: answer.Status, Importance: one.Call.Importance, WaitMS: eventlog.Milliseconds(waited), TookMS: eventlog.Milliseconds(took),
		LeftMS: float64(one.Call.Remaining) / 1000, Running: answer.Load.Running, Waiting: answer.Load.Waiting, Slots: answer.Load.Slots, Repeat: one.Call.Repeat,
	}, weight)
}
