package slots

import (
	"cmp"
	"slices"
	"time"
)

// scarcity is whether a target is asked for more than it provides. Its queue is then ordered by need:
// within a priority, in the order of arrival plus the delay that a request's need stands for. The gate
// decides this for its whole queue, since senders notice a shortage at different times. The delay bounds
// how long a request can be overtaken: senders also differ in what they know of the needs, and with a
// strict order by need requests of one route overtook others until those had no time left.
type scarcity struct {
	active  bool
	seenAt  time.Duration // when the offered load was last scarceLoad
	needsAt time.Duration // when a request whose need is known arrived last
	needs   bool          // whether one has
}

const (
	// scarceLoad is the offered load from which on a target is scarce: the setpoint of core/pricing.
	scarceLoad = 0.95
	// scarceHold is how long a target stays scarce after that, so that its queue is not sorted anew at
	// each request around the bound. It orders by need no longer than that after the last request whose
	// need was known: with none known, the order by timeout says more.
	scarceHold = 2 * time.Second
)

// updateScarcity records the arrival of a request and sorts the queue anew if its order changes. A
// target stays scarce while its queue is not empty: a backlog outlasts the burst that caused it.
func (g *Gate) updateScarcity(now time.Duration, arriving Request) {
	s := &g.scarcity
	if arriving.NeedKnown {
		s.needs, s.needsAt = true, now
	}
	if g.arrivalLoad(now) >= scarceLoad || s.active && len(g.queue) > 0 {
		s.seenAt = now
	} else if !s.active {
		return
	}
	active := now-s.seenAt < scarceHold && s.needs && now-s.needsAt < scarceHold
	if active == s.active {
		return
	}
	s.active = active
	slices.SortStableFunc(g.queue, g.compare)
}

// arrivalLoad returns the load by arriving requests alone, without the one that arrives now: at a target
// that takes a few requests a second, each would look like a shortage.
func (g *Gate) arrivalLoad(now time.Duration) float64 {
	decay := g.offered.decay(now)
	load := g.offered.slotTime * decay / float64(offeredWindow) / float64(g.slots)
	if g.rate != nil {
		load = max(load, g.offered.requests*decay/offeredWindow.Seconds()/g.rate.Rate())
	}
	return load
}

// compare orders the queue: negative if a is served before b.
func (g *Gate) compare(a, b queuedRequest) int {
	if !g.scarcity.active {
		return cmp.Compare(a.request.Importance, b.request.Importance)
	}
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrived+a.request.NeedDelay, b.arrived+b.request.NeedDelay))
}
