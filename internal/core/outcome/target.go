package outcome

import "github.com/landingmast/landingmast/internal/core/slots"

// The functions of this file decide what the end of a sending means for the choice of
// targets from then on.

// Wasted reports that the target took the request and its answer was lost or spoiled: the
// target costs its senders more than its speed says. Requests that ran out of time do not
// count: in a shortage they do so everywhere (tried and given up,
// docs/incidents/inc-d364.md).
func Wasted(o Outcome, r Reason) bool {
	switch r {
	case ReasonLost, ReasonTargetEnded, ReasonSpoiled:
		return o == Unknown
	}
	return false
}

// Declined reports that the target did not run the request though the gate beside it had a slot
// for it: the gate takes it for free, and only those whose requests it declines know better.
func (r Reason) Declined() bool { return r == ReasonTargetShed }

// Silent reports that the node beside the target gives no sign of life: the target is left
// alone until it does.
func (r Reason) Silent() bool { return r == ReasonUnreachable || r == ReasonSilent }

// TakesNoWork reports that the target, or the node beside it, said that it takes no more
// requests, or that another one stands there.
func (r Reason) TakesNoWork() bool {
	switch r {
	case Reason(slots.ReasonDraining), ReasonNoTarget, ReasonWrongService, ReasonStopping, ReasonIncarnation, ReasonMisdirected:
		return true
	}
	return false
}

// Full reports that the gate beside the target had no room in time.
func (r Reason) Full() bool {
	switch r {
	case ReasonSuspectWaits, Reason(slots.ReasonTooLong), Reason(slots.ReasonFull), Reason(slots.ReasonExpired):
		return true
	}
	return false
}
