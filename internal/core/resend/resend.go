// Package resend decides whether a request is sent again after a sending that brought no
// answer, and to which targets it may still go. It keeps what the sendings of one request
// came to; it knows no sockets, clocks or budgets. A repeat that costs a part of the
// budgets for repeats is told apart from one that is free, and the caller asks for it.
package resend

import "github.com/landingmast/landingmast/internal/core/outcome"

// Bounds of the sendings of one request. They end a request that meets nothing but full,
// stopping or declining targets before its time is up; no measurement set them.
const (
	maxUnarrived = 8 // sendings that no target saw
	maxFull      = 3 // of them those for which there was no room in time
	maxDeclines  = 12
	// mostEnded is how many targets may end with one request until it is no longer repeated:
	// most of those that were there at an end are harmless, and the first repeat serves them.
	mostEnded = 2
)

// End is what one sending came to.
type End struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Arrived bool // the request reached the target
}

// Request is what the decision depends on besides the sendings before.
type Request struct {
	Replayable  bool // its body can be sent a second time
	Repeatable  bool // it may run more than once
	Repeat      bool // it, or one above it in its chain, is a repeat already
	Trial       bool // targets ended with its content, and only this one is sent now
	MostTargets int  // that it may reach, by its route
	NoHoldBack  bool // the mechanism "hold_back" is switched off
	NoRepeats   bool // the mechanism "repeats" is switched off
}

// Verdict is what becomes of a request after a sending without an answer.
type Verdict int

// The verdicts.
const (
	Stop       Verdict = iota // it is not sent again
	Again                     // it is sent again; no target has seen it
	FromBudget                // it is sent again if the budgets for repeats allow
)

// Tried are the sendings of one request so far.
type Tried struct {
	once      bool            // no target is chosen twice
	excluded  map[string]bool // nodes that are not to be chosen again
	declined  map[string]bool // nodes whose targets said each time that they did not run it
	arrived   int             // targets that it reached
	unarrived int             // sendings that no target saw
	full      int             // of them those for which there was no room in time
	declines  int             // sendings that a target declined
	ended     int             // targets that ended while they ran it
}

// New makes the record of a request that was not sent yet; once has no target chosen twice.
func New(once bool) *Tried { return &Tried{once: once, excluded: map[string]bool{}} }

// Add takes in what the sending to a node came to.
func (t *Tried) Add(node string, end End) {
	if end.Reason.Full() {
		t.full++
	}
	if end.Reason == outcome.ReasonTargetEnded {
		t.ended++
	}
	if !end.Arrived {
		t.unarrived++
		t.excluded[node] = true
		return
	}
	if !t.declined[node] {
		t.arrived++
	}
	if t.once || end.Outcome != outcome.NotRun || !end.Reason.Declined() {
		t.excluded[node] = true
		delete(t.declined, node)
		return
	}
	t.declines++
	if t.declined == nil {
		t.declined = map[string]bool{}
	}
	t.declined[node] = true
}

// MayGoOn reports whether another sending keeps to the bounds.
func (t *Tried) MayGoOn() bool {
	return t.unarrived < maxUnarrived && t.full < maxFull && t.declines < maxDeclines
}

// Excluded are the nodes that are not to be chosen again. The map is the record's own.
func (t *Tried) Excluded() map[string]bool { return t.excluded }

// Ended reports whether a target has ended while it ran the request.
func (t *Tried) Ended() bool { return t.ended > 0 }

// Only are the targets left to a request that may reach no more than most: those that
// declined it and may take it another time. nil: all.
func (t *Tried) Only(most int) map[string]bool {
	if t.arrived < most {
		return nil
	}
	return t.declined
}

// Decide is the verdict after a sending that brought no answer and was added before. One
// that no target saw is free: it cannot have run and adds no work to a target. A request
// that may not run twice is not repeated unless the target said that it did not run it.
func (t *Tried) Decide(last End, r Request) Verdict {
	switch {
	case !r.Replayable, last.Reason == outcome.ReasonEndsTargets:
		return Stop
	case !last.Arrived:
		return Again
	case last.Outcome == outcome.Unknown && !r.Repeatable:
		return Stop
	case last.Reason == outcome.ReasonTargetEnded && t.endsTargets(r):
		return Stop
	case r.Repeat, r.NoRepeats, t.noneLeft(r.MostTargets):
		return Stop
	}
	return FromBudget
}

// endsTargets reports whether the request is taken for the cause of its targets' ends.
func (t *Tried) endsTargets(r Request) bool {
	return !r.NoHoldBack && (r.Trial || t.ended >= mostEnded)
}

// noneLeft reports whether the request has reached all targets that it may reach, and none
// of them may take it another time.
func (t *Tried) noneLeft(most int) bool { return t.arrived >= most && len(t.declined) == 0 }
