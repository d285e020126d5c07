// Package outcome defines how attempts to send a request end, and why. The string values are
// part of logs, metrics and messages between nodes and must not change. The package also
// classifies the responses of targets and derives the final status of a request and what a
// result implies for the choice of targets. Package retry decides on retries, package retrybudget
// on their budgets. The package keeps no state.
package outcome

import "github.com/landingmast/landingmast/internal/core/slots"

// Outcome is the provable result of an attempt.
type Outcome string

const (
	// Answered means that the target's complete response was received.
	Answered Outcome = "answered"
	// NotRun means that the target did not run the request and will not run it later.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is the cause of an outcome, a fixed string for logs and metrics.
type Reason string

// Reasons in addition to those of package slots, with which a gate refuses a request.
const (
	ReasonNone               Reason = "none"
	ReasonNoConfiguration    Reason = "no_configuration" // no configuration is known
	ReasonNoRoute            Reason = "no_route"
	ReasonNoTarget           Reason = "no_target"
	ReasonWrongService       Reason = "wrong_service"       // the target there belongs to another service
	ReasonNodeRestarted      Reason = "node_restarted"      // the node was restarted since it was addressed
	ReasonUnreachable        Reason = "unreachable"         // connection failed
	ReasonTargetShed         Reason = "target_shed"         // the target declined the request
	ReasonMisdirected        Reason = "misdirected"         // another target has the address
	ReasonEndsTargets        Reason = "ends_targets"        // quarantined: targets terminated while running it
	ReasonSuspectWaits       Reason = "suspect_waits"       // no target could run it in isolation in time
	ReasonLost               Reason = "lost"                // connection closed before the response was complete
	ReasonTargetEnded        Reason = "target_ended"        // the target terminated while running the request
	ReasonInvalidResponse    Reason = "spoiled"             // the response is not a valid one of the target
	ReasonTimeout            Reason = "timeout"             // the request timed out
	ReasonCancelled          Reason = "cancelled"           // the sender closed the request
	ReasonBadMessage         Reason = "bad_message"         // invalid message of the node protocol
	ReasonSilent             Reason = "silent"              // the node does not respond
	ReasonOverload           Reason = "overload"            // refused by admission control at the start of the chain
	ReasonFenced             Reason = "fenced"              // the gate confirmed that it was never sent
	ReasonStopping           Reason = "stopping"            // the node is stopping
	ReasonBodyTooLarge       Reason = "body_too_large"      // exceeds the configured limit
	ReasonHeadTooLarge       Reason = "head_too_large"      // exceeds the configured limit
	ReasonUnknownKey         Reason = "unknown_key"         // API key missing or not assigned to a tenant
	ReasonStaleConfiguration Reason = "stale_configuration" // configuration too old to validate an API key
	ReasonParentGone         Reason = "parent_gone"         // call whose parent request is not running at the target
	ReasonOverQuota          Reason = "over_quota"          // the tenant's quota over all nodes is exhausted
	ReasonRateLimited               = Reason(slots.ReasonRateLimited)
	ReasonWithdrawn                 = Reason(slots.ReasonWithdrawn)
	ReasonNoMemory           Reason = "no_memory"      // the node has no memory for the body
	ReasonNoAllowance        Reason = "no_allowance"   // no keeper of the quota is reachable
	ReasonInternalError      Reason = "internal_error" // the node failed while it handled the request
)
