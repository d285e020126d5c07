package arrival

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/importance"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/wire"
)

// Ingress is the HTTP handler for requests to the local target.
type Ingress struct {
	options       Options
	Running       runningTable
	SettleHandler *onceHandler
	crash         sync.Mutex // serializes recordCrash
}

// New returns the ingress handler of a node.
func New(options Options) *Ingress {
	i := &Ingress{options: options, Running: runningTable{requests: map[string]*Running{}}}
	i.SettleHandler = newOnceHandler(i)
	return i
}

// IsCall reports whether id belongs to a call made by a request in progress at the target.
func (i *Ingress) IsCall(id string) bool { return i.Parent(id) != nil }

// Parent returns the request at the target that made the call with this id, or nil. The id of a
// call consists of the parent's id, a separator and a suffix; an id of any other form has no
// parent.
func (i *Ingress) Parent(id string) *Running {
	at := strings.LastIndex(id, wire.CallSeparator)
	if at <= 0 {
		return nil
	}
	return i.Running.find(id[:at])
}

// ServeHTTP serves a request of another node.
func (i *Ingress) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	w, r, end, draining := i.options.Begin(writer, received)
	defer end()
	if draining {
		w.DrainBody()
		i.write(w, reply.NotRun(outcome.ReasonStopping), "")
		return
	}
	call, err := wire.DecodeCall(r.Header)
	if err != nil {
		w.DrainBody()
		i.write(w, reply.NotRun(outcome.ReasonBadMessage), "")
		return
	}
	held, reserved := i.options.Bodies.Reserve(r.ContentLength)
	if !reserved {
		w.DrainBody()
		i.write(w, reply.NotRun(outcome.ReasonNoMemory), "")
		return
	}
	defer i.options.Bodies.Release(held)
	remaining := time.Duration(call.Remaining) * time.Microsecond
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	body, err := ReadBody(r)
	if err != nil {
		i.write(w, reply.NotRun(outcome.ReasonCancelled), "")
		return
	}
	duplex.NoticeDisconnect()
	omitted := ""
	if r.Header.Get(i.options.Headers.RequestID) == "" {
		omitted = i.options.Headers.RequestID // the sender has it from its call
	}
	i.write(w, i.Serve(ctx, call, headers.KeepEndToEnd(r.Header), body), omitted)
}

// ReadBody reads the body of a request, buffering all of it unless it is long.
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

