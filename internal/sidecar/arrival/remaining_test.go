package arrival

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// Guards against sending a request to the target after it timed out because the host was suspended:
// context timers stop during suspension.
func TestRemainingTimeIncludesSuspension(t *testing.T) {
	for _, tc := range []struct {
		name      string
		suspended time.Duration
		want      time.Duration
	}{
		{"not suspended", 0, time.Second},
		{"shorter than the timeout", 400 * time.Millisecond, 600 * time.Millisecond},
		{"longer than the timeout", 5 * time.Second, -4 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			started := time.Now()
			now := func() time.Duration { return time.Since(started) }
			r := &request{Request: quarantine.Request{Call: &wire.SidecarCall{Remaining: time.Second.Microseconds()}}, arrivedAt: now()}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			g.Expect(r.remaining(ctx, now()+tc.suspended)).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}
