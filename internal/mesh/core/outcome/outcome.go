// Package outcome defines the outcomes of a call and the reasons for them.
package outcome

// Outcome is the result of a call as far as the reporting hop can prove it.
type Outcome string

const (
	// Answered means that the target sent a complete response with any HTTP status.
	Answered Outcome = "answered"
	// NotRun means that provably no target executed the call.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run: it timed out, its connection was
	// reset after the first byte was written, or its executor is unreachable.
	Unknown Outcome = "unknown"
)

// Reason is the cause of an outcome. Its values appear in headers, decision
// records and metrics.
type Reason string

const (
	ReasonNone              Reason = "none"
	ReasonOverloadCursor    Reason = "overload_cursor"   // rank above the cursor of the target
	ReasonQueueFull         Reason = "queue_full"        // queue full of calls at least as important
	ReasonQueueTimeout      Reason = "queue_timeout"     // longest time in the queue exceeded
	ReasonDeadlineExpired   Reason = "deadline_expired"  // deadline passed before the call was sent to the target
	ReasonDraining          Reason = "draining"          // target is draining
	ReasonNoTarget          Reason = "no_target"         // no eligible target
	ReasonNoClass           Reason = "no_class"          // no request class matches
	ReasonNoKey             Reason = "no_key"            // at-most-once request without an idempotency key
	ReasonNoBundle          Reason = "no_bundle"         // node has not received a bundle
	ReasonUnreachable       Reason = "unreachable"       // connection could not be established
	ReasonReset             Reason = "reset"             // connection broke after the call was sent
	ReasonTimeout           Reason = "timeout"           // deadline passed after the call was sent
	ReasonTargetShed        Reason = "target_shed"       // target declined the call without running it
	ReasonTruncated         Reason = "truncated"         // incomplete response
	ReasonInvalidResponse   Reason = "invalid_response"  // the message is not a response by RFC 9110 and RFC 9112
	ReasonPreempted         Reason = "preempted"         // cancelled in favor of a more important call
	ReasonCancelled         Reason = "cancelled"         // caller disconnected
	ReasonInProgress        Reason = "in_progress"       // a call with the same key is running
	ReasonExecutorLost      Reason = "executor_lost"     // executor of the key cannot provide its response
	ReasonNoQuorum          Reason = "no_quorum"         // no majority of the voters could be reached
	ReasonClaimsFull        Reason = "claims_full"       // key limit of a voter or executor reached
	ReasonTooDeep           Reason = "too_deep"          // depth limit of the bundle exceeded
	ReasonStoredResponse    Reason = "kept_answer"       // stored response of an earlier call with the same key
	ReasonGranted           Reason = "granted"           // claim on the key granted
	ReasonClaimedElsewhere  Reason = "claimed_elsewhere" // key claimed by another node
	ReasonResponseNotStored Reason = "answer_not_kept"   // executed, but the response was too large to store
	ReasonUnknownService    Reason = "unknown_service"   // service not in the bundle
	ReasonVersionMismatch   Reason = "version_mismatch"  // unsupported protocol version
)

// IsOverload reports whether the call was refused because of overload, which other
// targets of the service are likely to share.
func (r Reason) IsOverload() bool {
	switch r {
	case ReasonOverloadCursor, ReasonQueueFull, ReasonQueueTimeout, ReasonPreempted:
		return true
	}
	return false
}

// IsTargetFault reports whether the reason counts as a failure of the target, as
// opposed to a deliberate refusal or an action of the caller.
func (r Reason) IsTargetFault() bool {
	switch r {
	case ReasonUnreachable, ReasonReset, ReasonTimeout, ReasonTruncated, ReasonInvalidResponse, ReasonVersionMismatch:
		return true
	}
	return false
}

// IsTargetSpecific reports whether the call may succeed at another target.
func (r Reason) IsTargetSpecific() bool {
	switch r {
	case ReasonUnreachable, ReasonReset, ReasonTruncated, ReasonInvalidResponse, ReasonDraining, ReasonTargetShed, ReasonNoBundle:
		return true
	}
	return false
}
