package retryafter

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// Covers a sender without a timeout, whose refusal once ended in a broken connection.
func TestRetryAfterByReason(t *testing.T) {
	const attemptTimeout = 1200 * time.Millisecond
	for _, tc := range []struct {
		name              string
		span              Range
		shortest, longest time.Duration
	}{
		{"node not ready", NotReady(), 500 * time.Millisecond, 500 * time.Millisecond},
		{"shed", Shed(attemptTimeout), attemptTimeout / 6, attemptTimeout / 3},
		{"shed, no timeout", Shed(0), 0, 0},
		{"shed by price, short objective", ShedByPrice(5*time.Second, 1500*time.Millisecond), 375 * time.Millisecond, 750 * time.Millisecond},
		{"shed by price, long objective", ShedByPrice(attemptTimeout, 5*time.Second), attemptTimeout / 6, attemptTimeout / 3},
		{"shed by price, no objective", ShedByPrice(attemptTimeout, 0), attemptTimeout / 6, attemptTimeout / 3},
		{"no capacity", NotRun("too_long"), 400 * time.Millisecond, 800 * time.Millisecond},
		{"rate limited, token soon", RateLimited(50*time.Millisecond, 6*time.Second), 400 * time.Millisecond, 800 * time.Millisecond},
		{"rate limited, token later", RateLimited(700*time.Millisecond, 6*time.Second), 700 * time.Millisecond, 1400 * time.Millisecond},
		{"rate limited, token late", RateLimited(4*time.Second, 6*time.Second), time.Second, 2 * time.Second},
		{"rate limited, no timeout", RateLimited(4*time.Second, 0), 400 * time.Millisecond, 800 * time.Millisecond},
		{"quarantined", NotRun(outcome.ReasonEndsTargets), 0, 0},
		{"quota keeper unreachable", QuotaUnavailable(), 300 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.span.Draw(0)).To(Equal(tc.shortest))
			g.Expect(tc.span.Draw(0.5)).To(Equal((tc.shortest + tc.longest) / 2))
			g.Expect(tc.span.Draw(1)).To(Equal(tc.longest))
		})
	}
}
