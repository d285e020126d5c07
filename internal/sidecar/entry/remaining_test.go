package entry

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

// Guards against sending a request after its client has timed out because the host was suspended:
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
			started, suspended := time.Now(), time.Duration(0)
			now := func() time.Duration { return time.Since(started) + suspended }
			r := &request{options: &Options{Now: now}, timeout: time.Second, started: now(), route: &intent.Route{}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			suspended = tc.suspended
			g.Expect(r.remaining(ctx)).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}
