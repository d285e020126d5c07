// Package wait holds the ways in which the goroutines of a node wait: for a span, and for a
// signal that may come from several sides. It owns no state.
package wait

import (
	"context"
	"time"
)

// For waits for a span, or until ctx ends.
func For(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Signal leaves a signal where none waits.
func Signal(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
