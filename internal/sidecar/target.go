package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// localTarget is the target beside the node: who it is, its gate and the
// connections to it. It is safe for concurrent use.
type localTarget struct {
	now      func() time.Duration
	link     func() *targetlink.Link
	changed  func()                                          // called without the mutex
	beginAll bool                                            // gates begin also what cannot end in its time
	identify func(ctx context.Context) (roster.Report, bool) // asks the target itself
	followed func(before *gate)                              // another instance stands at its address; nil: nobody is told

	mutex    sync.Mutex
	roster   *roster.Roster
	heard    time.Duration
	coldTill time.Duration
	gate     *gate // nil: no target is known
}

// gate drives a slots.Gate: requests wait on channels, a timer ticks while any
// does. Its mutex is its own, so that an old gate outlives its target.
type gate struct {
	now      func() time.Duration
	instance string
	service  string
	links    *targetlink.Link

	mutex   sync.Mutex
	core    *slots.Gate
	next    uint64
	waiting map[uint64]chan slots.Decision
	ticking bool

	endings endings
}

const gateTick = 5 * time.Millisecond

func newGate(now func() time.Duration, report roster.Report, link *targetlink.Link) *gate {
	return &gate{
		now: now, instance: report.Instance, service: report.Service, links: link,
		core: slots.New(report.Slots), waiting: map[uint64]chan slots.Decision{}, endings: endings{single: make(chan struct{}, 1)},
	}
}

// enter waits for a slot. It gives false when the request was not let through;
// leave must follow when it was.
func (g *gate) enter(ctx context.Context, request slots.Request) (uint64, slots.Decision) {
	g.mutex.Lock()
	g.next++
	request.ID = g.next
	decided := make(chan slots.Decision, 1)
	g.waiting[request.ID] = decided
	g.apply(g.core.Arrive(g.now(), request))
	g.mutex.Unlock()
	select {
	case decision := <-decided:
		return request.ID, decision
	case <-ctx.Done():
		return request.ID, g.withdraw(request.ID, decided)
	}
}

// withdraw takes back a request whose sender went away while it waited.
func (g *gate) withdraw(id uint64, decided chan slots.Decision) slots.Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, id)
	if !g.core.Withdraw(id) {
		select {
		case decision := <-decided:
			if decision.Send {
				g.apply(g.core.Finish(g.now(), id, false))
			}
		default:
		}
	}
	return slots.Decision{ID: id, Reason: slots.ReasonExpired}
}

func (g *gate) leave(id uint64, learn bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.Finish(g.now(), id, learn))
}

func (g *gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.Drain(g.now()))
}

func (g *gate) load() (slots.Load, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Load(), g.core.Draining()
}

func (g *gate) setSlots(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.SetSlots(g.now(), count))
}

// apply carries decisions out. The mutex is held.
func (g *gate) apply(decisions []slots.Decision) {
	for _, decision := range decisions {
		if decided := g.waiting[decision.ID]; decided != nil {
			decided <- decision
			delete(g.waiting, decision.ID)
		}
	}
	if len(g.waiting) > 0 && !g.ticking {
		g.ticking = true
		time.AfterFunc(gateTick, g.tick)
	}
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ticking = false
	g.apply(g.core.Tick(g.now()))
}

// Current gives the gate of the target that takes requests now, or nil.
func (t *localTarget) Current() *gate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.gate
}

// Report gives what is known of the target.
func (t *localTarget) Report() (report roster.Report, coldTill time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.roster.Current(), t.coldTill
}

// HasLeft tells that the last target left for good and no other has come.
func (t *localTarget) HasLeft() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.roster.Empty()
}

// identifyTimeout bounds the question to the target who it is; the
// acknowledgement of a heartbeat waits for it.
const identifyTimeout = 400 * time.Millisecond

// silentAfter is how long the target before must have been silent for another
// one to take its place when nobody can be asked.
const silentAfter = 4 * time.Second

// Heartbeat takes a report of a target. An error means that it must not be
// acknowledged.
func (t *localTarget) Heartbeat(report roster.Report) error {
	t.mutex.Lock()
	verdict := t.roster.Heartbeat(report)
	if verdict == roster.Doubtful {
		t.mutex.Unlock()
		return t.settleDoubt(report)
	}
	if verdict != roster.Stale {
		t.heard = t.now()
		t.adopt()
	}
	t.mutex.Unlock()
	if verdict == roster.Changed {
		t.changed()
	}
	return nil
}

// settleDoubt asks the target at the address which instance it is.
func (t *localTarget) settleDoubt(report roster.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	found, known := t.identify(ctx)
	t.mutex.Lock()
	switch {
	case known && found.Instance == report.Instance, !known && (t.now()-t.heard > silentAfter || t.roster.Current().Draining):
		t.roster.Replace(report)
		t.heard = t.now()
		t.adopt()
	case !known:
		t.mutex.Unlock()
		return failure.New(failure.Unavailable, "send the heartbeat again", "which target holds the address is not known")
	}
	t.mutex.Unlock()
	t.changed()
	return nil
}

// Found takes in a target that was asked who it is, when no heartbeat has come.
func (t *localTarget) Found(report roster.Report) {
	t.mutex.Lock()
	if t.roster.Current().Instance != "" || t.roster.Gone(report.Instance) {
		t.mutex.Unlock()
		return
	}
	t.roster.Replace(report)
	t.heard = t.now()
	t.adopt()
	t.mutex.Unlock()
	t.changed()
}

// Leave notes that an instance leaves for good.
func (t *localTarget) Leave(instance string) error {
	t.mutex.Lock()
	left := t.roster.Left(instance)
	if left && t.gate != nil {
		t.gate.drain()
		t.gate.links.Close()
		t.gate = nil
	}
	t.mutex.Unlock()
	if left {
		t.changed()
	}
	return nil
}

// Close ends the connections to the target.
func (t *localTarget) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.gate != nil {
		t.gate.links.Close()
	}
}

// Replaced notes that the target's address belongs to another instance.
func (t *localTarget) Replaced(instance string) {
	t.mutex.Lock()
	if t.gate != nil && t.gate.instance == instance {
		t.tellFollowed()
	}
	t.mutex.Unlock()
	_ = t.Leave(instance)
}

// tellFollowed tells of the gate whose target another instance follows. The mutex is held.
func (t *localTarget) tellFollowed() {
	if t.followed != nil {
		go t.followed(t.gate)
	}
}

// adopt brings the gate in line with the roster. The mutex is held.
func (t *localTarget) adopt() {
	report := t.roster.Current()
	t.coldTill = t.now() + report.Cold
	if t.gate == nil || t.gate.instance != report.Instance || t.gate.service != report.Service {
		if t.gate != nil {
			t.gate.drain()
			t.gate.links.Close()
			t.tellFollowed()
		}
		t.gate = newGate(t.now, report, t.link())
		if t.beginAll {
			t.gate.core.BeginAll()
		}
	}
	t.gate.setSlots(report.Slots)
	if report.Draining {
		t.gate.drain()
	}
}
