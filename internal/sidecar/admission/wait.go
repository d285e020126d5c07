package admission

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/startqueue"
)

// startQueue holds the requests that wait at the start of their chains. Fields are guarded by the mutex
// of Control.
type startQueue struct {
	core    *startqueue.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	timer   *time.Timer // calls expire; nil until a request has waited
}

// waiter is a waiting request.
type waiter struct {
	route   string
	since   time.Duration
	decided chan bool // receives the decision once
}

// Limits are the times of a request that may wait at the start of its chain.
type Limits struct {
	Left    time.Duration // until the request times out
	MaxWait time.Duration // 0: the request does not wait
}

// AdmitOrWait decides like Admit. While a price decides, the request may wait for its turn until a limit
// or the end of ctx; decision.StartWait then says for how long. If it is admitted, End must be called.
func (c *Control) AdmitOrWait(ctx context.Context, route *intent.Route, tenant string, deadline time.Duration, limits Limits) (admitted bool, decision Decision) {
	if limits.MaxWait <= 0 {
		return c.Admit(route, tenant, deadline)
	}
	rank := c.priorityAboveLowest(route)
	c.mutex.Lock()
	now := c.now()
	decision = c.decide(now, c.priced(route, rank, tenant, deadline))
	if !decision.Scarce && c.start.core.Waiting() > 0 {
		c.conclude(now, c.start.core.ArriveUnrestricted(now, route.Name))
	}
	if decision.Price == 0 {
		admitted = c.draw(now, route, &decision)
		c.mutex.Unlock()
		return admitted, decision
	}
	id, w := c.enqueue(now, route, &decision, limits)
	decision.OverShare = decision.TenantRatio > 0 && rand.Float64()*(1-decision.Probability) < decision.shareWithout-decision.Probability
	if decision.Bottleneck != "" {
		decision.Occupancy = c.core.Occupancy(decision.Bottleneck)
	}
	c.mutex.Unlock()
	select {
	case admitted = <-w.decided:
		return admitted, decision
	default:
	}
	admitted = c.await(ctx, id, w)
	decision.StartWait = c.now() - w.since
	return admitted, decision
}

// enqueue adds a request to the queue and applies the decisions that follow. mutex must be held.
func (c *Control) enqueue(now time.Duration, route *intent.Route, decision *Decision, limits Limits) (id uint64, w *waiter) {
	s := &c.start
	s.lastID++
	w = &waiter{route: route.Name, since: now, decided: make(chan bool, 1)}
	s.waiters[s.lastID] = w
	c.conclude(now, s.core.Arrive(now, startqueue.Request{
		ID: s.lastID, Route: route.Name, Probability: decision.Probability, Returning: decision.Returning, OverShare: decision.TenantRatio > 0,
		Deadline: now + limits.Left, WaitUntil: now + limits.MaxWait, Draw: rand.Float64(),
	}))
	return s.lastID, w
}

// conclude wakes the requests that were decided and sets the timer for the next decision. mutex must be
// held.
func (c *Control) conclude(now time.Duration, decisions []startqueue.Decision) {
	s := &c.start
	for _, decision := range decisions {
		w := s.waiters[decision.ID]
		delete(s.waiters, decision.ID)
		if decision.Admitted {
			c.core.Begin(now, w.route)
		}
		w.decided <- decision.Admitted
	}
	c.schedule(now)
}

// schedule sets the timer for the next decision. mutex must be held.
func (c *Control) schedule(now time.Duration) {
	s := &c.start
	at, waiting := s.core.NextDecision()
	switch {
	case !waiting && s.timer != nil:
		s.timer.Stop()
	case !waiting:
	case s.timer == nil:
		s.timer = time.AfterFunc(max(at-now, minTimer), c.expire)
	default:
		s.timer.Reset(max(at-now, minTimer))
	}
}

// minTimer is the shortest time between two decisions by the timer, so that a clock that does not
// advance causes no busy loop.
const minTimer = time.Millisecond

// expire refuses waiting requests whose turn cannot come any more.
func (c *Control) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.conclude(now, c.start.core.Expire(now))
}

// await waits for the decision on a waiting request. A request whose context ends leaves the queue and is not
// admitted.
func (c *Control) await(ctx context.Context, id uint64, w *waiter) bool {
	select {
	case admitted := <-w.decided:
		return admitted && !c.ended(ctx, w)
	case <-ctx.Done():
	}
	c.mutex.Lock()
	now := c.now()
	if c.start.core.Remove(now, w.route, id) {
		delete(c.start.waiters, id)
		c.schedule(now)
		c.mutex.Unlock()
		return false
	}
	c.mutex.Unlock()
	return <-w.decided && !c.ended(ctx, w)
}

// ended reports whether the context of a request that has just been admitted has ended, and takes the
// admission back.
func (c *Control) ended(ctx context.Context, w *waiter) bool {
	if ctx.Err() == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.Discard(c.now(), w.route)
	return true
}

// Waiting returns the number of requests that wait at the start of their chains, and how long the oldest
// of them has waited.
func (c *Control) Waiting() (count int, oldest time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for _, w := range c.start.waiters {
		oldest = max(oldest, now-w.since)
	}
	return len(c.start.waiters), oldest
}
