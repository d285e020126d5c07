// Package wait provides interruptible sleeps and coalescing signals between goroutines. It is
// stateless.
package wait

import (
	"context"
	"time"
)

// Sleep sleeps for the given duration or until ctx is cancelled.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Notify sends a signal without blocking; it has no effect if one is already pending.
func Notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
