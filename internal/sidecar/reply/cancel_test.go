package reply

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// Guards against counting timed out requests as cancelled because the sender's timer fired first.
func TestCancelReasonNearDeadline(t *testing.T) {
	const timeout = time.Second
	for _, tc := range []struct {
		name  string
		close time.Duration // when the sender closes
		want  outcome.Reason
	}{
		{"cancelled early", timeout / 2, outcome.ReasonCancelled},
		{"cancelled before the margin", timeout - 2*deadlineMargin, outcome.ReasonCancelled},
		{"closed just before the deadline", timeout - time.Millisecond, outcome.ReasonTimeout},
		{"not closed", 2 * timeout, outcome.ReasonTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				time.AfterFunc(tc.close, disconnect)
				ctx, cancel := context.WithTimeout(sender, timeout)
				defer cancel()
				<-ctx.Done()
				g.Expect(CancelReason(ctx)).To(Equal(tc.want))
				time.Sleep(2 * timeout)
			})
		})
	}
}
