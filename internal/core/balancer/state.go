package balancer

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
)

// knownState is what the sender knows of the state of an instance. It outlives the instance's entry in
// the membership, which comes and goes with the node next to it.
type knownState struct {
	stated  ratelimit.Stated
	leaving bool
	// share bounds what the sender sends if the node of the target does not keep the stated rate;
	// nil: it does, or none is stated.
	share         *ratelimit.Bucket
	rank, senders int // for which share was made
}

// maxStates limits the instances whose state is remembered.
const maxStates = 1024

// ObserveState records what an instance states in a response to a request that was sent at sentAt.
// gated means that the node of the target keeps the stated rate.
func (b *Balancer) ObserveState(now, sentAt time.Duration, state outcome.TargetState, gated bool) {
	known := b.states[state.Instance]
	if known == nil {
		if !state.Stated() {
			return
		}
		known = &knownState{stated: ratelimit.NewStated()}
		b.forgetStates()
		b.states[state.Instance] = known
		for _, endpoint := range b.order {
			if endpoint.Instance == state.Instance {
				endpoint.state = known
			}
		}
	}
	known.leaving = known.leaving || state.Leaving
	changed := known.stated.Observe(now, sentAt, state.RateLimit)
	b.updateShare(now, state.Instance, known, gated, changed)
}

// updateShare sets the sender's share of a stated rate.
func (b *Balancer) updateShare(now time.Duration, instance string, known *knownState, gated, changed bool) {
	rate := known.stated.Rate()
	if gated || rate == ratelimit.Unlimited {
		known.share = nil
		return
	}
	rank, senders := 0, 1
	if b.config.Rank != nil {
		rank, senders = b.config.Rank(instance)
	}
	if known.share != nil && !changed && known.rank == rank && known.senders == senders {
		return
	}
	known.rank, known.senders = rank, senders
	known.share = ratelimit.NewShare(now, rate, rank, senders)
}

// forgetStates makes room for the state of another instance.
func (b *Balancer) forgetStates() {
	if len(b.states) < maxStates {
		return
	}
	present := map[string]bool{}
	for _, endpoint := range b.order {
		present[endpoint.Instance] = true
	}
	for instance := range b.states {
		if !present[instance] {
			delete(b.states, instance)
		}
	}
}

// State returns what the sender knows that an instance states, or nil.
func (b *Balancer) State(instance string) *outcome.TargetState {
	known := b.states[instance]
	if known == nil {
		return nil
	}
	return &outcome.TargetState{Instance: instance, RateLimit: known.stated.Rate(), Leaving: known.leaving}
}

// leaving reports whether the instance states that it accepts no new requests.
func (b *Balancer) leaving(e *Endpoint) bool {
	return e.state != nil && e.state.leaving
}

// overShare reports whether the sender has used its share of the rate that the instance states.
func (b *Balancer) overShare(now time.Duration, e *Endpoint) bool {
	return e.state != nil && e.state.share != nil && !e.state.share.Ready(now)
}

// takeShare counts a request against the sender's share.
func (b *Balancer) takeShare(now time.Duration, e *Endpoint) {
	if e.state != nil && e.state.share != nil {
		e.state.share.Take(now)
	}
}

// OverShare reports whether a target is left out only because the sender has used its share.
func (b *Balancer) OverShare(now time.Duration) bool {
	for _, endpoint := range b.order {
		if !b.leaving(endpoint) && b.overShare(now, endpoint) {
			return true
		}
	}
	return false
}
