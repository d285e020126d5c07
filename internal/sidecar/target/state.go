package target

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
)

// ObserveRate applies the rate stated in a response to a request that was sent at sentAt, and
// reports whether the rate in force changes.
func (g *Gate) ObserveRate(sentAt time.Duration, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	first := g.statedAt == 0
	g.statedAt = now
	changed := g.stated.Observe(now, sentAt, rate)
	g.hasStated = g.hasStated || changed
	if changed || first {
		g.apply(now, g.core.SetRateLimit(now, g.stated.Rate()))
	}
	return changed
}

// AdoptRate applies the rate that another node has learned from the target, unless the target has
// responded to this node, and reports whether the rate in force changes.
func (g *Gate) AdoptRate(rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.statedAt != 0 || !g.stated.Observe(now, now, rate) {
		return false
	}
	g.hasStated = true
	g.apply(now, g.core.SetRateLimit(now, rate))
	return true
}

// ObservePace applies how long work takes at the target now, as a factor of package pace.
func (g *Gate) ObservePace(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.ObservePace(g.now(), factor)
}

// SetPaceShare records which part of the time of an admitted request depends on the pace of the target.
func (g *Gate) SetPaceShare(id uint64, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetPaceShare(id, share)
}

// Pace returns the factor in force, or 0 if none is known.
func (g *Gate) Pace() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Pace(g.now())
}

// State returns what the target states, or nil if it has stated nothing. A lifted limit is told, too:
// a response that still states it may be passed on later, and its sender must not take the node for
// one that keeps no limits.
func (g *Gate) State() *outcome.TargetState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := &outcome.TargetState{Instance: g.Instance, RateLimit: g.stated.Rate(), Leaving: g.core.Draining()}
	if !g.hasStated && !state.Stated() {
		return nil
	}
	return state
}

// RateLimit returns the rate that the target states, in requests per second, or
// ratelimit.Unlimited, and the time since its last response; 0 if there was none.
func (g *Gate) RateLimit() (rate float64, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.statedAt == 0 {
		return g.stated.Rate(), 0
	}
	return g.stated.Rate(), g.now() - g.statedAt
}

// NextToken returns the time until a further request may be sent at the rate that the target states.
func (g *Gate) NextToken() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.NextToken(g.now())
}

// MarkLeaving records that an instance states in a response that it leaves, which counts like a
// heartbeat of a draining target. It reports whether this was not known.
func (l *Local) MarkLeaving(instance string) bool {
	l.mu.Lock()
	marked := l.roster.MarkLeaving(instance)
	if marked {
		l.updateGate()
	}
	l.mu.Unlock()
	if marked {
		l.options.OnChange(Change{Source: SourceResponse})
		go func() { _ = l.recordDeparture(instance) }() // nobody waits for it; the recorder keeps trying
	}
	return marked
}
