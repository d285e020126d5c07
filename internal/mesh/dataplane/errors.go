package dataplane

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Causes for which a call is cut short.
const (
	errPreempted    = errors.ConstError("preempted for more important work")
	errReceiverGone = errors.ConstError("receiver went away")
	errDeadline     = errors.ConstError("deadline passed")
	errParentGone   = errors.ConstError("nobody waits for the parent call any more")
)

// reasonOf names the cause for which a context ended.
func reasonOf(ctx context.Context, otherwise outcome.Reason) outcome.Reason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return otherwise
	case errors.Is(cause, errPreempted):
		return outcome.ReasonPreempted
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return outcome.ReasonTimeout
	default:
		return outcome.ReasonCancelled
	}
}

// bounded gives a context that ends with errDeadline after a span.
func bounded(parent context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(parent, span, errDeadline)
}
