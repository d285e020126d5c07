// Package target holds the target beside a node: which instance stands there, the gate that
// lets requests in to it, and its runs that have no answer.
//
// It owns the roster of the instances that have sent heartbeats, one gate for the instance that
// takes requests now, and for each gate the runs whose answer was lost until it is known whether
// the target ended with them. The rules are those of packages core/roster and core/slots. It
// relies on package targetlink for the connections; who is told of a change is named in Options.
// All of it is safe for concurrent use.
package target

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// Options are what the target needs of the other parts of its node. Its functions are called
// without locks, but for Link and Now.
type Options struct {
	Now  func() time.Duration    // the clock that counts suspensions
	Link func() *targetlink.Link // makes the connections to a target
	// Identify asks the target who it is; false: it does not say.
	Identify func(ctx context.Context) (roster.Report, bool)
	// Changed is called when another target has come, or this one has left or changed.
	Changed func()
	// Followed is called with the gate of a target when another instance stands at its address;
	// nil: it is not.
	Followed func(before *Gate)
	// BeginAll makes gates begin also what cannot end in its time.
	BeginAll bool
}

// Local is the target beside the node: who it is, its gate and the connections to it. It is
// safe for concurrent use.
type Local struct {
	options Options

	mutex    sync.Mutex
	roster   *roster.Roster
	heard    time.Duration
	coldTill time.Duration
	gate     *Gate // nil: no target is known
}

// New makes the place of a target; none is known yet.
func New(options Options) *Local { return &Local{options: options, roster: roster.New()} }

// Gate drives a slots.Gate: requests wait on channels, a timer ticks while any
// does. Its mutex is its own, so that an old gate outlives its target.
type Gate struct {
	now      func() time.Duration
	Instance string           // that takes requests through this gate
	Service  string           // of the target
	Links    *targetlink.Link // to the target

	mutex   sync.Mutex
	core    *slots.Gate
	next    uint64
	waiting map[uint64]chan slots.Decision
	ticking bool

	Unanswered Unanswered // runs that have no answer
}

// gateTick is how often a gate with waiting requests looks for those whose time is up.
const gateTick = 5 * time.Millisecond

func newGate(now func() time.Duration, report roster.Report, link *targetlink.Link) *Gate {
	return &Gate{
		now: now, Instance: report.Instance, Service: report.Service, Links: link,
		core: slots.New(report.Slots), waiting: map[uint64]chan slots.Decision{}, Unanswered: Unanswered{single: make(chan struct{}, 1)},
	}
}

// Enter waits for a slot. Leave must follow when the decision is to send.
func (g *Gate) Enter(ctx context.Context, request slots.Request) (uint64, slots.Decision) {
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
func (g *Gate) withdraw(id uint64, decided chan slots.Decision) slots.Decision {
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

// Leave ends a request that was let in; learn: its time counts for the hold time.
func (g *Gate) Leave(id uint64, learn bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.Finish(g.now(), id, learn))
}

func (g *Gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.Drain(g.now()))
}

// Load returns the load of the target, and whether it takes no new requests.
func (g *Gate) Load() (slots.Load, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Load(), g.core.Draining()
}

func (g *Gate) setSlots(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.apply(g.core.SetSlots(g.now(), count))
}

// apply carries decisions out. The mutex is held.
func (g *Gate) apply(decisions []slots.Decision) {
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

func (g *Gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ticking = false
	g.apply(g.core.Tick(g.now()))
}

// Current gives the gate of the target that takes requests now, or nil.
func (t *Local) Current() *Gate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.gate
}

// Report gives what is known of the target.
func (t *Local) Report() (report roster.Report, coldTill time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.roster.Current(), t.coldTill
}

// HasLeft tells that the last target left for good and no other has come.
func (t *Local) HasLeft() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.roster.Empty()
}

// IdentifyTimeout bounds the question to the target who it is; the
// acknowledgement of a heartbeat waits for it.
const IdentifyTimeout = 400 * time.Millisecond

// silentAfter is how long the target before must have been silent for another
// one to take its place when nobody can be asked.
const silentAfter = 4 * time.Second

// Heartbeat takes a report of a target. An error means that it must not be
// acknowledged.
func (t *Local) Heartbeat(report roster.Report) error {
	t.mutex.Lock()
	verdict := t.roster.Heartbeat(report)
	if verdict == roster.Doubtful {
		t.mutex.Unlock()
		return t.settleDoubt(report)
	}
	if verdict != roster.Stale {
		t.heard = t.options.Now()
		t.adopt()
	}
	t.mutex.Unlock()
	if verdict == roster.Changed {
		t.options.Changed()
	}
	return nil
}

// settleDoubt asks the target at the address which instance it is.
func (t *Local) settleDoubt(report roster.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), IdentifyTimeout)
	defer cancel()
	found, known := t.options.Identify(ctx)
	t.mutex.Lock()
	switch {
	case known && found.Instance == report.Instance, !known && (t.options.Now()-t.heard > silentAfter || t.roster.Current().Draining):
		t.roster.Replace(report)
		t.heard = t.options.Now()
		t.adopt()
	case !known:
		t.mutex.Unlock()
		return failure.New(failure.Unavailable, "send the heartbeat again", "which target holds the address is not known")
	}
	t.mutex.Unlock()
	t.options.Changed()
	return nil
}

// Found takes in a target that was asked who it is, when no heartbeat has come.
func (t *Local) Found(report roster.Report) {
	t.mutex.Lock()
	if t.roster.Current().Instance != "" || t.roster.Gone(report.Instance) {
		t.mutex.Unlock()
		return
	}
	t.roster.Replace(report)
	t.heard = t.options.Now()
	t.adopt()
	t.mutex.Unlock()
	t.options.Changed()
}

// Leave notes that an instance leaves for good.
func (t *Local) Leave(instance string) error {
	t.mutex.Lock()
	left := t.roster.Left(instance)
	if left && t.gate != nil {
		t.gate.drain()
		t.gate.Links.Close()
		t.gate = nil
	}
	t.mutex.Unlock()
	if left {
		t.options.Changed()
	}
	return nil
}

// Close ends the connections to the target.
func (t *Local) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.gate != nil {
		t.gate.Links.Close()
	}
}

// Replaced notes that the target's address belongs to another instance.
func (t *Local) Replaced(instance string) {
	t.mutex.Lock()
	if t.gate != nil && t.gate.Instance == instance {
		t.tellFollowed()
	}
	t.mutex.Unlock()
	_ = t.Leave(instance)
}

// tellFollowed tells of the gate whose target another instance follows. The mutex is held.
func (t *Local) tellFollowed() {
	if t.options.Followed != nil {
		go t.options.Followed(t.gate)
	}
}

// adopt brings the gate in line with the roster. The mutex is held.
func (t *Local) adopt() {
	report := t.roster.Current()
	t.coldTill = t.options.Now() + report.Cold
	if t.gate == nil || t.gate.Instance != report.Instance || t.gate.Service != report.Service {
		if t.gate != nil {
			t.gate.drain()
			t.gate.Links.Close()
			t.tellFollowed()
		}
		t.gate = newGate(t.options.Now, report, t.options.Link())
		if t.options.BeginAll {
			t.gate.core.BeginAll()
		}
	}
	t.gate.setSlots(report.Slots)
	if report.Draining {
		t.gate.drain()
	}
}
