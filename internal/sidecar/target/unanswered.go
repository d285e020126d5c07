package target

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
)

const (
	// exitCheckTimeout limits the check whether the target still listens; a closed local port
	// refuses connections immediately.
	exitCheckTimeout = 300 * time.Millisecond
	// maxUnansweredRuns limits the recorded runs; it exceeds the slots of any target.
	maxUnansweredRuns = 1024
)

// UnansweredRun is a run that ended without a response.
type UnansweredRun struct {
	quarantine.Run
	Request   string        // id of the request
	ExpiresAt time.Duration // time of expiry
}

// Unanswered records the runs of one target that ended without a response, until it is known
// whether the target exited. It is safe for concurrent use.
type Unanswered struct {
	mu          sync.Mutex
	runs        []UnansweredRun
	exited      bool
	check       *exitCheck
	suspectSlot chan struct{} // semaphore of suspected requests
}

// suspectSlotTimeout limits the wait for the suspect slot; afterwards another target may take
// the request. It is half of the shortest objective, one second, of retryable routes.
const suspectSlotTimeout = 500 * time.Millisecond

// AcquireSuspectSlot waits until no other suspected request runs at the target, so that a crash can be
// attributed to a single request. It returns false on timeout or cancellation.
func (u *Unanswered) AcquireSuspectSlot(ctx context.Context) bool {
	timer := time.NewTimer(suspectSlotTimeout)
	defer timer.Stop()
	select {
	case u.suspectSlot <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ReleaseSuspectSlot releases the slot taken by AcquireSuspectSlot.
func (u *Unanswered) ReleaseSuspectSlot() { <-u.suspectSlot }

// exitCheck is a check whether the target listens, shared by concurrent callers.
type exitCheck struct {
	done   chan struct{}
	exited bool
}

// Add records a run and discards expired ones.
func (u *Unanswered) Add(now time.Duration, run UnansweredRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	live := u.runs[:0]
	for _, r := range u.runs {
		if r.ExpiresAt > now {
			live = append(live, r)
		}
	}
	if u.runs = live; len(u.runs) < maxUnansweredRuns {
		u.runs = append(u.runs, run)
	}
}

// TakeRuns marks the target as exited and removes and returns the unexpired runs. first is true
// for the first call.
func (u *Unanswered) TakeRuns(now time.Duration) (taken []UnansweredRun, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first, u.exited = !u.exited, true
	for _, r := range u.runs {
		if r.ExpiresAt > now {
			taken = append(taken, r)
		}
	}
	u.runs = nil
	return taken, first
}

// HasRuns reports whether an unexpired run is recorded.
func (u *Unanswered) HasRuns(now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		if r.ExpiresAt > now {
			return true
		}
	}
	return false
}

// TargetExited reports whether the target no longer listens. Concurrent calls share one check.
func (u *Unanswered) TargetExited(listens func(ctx context.Context) error) bool {
	u.mu.Lock()
	if u.exited {
		u.mu.Unlock()
		return true
	}
	check := u.check
	if check != nil {
		u.mu.Unlock()
		<-check.done
		return check.exited
	}
	check = &exitCheck{done: make(chan struct{})}
	u.check = check
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), exitCheckTimeout)
	check.exited = IsConnectionRefused(listens(ctx))
	cancel()
	u.mu.Lock()
	u.check = nil
	u.mu.Unlock()
	close(check.done)
	return check.exited
}

// IsConnectionRefused reports whether err means that the port is closed; a timeout does not count.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
