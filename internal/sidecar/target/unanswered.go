package target

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
)

// Times and bounds of what is kept about runs without an answer.
const (
	// endCheck bounds the question whether the target still listens; a dead port on the
	// own machine answers at once.
	endCheck = 300 * time.Millisecond
	// mostEndings bounds the runs that are kept; more than any target has slots for.
	mostEndings = 1024
)

// UnansweredRun is a run that has no answer. It counts until a time.
type UnansweredRun struct {
	heldback.Run
	Request string // its id
	Until   time.Duration
}

// Unanswered holds the runs of one target that have no answer, until it is known whether the
// target ended with them. It is safe for concurrent use.
type Unanswered struct {
	mutex  sync.Mutex
	runs   []UnansweredRun
	ended  bool
	asking *endQuestion
	single chan struct{} // holds one suspect; the others wait
}

// aloneWait bounds the wait of a suspected request for the one before it; then another
// target may take it. It is half of the shortest objective, one second, of the repeatable
// routes that it was chosen for.
const aloneWait = 500 * time.Millisecond

// AcquireSingle waits until no other suspected request is at the target: when the target ends it
// is known which one it was, and the others are not lost with it. It reports false when another
// one stays too long.
func (e *Unanswered) AcquireSingle(ctx context.Context) bool {
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

// ReleaseSingle lets the next suspected request in.
func (e *Unanswered) ReleaseSingle() { <-e.single }

// endQuestion is one question whether the target listens, which all runs that break off at
// the same moment share.
type endQuestion struct {
	done  chan struct{}
	ended bool
}

// Add keeps a run that has no answer.
func (e *Unanswered) Add(now time.Duration, run UnansweredRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	kept := e.runs[:0]
	for _, one := range e.runs {
		if one.Until > now {
			kept = append(kept, one)
		}
	}
	if e.runs = kept; len(e.runs) < mostEndings {
		e.runs = append(e.runs, run)
	}
}

// Take returns the runs that count as those of the end, each once; first: the end was not known
// yet.
func (e *Unanswered) Take(now time.Duration) (taken []UnansweredRun, first bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	first, e.ended = !e.ended, true
	for _, one := range e.runs {
		if one.Until > now {
			taken = append(taken, one)
		}
	}
	e.runs = nil
	return taken, first
}

// HoldsAny reports whether a run is kept.
func (e *Unanswered) HoldsAny(now time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, one := range e.runs {
		if one.Until > now {
			return true
		}
	}
	return false
}

// Ended reports whether the target no longer listens. All that ask at the same time share one
// question.
func (e *Unanswered) Ended(listens func(ctx context.Context) error) bool {
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
	question.ended = IsRefused(listens(ctx))
	cancel()
	e.mutex.Lock()
	e.asking = nil
	e.mutex.Unlock()
	close(question.done)
	return question.ended
}

// IsRefused reports whether nobody listens at a port; a silent one is not refused.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
