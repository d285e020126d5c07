package outcome

import "github.com/landingmast/landingmast/internal/core/slots"

// Wasted reports whether the target accepted the request but its response was lost or invalid,
// which raises the target's cost in load balancing. Timeouts do not count, because all targets
// cause them during an overload (docs/incidents/inc-d364.md).
func Wasted(o Outcome, r Reason) bool {
	switch r {
	case ReasonLost, ReasonTargetEnded, ReasonSpoiled:
		return o == Unknown
	}
	return false
}

// Declined reports whether the target declined the request although its gate had a free slot.
// The gate's load report does not show such declines.
func (r Reason) Declined() bool { return r == ReasonTargetShed }

// Silent reports whether the target's node does not respond. The target is avoided until it
// does.
func (r Reason) Silent() bool { return r == ReasonUnreachable || r == ReasonSilent }

// TakesNoWork reports whether the target or its node accepts no more requests, or another target
// has taken its place.
func (r Reason) TakesNoWork() bool {
	switch r {
	case Reason(slots.ReasonDraining), ReasonNoTarget, ReasonWrongService, ReasonStopping, ReasonIncarnation, ReasonMisdirected:
		return true
	}
	return false
}

// Full reports whether the gate had no capacity in time.
func (r Reason) Full() bool {
	switch r {
	case ReasonSuspectWaits, Reason(slots.ReasonTooLong), Reason(slots.ReasonFull), Reason(slots.ReasonExpired):
		return true
	}
	return false
}
