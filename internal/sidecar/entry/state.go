package entry

import (
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// observeState records what the target of an attempt states, before its response is passed on. The
// node of the target tells it in the reply; one of an earlier release passes the target's headers on
// without reading them, so that the senders have to keep what they say.
func (r *request) observeState(choice *services.Choice, response *reply.Reply) {
	if !r.options.PolicyOn(settings.TargetState) {
		return
	}
	if response.TargetState != nil {
		choice.ObserveState(r.options.Now(), *response.TargetState, true)
		return
	}
	if response.Outcome != outcome.Answered {
		return
	}
	state, rateValid := r.options.States.Read(choice.Instance, r.service, response.Status, response.Header)
	if !rateValid {
		state.RateLimit = knownRate(choice) // the rate in force stays
	}
	if state.Instance != "" {
		choice.ObserveState(r.options.Now(), state, false)
	}
}

// knownRate returns the rate that the target of an attempt is known to state.
func knownRate(choice *services.Choice) float64 {
	if choice.State == nil {
		return ratelimit.Unlimited
	}
	return choice.State.RateLimit
}
