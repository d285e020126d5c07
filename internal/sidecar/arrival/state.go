package arrival

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	"github.com/landingmast/landingmast/internal/wire"
)

// Values of the sender label of metrics.Metrics.TargetRequests.
const (
	senderLocal  = "local"
	senderRemote = "remote"
)

func (i *Ingress) senderLabel(call *wire.SidecarCall) string {
	if call.From == i.options.Node {
		return senderLocal
	}
	return senderRemote
}

// Sources of a target's state in log lines.
const (
	sourceResponse = "response" // the target's own
	sourceSender   = "sender"   // another node that knows the target longer
)

// observeState applies what the target states in a response to a request that was sent at sentAt. It
// runs before the response is passed on, so that the gate knows at least what any sender knows.
func (i *Ingress) observeState(gate *target.Gate, answer *targetlink.Response, sentAt time.Duration) {
	if factor, valid := i.options.States.Pace(answer.Status, answer.Header); valid {
		gate.ObservePace(factor)
	}
	state, rateValid := i.options.States.Read(gate.Instance, gate.Service, answer.Status, answer.Header)
	if rateValid && gate.ObserveRate(sentAt, state.RateLimit) {
		i.recordRateLimit(gate, sourceResponse)
	}
	if state.Leaving && i.options.Target.MarkLeaving(gate.Instance) {
		i.recordState(gate, eventlog.Target{Change: "leaving", Source: sourceResponse})
	}
}

// runPace returns the pace of the target while a request ran, given those known when it was sent and
// when its response arrived; 0 means unknown.
func runPace(begin, end float64) float64 {
	switch {
	case end <= 0:
		return begin
	case begin <= 0:
		return end
	}
	return pace.During(begin, end)
}

// adoptState applies what a sender knows of the target, which a node that was restarted does not.
func (i *Ingress) adoptState(gate *target.Gate, known *outcome.TargetState) {
	if known != nil && i.options.States.Enabled() && known.Instance == gate.Instance && gate.AdoptRate(known.RateLimit) {
		i.recordRateLimit(gate, sourceSender)
	}
}

// attachState adds to a response what its sender has to know of the target's state.
func (i *Ingress) attachState(gate *target.Gate, response *reply.Reply) {
	if !i.options.States.Enabled() {
		return
	}
	response.TargetState = gate.State()
	if response.Reason.RateLimited() {
		response.RetryAfter = gate.NextToken()
	}
}

func (i *Ingress) recordRateLimit(gate *target.Gate, source string) {
	rate, _ := gate.RateLimit()
	if rate == ratelimit.Unlimited {
		i.recordState(gate, eventlog.Target{Change: "limit lifted", Source: source})
		return
	}
	i.recordState(gate, eventlog.Target{Change: "limited", RateLimit: rate, Source: source})
}

func (i *Ingress) recordState(gate *target.Gate, event eventlog.Target) {
	load, _ := gate.Load()
	event.Instance, event.Service, event.Slots = gate.Instance, gate.Service, load.Slots
	i.options.Events.Add(event, eventlog.State)
}
