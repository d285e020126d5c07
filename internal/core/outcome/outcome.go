// Package outcome names how the sending of a request ended and why. The words are part
// of logs, metrics and messages between nodes, and keep their spelling. The package also
// decides what a target's answer is worth, what an end means for the choice of targets, and
// how a request ends that nobody answered. Whether it is sent again is for package resend,
// what it takes of the budgets for repeats for package repeats. It keeps no state.
package outcome

// Outcome is how the sending of a request ended, as far as it can be proved.
type Outcome string

// The outcomes.
const (
	// Answered means that the target gave its whole answer.
	Answered Outcome = "answered"
	// NotRun means that the target did not run the request and never will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a sending ended as it did; a fixed word for logs and metrics.
type Reason string

// The reasons besides those of package slots, which a gate gives for not beginning a run.
const (
	ReasonNone         Reason = "none"
	ReasonNoIntent     Reason = "no_configuration"
	ReasonNoRoute      Reason = "no_route"
	ReasonNoTarget     Reason = "no_target"
	ReasonWrongService Reason = "wrong_service"  // another service's target stands there
	ReasonIncarnation  Reason = "node_restarted" // the node there is another process
	ReasonUnreachable  Reason = "unreachable"    // no connection
	ReasonTargetShed   Reason = "target_shed"    // the target declined
	ReasonMisdirected  Reason = "misdirected"    // another target has the address
	ReasonEndsTargets  Reason = "ends_targets"   // held back: targets ended that ran it
	ReasonSuspectWaits Reason = "suspect_waits"  // no target would take it alone in time
	ReasonLost         Reason = "lost"           // connection broke, answer missing
	ReasonTargetEnded  Reason = "target_ended"   // the target ended while it ran the request
	ReasonSpoiled      Reason = "spoiled"        // bytes that are no answer
	ReasonTimeout      Reason = "timeout"        // time of the request was up
	ReasonCancelled    Reason = "cancelled"      // nobody waits any more
	ReasonBadMessage   Reason = "bad_message"    // node protocol not understood
	ReasonSilent       Reason = "silent"         // the node there gives no sign of life
	ReasonSheds        Reason = "overload"       // refused where the chain starts
	ReasonFenced       Reason = "fenced"         // never sent, on the word of the gate
	ReasonStopping     Reason = "stopping"
	ReasonBodyTooLarge Reason = "body_too_large" // for the operators' limits
	ReasonHeadTooLarge Reason = "head_too_large"
	ReasonUnknownKey   Reason = "unknown_key"         // no tenant holds the key, or none came
	ReasonStale        Reason = "stale_configuration" // not confirmed lately enough to trust a key
	ReasonOrphan       Reason = "parent_gone"         // a call whose request is not at the target
	ReasonQuota        Reason = "over_quota"          // the tenant's limit over all nodes is reached
	ReasonNoAllowance  Reason = "no_allowance"        // nobody could be asked for a part of the limit
)
