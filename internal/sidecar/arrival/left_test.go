package arrival

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// What is left of a request's time at the gate counts suspensions of the machine; the timer of
// its context stands still meanwhile.
func TestTimeThatIsLeftCountsSuspensions(t *testing.T) {
	for _, tc := range []struct {
		name  string
		slept time.Duration
		want  time.Duration
	}{
		{"never suspended", 0, time.Second},
		{"for a part of its time", 400 * time.Millisecond, 600 * time.Millisecond},
		{"for longer", 5 * time.Second, -4 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			started := time.Now()
			now := func() time.Duration { return time.Since(started) }
			r := &request{Request: heldback.Request{Call: &wire.SidecarCall{Remaining: time.Second.Microseconds()}}, at: now()}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			g.Expect(r.left(ctx, now()+tc.slept)).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}
