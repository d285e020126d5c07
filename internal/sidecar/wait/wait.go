// Package wait holds the ways in which the goroutines of a node wait: for a span, for a
// signal, and for a span that differs from node to node. It owns no state.
package wait

import (
	"context"
	"math/rand/v2"
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

// Jittered gives a span that is lengthened at random, up to twice, so that those who were
// told to wait do not come back at one moment; 0 for no span.
func Jittered(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return span + time.Duration(rand.Int64N(int64(span)))
}
