package sidecar

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
)

// Times and bounds of what is kept about runs without an answer.
const (
	// endCheck bounds the question whether the target still listens; a dead port on the
	// own machine answers at once.
	endCheck = 300 * time.Millisecond
	// leftKeep is how long a run counts whose sender went away before the target ended: a
	// request may end its target some time after it began.
	leftKeep = time.Second
	// lostKeep is how long a run counts whose answer was lost at a target that still
	// listened: another instance may already stand there, which its heartbeat tells.
	lostKeep = 3 * time.Second
	// mostEndings bounds the runs that are kept; more than any target has slots for.
	mostEndings = 1024
)

// unansweredRun is a run that has no answer.
type unansweredRun struct {
	heldback.Run
	request string
	till    time.Duration
}

// endings holds the runs of one target that have no answer, until it is known whether the
// target ended with them. It is safe for concurrent use.
type endings struct {
	mutex  sync.Mutex
	runs   []unansweredRun
	ended  bool
	asking *endQuestion
	single chan struct{} // holds one suspect; the others wait
}

// aloneWait bounds the wait of a suspected request for the one before it; then another
// target may take it. Half of the least objective of the users' routes that are repeated.
const aloneWait = 500 * time.Millisecond

// alone has one suspected request at the target at a time: when the target ends it is known
// which one it was, and the others are not lost with it.
func (e *endings) alone(ctx context.Context) bool {
	timer := time.NewTimer(aloneWait)
	defer timer.Stop()
	select {
	case e.single <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (e *endings) notAlone() { <-e.single }

// endQuestion is one question whether the target listens, which all runs that break off at
// the same moment share.
type endQuestion struct {
	done  chan struct{}
	ended bool
}

// add keeps a run.
func (e *endings) add(now time.Duration, run unansweredRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	kept := e.runs[:0]
	for _, one := range e.runs {
		if one.till > now {
			kept = append(kept, one)
		}
	}
	if e.runs = kept; len(e.runs) < mostEndings {
		e.runs = append(e.runs, run)
	}
}

// take gives the runs that count as those of the end, each once; first tells that the end
// was not known.
func (e *endings) take(now time.Duration) (taken []unansweredRun, first bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	first, e.ended = !e.ended, true
	for _, one := range e.runs {
		if one.till > now {
			taken = append(taken, one)
		}
	}
	e.runs = nil
	return taken, first
}

// holdsAny tells whether a run is kept.
func (e *endings) holdsAny(now time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, one := range e.runs {
		if one.till > now {
			return true
		}
	}
	return false
}

// ask finds out whether the target still listens, once for all that ask at the same time.
func (e *endings) ask(listens func(ctx context.Context) error) bool {
	e.mutex.Lock()
	if e.ended {
		e.mutex.Unlock()
		return true
	}
	question := e.asking
	if question != nil {
		e.mutex.Unlock()
		<-question.done
		return question.ended
	}
	question = &endQuestion{done: make(chan struct{})}
	e.asking = question
	e.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), endCheck)
	question.ended = isRefused(listens(ctx))
	cancel()
	e.mutex.Lock()
	e.asking = nil
	e.mutex.Unlock()
	close(question.done)
	return question.ended
}

// isRefused tells a port that nobody listens on from one that is silent.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// lost sorts a run whose connection broke: the target may have ended, or have lost this one
// answer.
func (i *ingress) lost(gate *gate, one *arrival) outcome.Reason {
	now := i.node.now()
	gate.endings.add(now, one.unanswered(now+lostKeep))
	if !gate.endings.ask(gate.links.Listens) {
		return outcome.ReasonLost
	}
	i.targetEnded(gate)
	return outcome.ReasonTargetEnded
}

// senderLeft keeps a run whose sender no longer waits: the target may still be at it.
func (i *ingress) senderLeft(gate *gate, one *arrival) {
	now := i.node.now()
	gate.endings.add(now, one.unanswered(now+leftKeep))
}

// unreachable looks at runs that were kept when nobody listens at the target's address.
func (i *ingress) unreachable(gate *gate, err error) {
	if isRefused(err) && gate.endings.holdsAny(i.node.now()) {
		i.targetEnded(gate)
	}
}

func (one *arrival) unanswered(till time.Duration) unansweredRun {
	return unansweredRun{
		Run:     heldback.Run{Fingerprint: one.Fingerprint(), Alone: one.alone, Route: one.Call.Route},
		request: one.Call.RequestID, till: till,
	}
}

// instanceReplaced looks at runs that were kept when another instance stands at the target's
// address, though the one before has not said that it leaves.
func (i *ingress) instanceReplaced(gate *gate) {
	if gate.endings.holdsAny(i.node.now()) {
		i.targetEnded(gate)
	}
}

// targetEnded notes which requests the target was running when it ended.
func (i *ingress) targetEnded(gate *gate) {
	runs, first := gate.endings.take(i.node.now())
	if len(runs) == 0 {
		return
	}
	event := eventlog.Crash{Instance: gate.instance, Service: gate.service, Requests: len(runs)}
	for _, run := range runs[:min(len(runs), loggedRuns)] {
		event.Running = append(event.Running, eventlog.CrashRun{Request: run.request, Route: run.Route, Digest: run.Fingerprint.Content.String()})
	}
	if first {
		i.node.metrics.Crashes.Inc()
	}
	i.node.events.Add(event, eventlog.State)
	ended := make([]heldback.Run, 0, len(runs))
	for _, run := range runs {
		ended = append(ended, run.Run)
	}
	i.node.heldBack.TargetEnded(gate.instance, gate.service, ended)
}

// loggedRuns bounds the requests that one line names.
const loggedRuns = 100
