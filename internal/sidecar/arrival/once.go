package arrival

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/fence"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

const (
	// fenceTTL is how long the ledger remembers a request; it exceeds the time that data can be
	// delayed in the network.
	fenceTTL = 2 * time.Minute
	// orphanGrace is how long a request keeps running after its sender's connection broke, so that
	// the sender can claim the reply.
	orphanGrace = 500 * time.Millisecond
	// replyTTL is how long a reply is cached for a sender that claims it.
	replyTTL = 5 * time.Second
)

// onceHandler serves requests that must not be executed twice. A request that was sent to the
// target keeps running when its sender's connection breaks, and the sender can claim the reply on
// another connection.
type onceHandler struct {
	ingress *Ingress
	mutex   sync.Mutex
	ledger  *fence.Ledger
	runs    map[string]*onceRun // keyed by the idempotency key of the call
}

// onceRun is an at-most-once request between its arrival and the expiry of its cached reply.
type onceRun struct {
	done      chan struct{} // closed once reply is set
	reply     *reply.Reply
	cancel    context.CancelFunc
	claimed   chan struct{} // closed when a sender claims the reply on another connection
	claimOnce sync.Once
}

func newOnceHandler(ingress *Ingress) *onceHandler {
	return &onceHandler{ingress: ingress, ledger: fence.New(fenceTTL), runs: map[string]*onceRun{}}
}

// serve executes a request for a sender that waits until ctx ends.
func (o *onceHandler) serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	if !body.Replayable() {
		return o.serveStream(ctx, call, header, body)
	}
	deadline, _ := ctx.Deadline()
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	run := &onceRun{done: make(chan struct{}), claimed: make(chan struct{}), cancel: cancel}
	if !o.register(call.Key, run) {
		cancel()
		return reply.NotRun(outcome.ReasonFenced)
	}
	go o.run(detached, call, header, body, run)
	select {
	case <-run.done:
		return run.reply
	case <-ctx.Done():
	}
	o.handleDisconnect(call.Key, run)
	return reply.Unknown(reply.CancelReason(ctx))
}

// serveStream executes a request whose body cannot be buffered; it ends with the sender's
// connection.
func (o *onceHandler) serveStream(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	if !o.register(call.Key, nil) {
		return reply.NotRun(outcome.ReasonFenced)
	}
	return o.ingress.admit(ctx, call, header, body, func() bool { return o.claimSend(call.Key) })
}

func (o *onceHandler) register(key string, run *onceRun) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.ledger.Arrive(o.ingress.options.Now(), key) {
		return false
	}
	if run != nil {
		o.runs[key] = run
	}
	return true
}

// claimSend claims the right to send the request to the target.
func (o *onceHandler) claimSend(key string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ledger.Send(o.ingress.options.Now(), key)
}

func (o *onceHandler) run(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload, run *onceRun) {
	response := o.ingress.admit(ctx, call, header, body, func() bool { return o.claimSend(call.Key) })
	if response.Stream != nil {
		response.Stream = &cancellingStream{response.Stream, run.cancel}
	} else {
		run.cancel()
	}
	o.mutex.Lock()
	now := o.ingress.options.Now()
	o.ledger.End(now, call.Key)
	o.ledger.Withdraw(now, call.Key)
	run.reply = response
	close(run.done)
	o.mutex.Unlock()
	time.AfterFunc(replyTTL, func() { o.forget(call.Key) })
}

// cancellingStream cancels the context of a run when its response is closed; before that the
// connection to the target would break.
type cancellingStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *cancellingStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}

func (o *onceHandler) forget(key string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.runs, key)
}

// handleDisconnect handles a request whose sender's connection broke. A request that is still
// waiting is fenced; one that is at the target is cancelled unless the sender claims it within
// orphanGrace.
func (o *onceHandler) handleDisconnect(key string, run *onceRun) {
	o.mutex.Lock()
	state := o.ledger.State(key)
	if state == fence.Waiting {
		state = o.ledger.Fence(o.ingress.options.Now(), key)
	}
	o.mutex.Unlock()
	if state == fence.Fenced {
		run.cancel()
		return
	}
	timer := time.AfterFunc(orphanGrace, func() {
		select {
		case <-run.claimed:
		default:
			run.cancel()
		}
	})
	go func() {
		<-run.done
		timer.Stop()
		if run.reply.Stream != nil {
			_ = run.reply.Stream.Close() // nobody reads it, and it holds a slot
		}
	}()
}

// settle reports the outcome of a request to a sender that lost its connection.
func (o *onceHandler) settle(ctx context.Context, key string) *reply.Reply {
	o.mutex.Lock()
	state := o.ledger.Fence(o.ingress.options.Now(), key)
	run := o.runs[key]
	o.mutex.Unlock()
	switch {
	case state == fence.Fenced:
		return reply.NotRun(outcome.ReasonFenced)
	case run == nil:
		return reply.Unknown(outcome.ReasonLost)
	}
	run.claimOnce.Do(func() { close(run.claimed) })
	select {
	case <-run.done:
		if run.reply.Stream != nil {
			return reply.Unknown(outcome.ReasonLost) // the stream was consumed by the broken connection
		}
		return run.reply
	case <-ctx.Done():
		return reply.Unknown(reply.CancelReason(ctx))
	}
}

// ServeHTTP answers another node's query for the outcome of a request.
func (o *onceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := wire.DecodeCall(r.Header)
	if err != nil {
		o.ingress.write(w, reply.Unknown(outcome.ReasonBadMessage), "")
		return
	}
	if call.Incarnation != o.ingress.options.Incarnation {
		o.ingress.write(w, reply.Unknown(outcome.ReasonNodeRestarted), "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.Remaining)*time.Microsecond)
	defer cancel()
	response := o.settle(ctx, call.Key)
	o.ingress.options.Events.Add(eventlog.Settle{Request: call.RequestID, From: call.From, Outcome: string(response.Outcome), Reason: string(response.Reason)}, eventlog.Failure)
	o.ingress.write(w, response, "")
}
