package target

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/fairshare"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// Gate wraps a slots.Gate with channels for waiting requests and a timer that expires them.
// It has its own mutex because it can outlive its target.
type Gate struct {
	now      func() time.Duration
	Instance string           // instance of the target
	Service  string           // service of the target
	Link     *targetlink.Link // connections to the target

	mu          sync.Mutex
	core        *slots.Gate
	tenants     *fairshare.Meter // nil: no call had a tenant with a share
	stated      ratelimit.Stated
	hasStated   bool          // a rate was stated, or adopted
	statedAt    time.Duration // arrival of the last response; 0: none yet
	nextID      uint64
	waiting     map[uint64]waiter
	timer       *time.Timer   // calls tick; nil: not needed yet
	timerActive bool          // the timer runs
	tickAt      time.Duration // when it fires

	holdersDueAt atomic.Int64 // ns; see DueHolders

	drained   chan struct{} // closed by drain
	drainOnce sync.Once

	Unanswered Unanswered // runs without a response
}

// waiter is a request that waits for a slot.
type waiter struct {
	decided chan slots.Decision // receives the decision once
	origin  Origin
}

// Origin tells where a request comes from.
type Origin struct {
	Node   string // that sent it
	IsCall bool   // made for a request that runs at the target of that node
}

const (
	// minExpiryInterval is the shortest interval at which a gate checks waiting requests for expiry,
	// and for tokens of a target that states a rate.
	minExpiryInterval = 5 * time.Millisecond
	// maxExpiryInterval is the longest one. Deadlines pass while the machine is suspended, but timers
	// do not advance.
	maxExpiryInterval = 100 * time.Millisecond
)

func newGate(now func() time.Duration, report roster.Report, link *targetlink.Link) *Gate {
	return &Gate{
		now: now, Instance: report.Instance, Service: report.Service, Link: link,
		core: slots.New(report.Slots), stated: ratelimit.NewStated(), waiting: map[uint64]waiter{}, drained: make(chan struct{}), Unanswered: Unanswered{suspectSlot: make(chan struct{}, 1)},
	}
}

// Acquire waits for a slot. The caller must call Release if the decision is to send.
func (g *Gate) Acquire(ctx context.Context, origin Origin, request slots.Request) (uint64, slots.Decision) {
	decision, result := g.submit(origin, &request)
	switch {
	case result == nil && decision.Send && ctx.Err() != nil:
		g.Release(request.ID, false)
		return request.ID, slots.Decision{ID: request.ID, Reason: slots.ReasonExpired}
	case result == nil:
		return request.ID, decision
	}
	select {
	case decision := <-result:
		return request.ID, decision
	case <-ctx.Done():
		return request.ID, g.withdraw(request.ID, result)
	}
}

// submit submits a request, to which it assigns an ID. It returns the decision or, if the request is
// queued, the channel that the decision will be sent to.
func (g *Gate) submit(origin Origin, request *slots.Request) (decision slots.Decision, result chan slots.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	request.ID = g.nextID
	now := g.now()
	decisions := g.core.Submit(now, *request)
	index := slices.IndexFunc(decisions, func(d slots.Decision) bool { return d.ID == request.ID })
	if index >= 0 {
		decision = decisions[index]
	} else {
		result = make(chan slots.Decision, 1)
		g.waiting[request.ID] = waiter{decided: result, origin: origin}
	}
	g.apply(now, decisions)
	return decision, result
}

// withdraw removes a waiting request that was canceled. If it has been admitted meanwhile,
// its slot is released.
func (g *Gate) withdraw(id uint64, result chan slots.Decision) slots.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	if !g.core.Cancel(id) {
		select {
		case decision := <-result:
			if decision.Send {
				now := g.now()
				g.apply(now, g.core.Finish(now, id, false))
			}
		default:
		}
	}
	return slots.Decision{ID: id, Reason: slots.ReasonExpired}
}

// Release releases the slot of an admitted request. If learn is set, its duration updates the
// estimate of the hold time.
func (g *Gate) Release(id uint64, learn bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(now, g.core.Finish(now, id, learn))
}

// Withdraw refuses the waiting requests whose origin matches and that are expected to wait longer than
// maxWait, with a reason.
func (g *Gate) Withdraw(reason slots.Reason, maxWait time.Duration, matches func(Origin) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(now, g.core.Withdraw(now, maxWait, reason, func(id uint64) bool { return matches(g.waiting[id].origin) }))
}

func (g *Gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(now, g.core.Drain(now))
	g.drainOnce.Do(func() { close(g.drained) })
}

// Drained returns a channel that is closed when the target accepts no new requests.
func (g *Gate) Drained() <-chan struct{} { return g.drained }

// Load returns the load of the target and whether it is draining.
func (g *Gate) Load() (slots.Load, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Load(g.now()), g.core.Draining()
}

// LoadBesides returns the load of the target. The offered load excludes one request of a class, which
// was submitted at a time.
func (g *Gate) LoadBesides(class string, submittedAt time.Duration) slots.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	load := g.core.Load(now)
	load.Offered = g.core.OfferedLoadBesides(now, class, submittedAt)
	return load
}

func (g *Gate) setSlots(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(now, g.core.SetSlots(now, count))
}

// apply delivers decisions to waiting requests. mu must be held.
func (g *Gate) apply(now time.Duration, decisions []slots.Decision) {
	for _, decision := range decisions {
		if w, waits := g.waiting[decision.ID]; waits {
			w.decided <- decision
			delete(g.waiting, decision.ID)
		}
	}
	g.scheduleTick(now)
}

// scheduleTick sets the timer for the next expiry of a waiting request. mu must be held.
func (g *Gate) scheduleTick(now time.Duration) {
	due, needed := g.core.NextExpiry(now)
	if !needed {
		return // if the timer runs, it fires once more
	}
	interval := min(max(due-now, minExpiryInterval), maxExpiryInterval)
	if g.timerActive && now+interval >= g.tickAt {
		return
	}
	g.timerActive, g.tickAt = true, now+interval
	if g.timer == nil {
		g.timer = time.AfterFunc(interval, g.tick)
		return
	}
	g.timer.Reset(interval)
}

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerActive = false
	now := g.now()
	g.apply(now, g.core.Expire(now))
}
