package dataplane

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Cancellation causes of call contexts.
const (
	errPreempted        = errors.ConstError("preempted by a call of higher importance")
	errClientGone       = errors.ConstError("client closed the connection")
	errDeadlineExceeded = errors.ConstError("call deadline exceeded")
	errParentCancelled  = errors.ConstError("parent call was cancelled")
)

// cancelReason maps the cancellation cause of ctx to a reason; it returns fallback if ctx is
// not done.
func cancelReason(ctx context.Context, fallback outcome.Reason) outcome.Reason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return fallback
	case errors.Is(cause, errPreempted):
		return outcome.ReasonPreempted
	case errors.Is(cause, errDeadlineExceeded), errors.Is(cause, context.DeadlineExceeded):
		return outcome.ReasonTimeout
	default:
		return outcome.ReasonCancelled
	}
}

// withTimeout returns a context that is cancelled with errDeadlineExceeded after timeout.
func withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(parent, timeout, errDeadlineExceeded)
}
