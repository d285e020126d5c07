package arrival

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/fence"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of requests that run at most once.
const (
	// fenceKeep is how long a gate remembers them; longer than bytes can be under way.
	fenceKeep = 2 * time.Minute
	// orphanGrace is how long one runs on after the connection of its sender
	// broke, for the sender to ask for it.
	orphanGrace = 500 * time.Millisecond
	// replyKeep is how long its reply is kept for a sender that asks.
	replyKeep = 5 * time.Second
)

// onceGate serves the requests that may run at most once. A request that was
// sent to the target goes on when the connection of its sender breaks, and its
// reply is handed over when the sender asks for it on another connection.
type onceGate struct {
	Ingress *Ingress
	mutex   sync.Mutex
	ledger  *fence.Ledger
	runs    map[string]*onceRun // by key
}

// onceRun is one such request between its arrival and the end of replyKeep.
type onceRun struct {
	done   chan struct{} // closed when reply is there
	reply  *reply.Reply
	cancel context.CancelFunc
	asked  chan struct{} // a sender waits for the reply on another connection
	once   sync.Once
}

func newOnceGate(ingress *Ingress) *onceGate {
	return &onceGate{Ingress: ingress, ledger: fence.New(fenceKeep), runs: map[string]*onceRun{}}
}

// serve runs a request on behalf of a sender whose interest ends with ctx.
func (o *onceGate) serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	if !body.Replayable() {
		return o.serveStream(ctx, call, header, body)
	}
	deadline, _ := ctx.Deadline()
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	run := &onceRun{done: make(chan struct{}), asked: make(chan struct{}), cancel: cancel}
	if !o.arrive(call.Key, run) {
		cancel()
		return reply.NotRun(outcome.ReasonFenced)
	}
	go o.run(detached, call, header, body, run)
	select {
	case <-run.done:
		return run.reply
	case <-ctx.Done():
	}
	o.orphaned(call.Key, run)
	return reply.Unknown(reply.CancelReason(ctx))
}

// serveStream runs a request whose body cannot be kept: its end is the sender's.
func (o *onceGate) serveStream(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	if !o.arrive(call.Key, nil) {
		return reply.NotRun(outcome.ReasonFenced)
	}
	return o.Ingress.admit(ctx, call, header, body, func() bool { return o.send(call.Key) })
}

func (o *onceGate) arrive(key string, run *onceRun) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.ledger.Arrive(o.Ingress.options.Now(), key) {
		return false
	}
	if run != nil {
		o.runs[key] = run
	}
	return true
}

// send asks for the right to send the request to the target.
func (o *onceGate) send(key string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ledger.Send(o.Ingress.options.Now(), key)
}

func (o *onceGate) run(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload, run *onceRun) {
	defer run.cancel()
	answer := o.Ingress.admit(ctx, call, header, body, func() bool { return o.send(call.Key) })
	o.mutex.Lock()
	now := o.Ingress.options.Now()
	o.ledger.End(now, call.Key)
	o.ledger.Withdraw(now, call.Key)
	run.reply = answer
	close(run.done)
	o.mutex.Unlock()
	time.AfterFunc(replyKeep, func() { o.drop(call.Key) })
}

func (o *onceGate) drop(key string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.runs, key)
}

// orphaned handles a request whose sender's connection is gone: while it waits
// it is fenced; at the target it is broken off unless the sender asks for it soon.
func (o *onceGate) orphaned(key string, run *onceRun) {
	o.mutex.Lock()
	state := o.ledger.State(key)
	if state == fence.Waiting {
		state = o.ledger.Fence(o.Ingress.options.Now(), key)
	}
	o.mutex.Unlock()
	if state == fence.Fenced {
		run.cancel()
		return
	}
	timer := time.AfterFunc(orphanGrace, func() {
		select {
		case <-run.asked:
		default:
			run.cancel()
		}
	})
	go func() {
		<-run.done
		timer.Stop()
	}()
}

// settle says what became of a request whose sender lost its connection.
func (o *onceGate) settle(ctx context.Context, key string) *reply.Reply {
	o.mutex.Lock()
	state := o.ledger.Fence(o.Ingress.options.Now(), key)
	run := o.runs[key]
	o.mutex.Unlock()
	switch {
	case state == fence.Fenced:
		return reply.NotRun(outcome.ReasonFenced)
	case run == nil:
		return reply.Unknown(outcome.ReasonLost)
	}
	run.once.Do(func() { close(run.asked) })
	select {
	case <-run.done:
		if run.reply.Stream != nil {
			return reply.Unknown(outcome.ReasonLost) // it was read by the connection that broke
		}
		return run.reply
	case <-ctx.Done():
		return reply.Unknown(reply.CancelReason(ctx))
	}
}

// ServeHTTP answers the question of another node about one request.
func (o *onceGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := wire.CallFrom(r.Header)
	if err != nil {
		o.Ingress.write(w, reply.Unknown(outcome.ReasonBadMessage))
		return
	}
	if call.Incarnation != o.Ingress.options.Incarnation {
		o.Ingress.write(w, reply.Unknown(outcome.ReasonIncarnation))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.Remaining)*time.Microsecond)
	defer cancel()
	answer := *o.settle(ctx, call.Key) // the kept reply stays as it is
	o.Ingress.options.Events.Add(eventlog.Settle{Request: call.RequestID, From: call.From, Outcome: string(answer.Outcome), Reason: string(answer.Reason)}, eventlog.Failure)
	o.Ingress.write(w, &answer)
}
