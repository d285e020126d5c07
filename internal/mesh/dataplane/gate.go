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

// gate drives the gate of the target beside the node: calls wait on channels, a
// timer ticks while any waits.
type gate struct {
	levels  int
	now     func() time.Duration
	metrics *telemetry.Metrics
	mutex   sync.Mutex
	core    *gatecore.Gate
	nextID  uint64
	waiting map[uint64]chan limiter.Action
	running map[uint64]context.CancelCauseFunc
	ticking bool
}

const gateTick = 5 * time.Millisecond

// newGate makes the gate of a target that takes so many connections: there is one
// for each call at it.
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

// ticket is the right to a slot of the target, or the refusal of one.
type ticket struct {
	id      uint64
	action  limiter.Action
	cursor  admission.Rank
	entered time.Duration
}

func (t ticket) admitted() bool { return t.action.Kind == limiter.Admit }

// enter waits for a slot. cancel is called when the call is preempted.
func (g *gate) enter(ctx context.Context, call limiter.Call, rank admission.Rank, cancel context.CancelCauseFunc) ticket {
	g.mutex.Lock()
	now := g.now()
	g.nextID++
	call.ID = g.nextID
	decided := make(chan limiter.Action, 1)
	g.waiting[call.ID] = decided
	g.running[call.ID] = cancel
	g.apply(g.core.Arrive(now, call, rank))
	cursor := g.core.Cursor()
	g.mutex.Unlock()

	select {
	case action := <-decided:
		return ticket{id: call.ID, action: action, cursor: cursor, entered: g.now()}
	case <-ctx.Done():
		return g.withdraw(call.ID, decided, cursor)
	}
}

// withdraw takes back a call whose caller went away while it waited.
func (g *gate) withdraw(id uint64, decided chan limiter.Action, cursor admission.Rank) ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	select {
	case action := <-decided:
		if action.Kind == limiter.Admit {
			g.apply(g.core.Finish(now, id, 0, false, false))
		}
	default:
		g.core.Withdraw(id)
	}
	delete(g.waiting, id)
	delete(g.running, id)
	return ticket{id: id, action: limiter.Action{Kind: limiter.Refuse, ID: id, Reason: outcome.ReasonCancelled}, cursor: cursor}
}

// leave gives the slot back. own is the target's own time; healthy tells that
// it may be learned from, shed that the target refused the call.
func (g *gate) leave(id uint64, own time.Duration, healthy, shed bool) {
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

// apply carries out the limiter's actions. The mutex is held.
func (g *gate) apply(actions []limiter.Action) {
	for _, action := range actions {
		switch action.Kind {
		case limiter.Preempt:
			if cancel := g.running[action.ID]; cancel != nil {
				cancel(errPreempted)
			}
		case limiter.Admit, limiter.Refuse:
			g.note(action)
			if decided := g.waiting[action.ID]; decided != nil {
				decided <- action
				delete(g.waiting, action.ID)
			}
		}
	}
	if g.core.Queued() > 0 && !g.ticking {
		g.ticking = true
		time.AfterFunc(gateTick, g.tick)
	}
	g.metrics.Limit.Set(float64(g.core.Limit()))
	g.metrics.Active.Set(float64(g.core.Active()))
	g.metrics.Queued.Set(float64(g.core.Queued()))
	g.metrics.Cursor.Set(float64(g.core.Cursor()))
}

func (g *gate) note(action limiter.Action) {
	if action.Kind == limiter.Admit {
		g.metrics.QueueWait.Observe(action.Wait.Seconds())
		return
	}
	delete(g.running, action.ID)
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ticking = false
	g.apply(g.core.Tick(g.now()))
}
