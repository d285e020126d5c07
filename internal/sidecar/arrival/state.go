package arrival

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/target"
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

// observeState applies what the target states in the header of a response to a request that was
// sent to it at sentAt. An invalid rate leaves the one in force.
func (i *Ingress) observeState(gate *target.Gate, header http.Header, sentAt time.Duration) {
	state, err := i.options.Headers.TargetState(header)
	if err != nil {
		i.recordState(gate, eventlog.Target{Change: "state invalid", Error: err.Error()})
	} else if gate.ObserveRate(sentAt, state.RateLimit) {
		i.recordRateLimit(gate, state.RateLimit)
	}
	if state.Leaving && gate.ObserveLeaving() {
		i.recordState(gate, eventlog.Target{Change: "leaving"})
	}
}

func (i *Ingress) recordRateLimit(gate *target.Gate, rate float64) {
	if rate == ratelimit.Unlimited {
		i.recordState(gate, eventlog.Target{Change: "limit lifted"})
		return
	}
	i.recordState(gate, eventlog.Target{Change: "limited", RateLimit: rate})
}

func (i *Ingress) recordState(gate *target.Gate, event eventlog.Target) {
	load, _ := gate.Load()
	event.Instance, event.Service, event.Slots = gate.Instance, gate.Service, load.Slots
	i.options.Events.Add(event, eventlog.State)
}
