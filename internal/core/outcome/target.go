package outcome

import "github.com/landingmast/landingmast/internal/core/slots"

// ResponseLost reports whether the target accepted the request but its response was lost or invalid,
// which raises the target's cost in load balancing. Timeouts do not count, because all targets
// cause them during an overload (docs/incidents/inc-d364.md).
func ResponseLost(o Outcome, r Reason) bool {
	switch r {
	case ReasonLost, ReasonTargetEnded, ReasonInvalidResponse:
		return o == Unknown
	}
	return false
}

// Declined reports whether the target declined the request although its gate had a free slot.
// The gate's load report does not show such declines.
func (r Reason) Declined() bool { return r == ReasonTargetShed }

// NodeUnreachable reports whether the target's node does not respond. The target is avoided until it
// does.
func (r Reason) NodeUnreachable() bool { return r == ReasonUnreachable || r == ReasonSilent }

// TargetUnavailable reports whether the target or its node accepts no more requests, or another target
// has taken its place.
func (r Reason) TargetUnavailable() bool {
	switch r {
	case Reason(slots.ReasonDraining), ReasonNoTarget, ReasonWrongService, ReasonStopping, ReasonNodeRestarted, ReasonMisdirected:
		return true
	}
	return false
}

// NoCapacity reports whether the gate had no capacity in time.
func (r Reason) NoCapacity() bool {
	switch r {
	case ReasonSuspectWaits, Reason(slots.ReasonTooLong), Reason(slots.ReasonFull), Reason(slots.ReasonExpired), ReasonRateLimited, ReasonNoMemory:
		return true
	}
	return false
}

// RateLimited reports whether the target takes no more requests at the rate that it states.
func (r Reason) RateLimited() bool { return r == ReasonRateLimited }