// write sends a reply, without one of its headers, to the requesting node. It does not modify the reply,
// which may be cached. If the response breaks off, the connection is aborted so that a truncated
// response is never taken for a complete one.
func (i *Ingress) write(w http.ResponseWriter, response *reply.Reply, omitted string) {
	if response.Stream != nil {
		defer response.Stream.Close()
	}
	result := response.Result()
	result.Incarnation, result.Version = i.options.Incarnation, int64(i.options.Version())
	head, err := wire.SidecarResultCodec.EncodeHeader(result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, values := range response.Header {
		if name != omitted {
			header[name] = values
		}
	}
	header.Set(wire.HeaderSidecarResult, head)
	if err := wire.EncodeTargetState(header, response.TargetState); err != nil {
		panic(http.ErrAbortHandler)
	}
	if waits := reply.EncodeWaits(response); waits != "" {
		header.Set(wire.HeaderSidecarWaits, waits)
	}
	if usage := reply.EncodeUsage(response); usage != "" {
		header.Set(wire.HeaderSidecarUsage, usage)
	}
	if paces := reply.EncodePace(response); paces != "" {
		header.Set(wire.HeaderSidecarPace, paces)
	}
	SuppressDefaultHeaders(header)
	if response.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
		_, _ = w.Write(response.Body)
		return
	}
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	if _, err := io.Copy(w, response.Stream); err != nil {
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

// Serve sends a request to the target, at most once unless it is repeatable.
func (i *Ingress) Serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	switch {
	case call.Incarnation != "" && call.Incarnation != i.options.Incarnation:
		return reply.NotRun(outcome.ReasonNodeRestarted)
	case call.Idempotent || call.Key == "":
		return i.admit(ctx, call, header, body, nil)
	default:
		return i.SettleHandler.serve(ctx, call, header, body)
	}
}

// admit waits for a slot and sends the request to the target. claimSend, if not nil, is called
// right before sending and can deny it.
func (i *Ingress) admit(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload, claimSend func() bool) *reply.Reply {
	req := &request{Request: quarantine.Request{Call: call, Body: body}, arrivedAt: i.options.Now()}
	response := i.passGate(ctx, req, header, claimSend)
	i.recordRun(req, response)
	return response
}

// request is a request at the gate, with the fields of its log event.
type request struct {
	quarantine.Request
	arrivedAt time.Duration
	instance  string
	waited    time.Duration // for a slot
	connected time.Duration // wait for a connection to the target
	exclusive bool          // whether the request is the only suspected one at the target
	invalid   string        // what is wrong with an invalid response
}

// remaining returns the time left until the request times out. It checks the node's clock as well
// as the context, because context timers stop while the host is suspended.
func (r *request) remaining(ctx context.Context, now time.Duration) time.Duration {
	left := time.Duration(r.Call.Remaining)*time.Microsecond - (now - r.arrivedAt)
	if deadline, bounded := ctx.Deadline(); bounded {
		left = min(left, time.Until(deadline))
	}
	return left
}

func (i *Ingress) passGate(ctx context.Context, req *request, header http.Header, claimSend func() bool) *reply.Reply {
	gate, call := i.options.Target.Current(), req.Call
	switch {
	case gate == nil:
		return reply.NotRun(outcome.ReasonNoTarget)
	case gate.Service != call.Service:
		return reply.NotRun(outcome.ReasonWrongService)
	}
	req.instance = gate.Instance
	i.adoptState(gate, call.TargetState)
	heldBack := i.options.Quarantine
	switch {
	case !heldBack.MaySend(&req.Request):
		return reply.NotRun(outcome.ReasonEndsTargets)
	case heldBack.IsSuspected(&req.Request):
		if !gate.Unanswered.AcquireSuspectSlot(ctx) {
			return reply.NotRun(outcome.ReasonSuspectWaits)
		}
		if req.exclusive = heldBack.IsSuspected(&req.Request); req.exclusive {
			defer gate.Unanswered.ReleaseSuspectSlot()
		} else {
			gate.Unanswered.ReleaseSuspectSlot() // cleared of suspicion while waiting
		}
	}
	i.logHolders(gate)
	now := i.options.Now()
	i.recordTenant(gate, call)
	id, decision := gate.Acquire(ctx, target.Origin{Node: call.From, IsCall: importance.IsCall(call.Importance)}, slots.Request{
		Importance: call.Importance, Priority: importance.Priority(call.Importance), NeedDelay: needDelay(call), NeedKnown: call.NeedClass > 0,
		Deadline: now + req.remaining(ctx, now), Class: call.Route, Tenant: call.Tenant,
	})
	req.waited = decision.Waited
	var response *reply.Reply
	switch {
	case !decision.Send && ctx.Err() != nil:
		response = reply.NotRun(reply.CancelReason(ctx))
	case !decision.Send:
		response = reply.NotRun(outcome.Reason(decision.Reason))
	case claimSend != nil && !claimSend():
		gate.Release(id, false)
		response = reply.NotRun(outcome.ReasonFenced)
	case !heldBack.MaySend(&req.Request): // evidence may have arrived while waiting
		gate.Release(id, false)
		response = reply.NotRun(outcome.ReasonEndsTargets)
	default:
		response = i.run(ctx, gate, id, req, header)
	}
	response.Load = gate.LoadBesides(call.Route, now)
	response.Waited = decision.Waited
	if call.Tenant != "" {
		response.TenantLoad = gate.TenantLoad(call.Tenant, call.Route, now)
	}
	i.attachState(gate, response)
	return response
}

// recordTenant counts a call for the share of its tenant.
func (i *Ingress) recordTenant(gate *target.Gate, call *wire.SidecarCall) {
	if call.Tenant == "" {
		return
	}
	if weight := i.options.TenantWeight(call.Tenant); weight > 0 {
		gate.RecordTenant(call.Tenant, weight, call.Route)
	}
}

// needDelay returns how long a call waits at a scarce target for the sake of chains that need less. A
// sender that does not know the need, such as one that was just started or one of the previous release,
// gets the middle class.
func needDelay(call *wire.SidecarCall) time.Duration {
	class := call.NeedClass
	if class == 0 {
		class = (1 + wire.MaxNeedClass) / 2
	}
	if !importance.IsCall(call.Importance) {
		class++ // calls of running work go before new work
	}
	return time.Duration(class) * needClassDelay
}

// needClassDelay is the delay of one need class at a scarce target: that of the largest need, 0.31 s, is
// as long as such a target's queue may be before requests are refused at the start of their chains.
const needClassDelay = 10 * time.Millisecond

// run sends the request to the target and reads its response.
func (i *Ingress) run(ctx context.Context, gate *target.Gate, id uint64, req *request, header http.Header) *reply.Reply {
	call := req.Call
	running := &Running{ID: call.RequestID, Context: ctx, Importance: call.Importance, IsRetry: call.IsRetry, Tenant: call.Tenant, RetryGrant: call.RetryGrant, NeedClass: call.NeedClass, Scarce: call.Scarce, needs: map[string]wire.Need{}}
	i.Running.add(call.RequestID, running)
	sentAt, paceBefore := i.options.Now(), gate.Pace()
	response := i.sendToTarget(ctx, gate, req, header)
	response.SlotTime = i.options.Now() - sentAt
	response.RunPace = runPace(paceBefore, gate.Pace())
	i.Running.remove(call.RequestID, running)
	response.Needs = running.collectNeeds()
	if response.RunPace > 0 {
		gate.SetPaceShare(id, response.PaceShare(response.SlotTime))
	}
	answered := response.Outcome == outcome.Answered
	if response.Stream == nil {
		gate.Release(id, answered)
		if response.Outcome == outcome.Answered {
			i.options.Quarantine.RecordSuccess(&req.Request)
		}
	} else {
		response.Stream = &slotReader{ReadCloser: response.Stream, release: func(err error) {
			gate.Release(id, answered)
			i.recordStreamEnd(ctx, gate, req, err)
		}}
	}
	return response
}

// slotReader releases the slot when a streamed response is closed.
type slotReader struct {
	io.ReadCloser
	err     error // first read error; io.EOF if the response is complete
	once    sync.Once
	release func(err error)
}

// Read implements io.Reader.
func (s *slotReader) Read(piece []byte) (int, error) {
	count, err := s.ReadCloser.Read(piece)
	if err != nil {
		s.err = err
	}
	return count, err
}

// Close implements io.Closer.
func (s *slotReader) Close() error {
	defer s.once.Do(func() { s.release(s.err) })
	return s.ReadCloser.Close()
}

// recordStreamEnd records how reading a streamed response ended; a nil err means that the reader
// disconnected.
func (i *Ingress) recordStreamEnd(ctx context.Context, gate *target.Gate, req *request, err error) {
	switch {
	case err == io.EOF:
		i.options.Quarantine.RecordSuccess(&req.Request)
	case err == nil || ctx.Err() != nil:
		i.recordCancelled(gate, req)
	default:
		i.recordLost(ctx, gate, req)
	}
}

// connectMS returns the wait for a connection for the log, in which a reused connection counts as none.
func connectMS(wait time.Duration) float64 {
	if wait < time.Millisecond {
		return 0
	}
	return eventlog.Milliseconds(wait)
}

// recordRun updates the metrics and writes the log event of a request handled at the gate.
func (i *Ingress) recordRun(req *request, response *reply.Reply) {
	waited, elapsed := req.waited, i.options.Now()-req.arrivedAt
	if response.Arrived {
		i.options.Metrics.SlotWait.Observe(waited.Seconds())
		i.options.Metrics.ConnectionWait.Observe(req.connected.Seconds())
		i.options.Metrics.TargetDuration.Observe((elapsed - waited).Seconds())
	}
	weight := eventlog.Success
	if response.Outcome != outcome.Answered || response.Status >= http.StatusInternalServerError {
		weight = eventlog.Failure
	}
	if !i.options.Events.Allow(eventlog.Run{}.Kind(), weight) {
		return
	}
	i.options.Events.Add(eventlog.Run{
		Request: req.Call.RequestID, From: req.Call.From, Service: req.Call.Service, Instance: req.instance, Outcome: string(response.Outcome),
		Reason: string(response.Reason), Status: response.Status, Importance: req.Call.Importance, WaitMS: eventlog.Milliseconds(waited), TookMS: eventlog.Milliseconds(elapsed),
		RemainingMS: float64(req.Call.Remaining) / 1000, Running: response.Load.Running, Waiting: response.Load.Waiting, Slots: response.Load.Slots, Retry: req.Call.IsRetry,
		ConnectMS: connectMS(req.connected), Pace: response.RunPace, Invalid: req.invalid,
	}, weight)
}
