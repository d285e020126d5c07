package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	gatecore "github.com/landingmast/landingmast/internal/mesh/core/gate"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
)

// gate adds locking, waiting and timers to the admission gate of the local target. Calls
// wait on channels; a timer runs while the queue is not empty.
type gate struct {
	levels        int
	now           func() time.Duration
	metrics       *telemetry.Metrics
	mutex         sync.Mutex
	core          *gatecore.Gate
	nextID        uint64
	waiting       map[uint64]chan limiter.Action
	running       map[uint64]context.CancelCauseFunc
	tickScheduled bool
}

const gateTickInterval = 5 * time.Millisecond

// newGate returns a gate that admits at most one call per connection to the target.
func newGate(levels, connections int, now func() time.Duration, metrics *telemetry.Metrics) *gate {
	config := gatecore.DefaultConfig(levels)
	config.Limiter.MaxLimit = connections
	config.Limiter.MinLimit = min(config.Limiter.MinLimit, connections)
	config.Limiter.InitialLimit = min(config.Limiter.InitialLimit, connections)
	return &gate{
		levels: levels, now: now, metrics: metrics, core: gatecore.New(config),
		waiting: map[uint64]chan limiter.Action{}, running: map[uint64]context.CancelCauseFunc{},
	}
}

// ticket is the result of an admission request: a slot at the target or a refusal.
type ticket struct {
	id     uint64
	action limiter.Action
	cursor admission.Rank
}

func (t ticket) admitted() bool { return t.action.Kind == limiter.Admit }

// acquire waits for a slot. The gate calls cancel if the call is preempted after admission.
func (g *gate) acquire(ctx context.Context, call limiter.Call, rank admission.Rank, cancel context.CancelCauseFunc) ticket {
	g.mutex.Lock()
	now := g.now()
	g.nextID++
	call.ID = g.nextID
	decision := make(chan limiter.Action, 1)
	g.waiting[call.ID] = decision
	g.running[call.ID] = cancel
	g.apply(g.core.Arrive(now, call, rank))
	cursor := g.core.Cursor()
	g.mutex.Unlock()

	select {
	case action := <-decision:
		return ticket{id: call.ID, action: action, cursor: cursor}
	case <-ctx.Done():
		return g.withdraw(call.ID, decision, cursor)
	}
}

// withdraw removes a call that was cancelled while it waited. If a slot was granted in the
// meantime, it is released.
func (g *gate) withdraw(id uint64, decision chan limiter.Action, cursor admission.Rank) ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	select {
	case action := <-decision:
		if action.Kind == limiter.Admit {
			g.apply(g.core.Finish(now, id, 0, false, false))
		}
	default:
		g.core.Cancel(id)
	}
	delete(g.waiting, id)
	delete(g.running, id)
	return ticket{id: id, action: limiter.Action{Kind: limiter.Refuse, ID: id, Reason: outcome.ReasonCancelled}, cursor: cursor}
}

// release frees the slot. own is the time spent in the target itself, healthy allows the
// limiter to use it as a sample, and shed reports that the target refused the call.
func (g *gate) release(id uint64, own time.Duration, healthy, shed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	delete(g.running, id)
	g.apply(g.core.Finish(now, id, own, healthy, shed))
}

func (g *gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.Drain(g.now()))
}

func (g *gate) draining() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Draining()
}

func (g *gate) state() (limit, active, queued int, draining bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Limit(), g.core.Active(), g.core.Queued(), g.core.Draining()
}

// apply executes the actions of the limiter. The caller holds g.mutex.
func (g *gate) apply(actions []limiter.Action) {
	for _, action := range actions {
		switch action.Kind {
		case limiter.Preempt:
			if cancel := g.running[action.ID]; cancel != nil {
				cancel(errPreempted)
			}
		case limiter.Admit, limiter.Refuse:
			g.recordDecision(action)
			if decision := g.waiting[action.ID]; decision != nil {
				decision <- action
				delete(g.waiting, action.ID)
			}
		}
	}
	if g.core.Queued() > 0 && !g.tickScheduled {
		g.tickScheduled = true
		time.AfterFunc(gateTickInterval, g.tick)
	}
	g.metrics.Limit.Set(float64(g.core.Limit()))
	g.metrics.Active.Set(float64(g.core.Active()))
	g.metrics.Queued.Set(float64(g.core.Queued()))
	g.metrics.Cursor.Set(float64(g.core.Cursor()))
}

func (g *gate) recordDecision(action limiter.Action) {
	if action.Kind == limiter.Admit {
		g.metrics.QueueWait.Observe(action.Wait.Seconds())
		return
	}
	delete(g.running, action.ID)
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.tickScheduled = false
	g.apply(g.core.Tick(g.now()))
}
