// Package outcome names the three answers that a call can end with and the
// reasons that go with them.
package outcome

// Outcome is how a call ended, as far as the hop that tells it can prove.
type Outcome string

// The three outcomes.
const (
	// Answered means that the target gave a whole answer, of any HTTP status.
	Answered Outcome = "answered"
	// NotRun means that the call was provably not handed over to any target.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run: a time-out, a reset after the
	// first byte was written, or an executor that cannot be reached.
	Unknown Outcome = "unknown"
)

// Reason says why; it is a fixed word, used in headers, records and counters.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = "none"
	ReasonOverloadCursor  Reason = "overload_cursor"   // rank above what the target admits
	ReasonQueueFull       Reason = "queue_full"        // queue full of work at least as important
	ReasonQueueTimeout    Reason = "queue_timeout"     // waited as long as the queue allows
	ReasonExpired         Reason = "deadline_expired"  // deadline passed before hand-over
	ReasonDraining        Reason = "draining"          // target is leaving
	ReasonNoTarget        Reason = "no_target"         // no target may be tried
	ReasonNoClass         Reason = "no_class"          // no class matches the request
	ReasonNoKey           Reason = "no_key"            // at-most-once class without a key
	ReasonNoBundle        Reason = "no_bundle"         // node has no bundle yet
	ReasonUnreachable     Reason = "unreachable"       // connection could not be made
	ReasonReset           Reason = "reset"             // connection broke after hand-over
	ReasonTimeout         Reason = "timeout"           // deadline passed after hand-over
	ReasonTargetShed      Reason = "target_shed"       // target declared that it had not started
	ReasonTruncated       Reason = "truncated"         // answer broke off
	ReasonPreempted       Reason = "preempted"         // cancelled to make room for more important work
	ReasonCancelled       Reason = "cancelled"         // caller went away
	ReasonInProgress      Reason = "in_progress"       // same key is running now
	ReasonExecutorLost    Reason = "executor_lost"     // key belongs to an executor that cannot tell its answer
	ReasonNoQuorum        Reason = "no_quorum"         // voters could not be reached
	ReasonClaimsFull      Reason = "claims_full"       // voter or executor holds as many keys as it may
	ReasonTooDeep         Reason = "too_deep"          // chain deeper than the bundle allows
	ReasonKept            Reason = "kept_answer"       // answer of an earlier run of the same key
	ReasonGranted         Reason = "granted"           // right to run the key
	ReasonElsewhere       Reason = "claimed_elsewhere" // another node has the right to run the key
	ReasonAnswerNotKept   Reason = "answer_not_kept"   // ran, but its answer was too large to keep
	ReasonUnknownService  Reason = "unknown_service"   // no such service in the bundle
	ReasonVersionMismatch Reason = "version_mismatch"  // protocol version not spoken here
)

// IsOverload tells the refusals that every target of a service would repeat.
func (r Reason) IsOverload() bool {
	switch r {
	case ReasonOverloadCursor, ReasonQueueFull, ReasonQueueTimeout, ReasonPreempted:
		return true
	}
	return false
}

// IsTargetFault tells the reasons that speak against a target from those that
// are its choice or the caller's.
func (r Reason) IsTargetFault() bool {
	switch r {
	case ReasonUnreachable, ReasonReset, ReasonTimeout, ReasonTruncated, ReasonVersionMismatch:
		return true
	}
	return false
}

// IsOfOneTarget tells the failures that another target may not have.
func (r Reason) IsOfOneTarget() bool {
	switch r {
	case ReasonUnreachable, ReasonReset, ReasonTruncated, ReasonDraining, ReasonTargetShed, ReasonNoBundle:
		return true
	}
	return false
}
