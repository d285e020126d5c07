package reply

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// Sender and gate count the same time, and the sender's close may come first: of 80
// runs at a slow target that took all of their time, the gate took 60 for clients
// that went away. Found by incident inc-d364.
func TestCloseAtTheEndOfTheTimeIsNoGivingUp(t *testing.T) {
	const whole = time.Second
	for _, tc := range []struct {
		name  string
		close time.Duration // when the sender closes
		want  outcome.Reason
	}{
		{"gives up early", whole / 2, outcome.ReasonCancelled},
		{"gives up shortly before", whole - 2*closeMargin, outcome.ReasonCancelled},
		{"closes as its time is up", whole - time.Millisecond, outcome.ReasonTimeout},
		{"stays", 2 * whole, outcome.ReasonTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender, gone := context.WithCancel(context.Background())
				defer gone()
				time.AfterFunc(tc.close, gone)
				ctx, cancel := context.WithTimeout(sender, whole)
				defer cancel()
				<-ctx.Done()
				g.Expect(CancelReason(ctx)).To(Equal(tc.want))
				time.Sleep(2 * whole)
			})
		})
	}
}
