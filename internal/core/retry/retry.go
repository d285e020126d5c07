// Package retry decides whether a request is retried after a failed attempt, and which targets
// may be used. It tracks the attempts of one request and uses no sockets, clock or budgets. It
// distinguishes transparent retries, which need no budget because no target saw the request,
// from retries that the caller must charge to the retry budgets.
package retry

import "github.com/landingmast/landingmast/internal/core/outcome"

// Limits on the attempts of one request. They end a request that finds only busy, stopping or
// declining targets before its timeout.
const (
	maxUnreached  = 8  // attempts that reached no target
	maxNoCapacity = 3  // attempts that found no capacity in time
	maxDeclines   = 12 // attempts declined by a target
	// maxTargetCrashes is the number of target crashes after which a request is no longer
	// retried. Most requests in flight at a crash did not cause it, so the first one is retried.
	maxTargetCrashes = 2
)

// Result is the result of one attempt.
type Result struct {
	Outcome       outcome.Outcome
	Reason        outcome.Reason
	ReachedTarget bool // the request reached the target
}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	Replayable   bool // the body can be sent again
	Idempotent   bool // the request may run more than once
	IsRetry      bool // the request, or one upstream in its chain, is already a retry
	Trial        bool // sent in isolation because targets crashed while running this content
	MaxTargets   int  // maximum number of targets that may receive it
	NoQuarantine bool // mechanism "hold_back" is disabled
	NoRetries    bool // mechanism "repeats" is disabled
}

// Decision is what to do after a failed attempt.
type Decision int

const (
	GiveUp           Decision = iota // do not retry
	RetryTransparent                 // retry without budget; no target saw the request
	RetryFromBudget                  // retry if the retry budgets allow it
)

// Attempts records the attempts of one request.
type Attempts struct {
	noReuse        bool            // use each target at most once
	excluded       map[string]bool // nodes that must not be picked again
	declined       map[string]bool // nodes whose targets declined each attempt
	reachedTargets int             // targets that received the request
	unreached      int             // attempts that reached no target
	noCapacity     int             // attempts that found no capacity in time
	declines       int             // attempts declined by a target
	targetCrashes  int             // targets that crashed while running the request
}

// New returns the record of a request without attempts. With noReuse no target is used twice.
func New(noReuse bool) *Attempts { return &Attempts{noReuse: noReuse, excluded: map[string]bool{}} }

// Add records an attempt at a node.
func (a *Attempts) Add(node string, end Result) {
	if end.Reason.NoCapacity() {
		a.noCapacity++
	}
	if end.Reason == outcome.ReasonTargetEnded {
		a.targetCrashes++
	}
	if !end.ReachedTarget {
		a.unreached++
		a.excluded[node] = true
		return
	}
	if !a.declined[node] {
		a.reachedTargets++
	}
	if a.noReuse || end.Outcome != outcome.NotRun || !end.Reason.Declined() {
		a.excluded[node] = true
		delete(a.declined, node)
		return
	}
	a.declines++
	if a.declined == nil {
		a.declined = map[string]bool{}
	}
	a.declined[node] = true
}

// CanContinue reports whether the limits permit another attempt.
func (a *Attempts) CanContinue() bool {
	return a.unreached < maxUnreached && a.noCapacity < maxNoCapacity && a.declines < maxDeclines
}

// Excluded returns the nodes that must not be picked again. The map must not be modified.
func (a *Attempts) Excluded() map[string]bool { return a.excluded }

// TargetCrashed reports whether a target crashed while running the request.
func (a *Attempts) TargetCrashed() bool { return a.targetCrashes > 0 }

// AllowedTargets returns the nodes that may be picked once the request has reached maxTargets targets:
// those that declined it. nil means any.
func (a *Attempts) AllowedTargets(maxTargets int) map[string]bool {
	if a.reachedTargets < maxTargets {
		return nil
	}
	return a.declined
}

// Decide returns the decision after a failed attempt that was recorded with Add. An attempt that
// reached no target is retried without budget: the request did not run and added no load. A
// request that may not run twice is retried only if the target reported that it did not run it.
func (a *Attempts) Decide(last Result, r Request) Decision {
	switch {
	case !r.Replayable, last.Reason == outcome.ReasonEndsTargets, last.Reason == outcome.ReasonWithdrawn:
		return GiveUp
	case !last.ReachedTarget:
		return RetryTransparent
	case last.Outcome == outcome.Unknown && !r.Idempotent:
		return GiveUp
	case last.Reason == outcome.ReasonTargetEnded && a.isCrashSuspect(r):
		return GiveUp
	case r.IsRetry, r.NoRetries, a.targetsExhausted(r.MaxTargets):
		return GiveUp
	}
	return RetryFromBudget
}

// isCrashSuspect reports whether the request is suspected of crashing its targets.
func (a *Attempts) isCrashSuspect(r Request) bool {
	return !r.NoQuarantine && (r.Trial || a.targetCrashes >= maxTargetCrashes)
}

// targetsExhausted reports whether the request reached its maximum number of targets and none
// of them declined it.
func (a *Attempts) targetsExhausted(maxTargets int) bool {
	return a.reachedTargets >= maxTargets && len(a.declined) == 0
}
