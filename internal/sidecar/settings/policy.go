package settings

import (
	"slices"
	"strings"
)

// Mechanism names a traffic-management feature that can be disabled by configuration.
type Mechanism string

// Mechanisms accepted in policy.off.
const (
	// Window limits a route's concurrent requests at the entry of call chains.
	Window Mechanism = "window"
	// Prices admits requests by the congestion prices of the services that they need.
	Prices Mechanism = "prices"
	// TenantShares refuses tenants above their fair share of a scarce service first.
	TenantShares Mechanism = "tenant_shares"
	// Urgency orders requests of equal priority by their latency objective.
	Urgency Mechanism = "urgency"
	// Grants delegate retry budget to the nodes that make downstream calls.
	Grants Mechanism = "grants"
	// Ration concentrates a scarce retry budget on a subset of call chains.
	Ration Mechanism = "ration"
	// Declined resends a call to a target that previously rejected it.
	Declined Mechanism = "declined"
	// Repeats retries requests whose response was lost.
	Repeats Mechanism = "repeats"
	// Samples tracks per-target latency by request class.
	Samples Mechanism = "samples"
	// Zones prefers targets in the node's own zone.
	Zones Mechanism = "zones"
	// Losses avoids targets that lose responses or reject requests.
	Losses Mechanism = "losses"
	// Suspicion avoids targets whose nodes are unresponsive.
	Suspicion Mechanism = "suspicion"
	// InTime rejects requests at the target that cannot finish before their deadline.
	InTime Mechanism = "in_time"
	// TenantOrder orders requests of equal priority by tenant priority.
	TenantOrder Mechanism = "tenant_order"
	// HoldBack blocks requests that have repeatedly crashed targets.
	HoldBack Mechanism = "hold_back"
	// TargetState follows what targets state in their responses: a rate limit, or that they leave.
	TargetState Mechanism = "target_state"
	// Pipelining handles requests that clients send before an earlier one is answered.
	Pipelining Mechanism = "pipelining"
	// Pace places requests by how long work takes at each target now, as the targets state it.
	Pace Mechanism = "pace"
	// StartQueue lets requests wait at the start of their chains while a price decides.
	StartQueue Mechanism = "start_queue"
	// ReturnSlots assigns the times at which requests refused by price may return.
	ReturnSlots Mechanism = "return_slots"
)

var mechanisms = []Mechanism{Window, Prices, TenantShares, Urgency, Grants, Ration, Declined, Repeats, Samples, Zones, Losses, Suspicion, InTime, TenantOrder, HoldBack, TargetState, Pipelining, Pace, StartQueue, ReturnSlots}

// Enabled reports whether m is enabled.
func (p Policy) Enabled(m Mechanism) bool { return !slices.Contains(p.Off, m) }

func (p Policy) validate() error {
	for _, m := range p.Off {
		if !slices.Contains(mechanisms, m) {
			names := make([]string, len(mechanisms))
			for i := range mechanisms {
				names[i] = string(mechanisms[i])
			}
			return invalidSetting("policy.off", "use any of "+strings.Join(names, ", "), "unknown mechanism %q", m)
		}
	}
	return nil
}
