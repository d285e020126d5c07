package settings

import (
	"slices"
	"strings"
)

// Mechanism names a part of how a node decides that can be switched off.
type Mechanism string

// The mechanisms. docs/design/rounds-of-policy.md has what each is worth.
const (
	// Window bounds the requests of a route in flight where chains start.
	Window Mechanism = "window"
	// Urgency lets requests whose answers are wanted soon go first in a priority.
	Urgency Mechanism = "urgency"
	// Grants leave the budget of repeats to the nodes that make the calls.
	Grants Mechanism = "grants"
	// Ration gives scarce repeats to some chains whole.
	Ration Mechanism = "ration"
	// Declined sends a call again to a target that declined it.
	Declined Mechanism = "declined"
	// Repeats sends requests again whose answer was lost.
	Repeats Mechanism = "repeats"
	// Samples tell how long a class of requests takes at each target.
	Samples Mechanism = "samples"
	// Zones prefer targets of the node's own zone.
	Zones Mechanism = "zones"
	// Losses avoid targets that lose answers or decline requests.
	Losses Mechanism = "losses"
	// Suspicion leaves targets alone beside nodes that give no sign of life.
	Suspicion Mechanism = "suspicion"
	// InTime begins no work at a target that cannot end in its time.
	InTime Mechanism = "in_time"
	// TenantOrder lets requests of tenants of a higher priority go first in a priority.
	TenantOrder Mechanism = "tenant_order"
	// HoldBack keeps requests from targets that have ended several of them.
	HoldBack Mechanism = "hold_back"
)

var mechanisms = []Mechanism{Window, Urgency, Grants, Ration, Declined, Repeats, Samples, Zones, Losses, Suspicion, InTime, TenantOrder, HoldBack}

// On tells whether a mechanism is in use.
func (p Policy) On(m Mechanism) bool { return !slices.Contains(p.Off, m) }

func (p Policy) validate() error {
	for _, one := range p.Off {
		if !slices.Contains(mechanisms, one) {
			names := make([]string, len(mechanisms))
			for i := range mechanisms {
				names[i] = string(mechanisms[i])
			}
			return bad("policy.off", "name some of "+strings.Join(names, ", "), "%q is no mechanism", one)
		}
	}
	return nil
}
