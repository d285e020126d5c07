package retryafter

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// A sender that names no time at all is refused like any other: drawing a random part of
// nothing broke its connection in place of the answer.
func TestWhenARefusedSenderComesBack(t *testing.T) {
	const senderTime = 1200 * time.Millisecond
	for _, tc := range []struct {
		name        string
		span        Span
		least, most time.Duration
	}{
		{"node not ready", Unready(), 500 * time.Millisecond, 500 * time.Millisecond},
		{"shed", Shed(senderTime), senderTime / 6, senderTime / 3},
		{"shed, no time named", Shed(0), 0, 0},
		{"no room", NotRun("too_long"), 400 * time.Millisecond, 800 * time.Millisecond},
		{"held back", NotRun(outcome.ReasonEndsTargets), 0, 0},
		{"no keeper of its quota", NoAllowance(), 300 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.span.At(0)).To(Equal(tc.least))
			g.Expect(tc.span.At(0.5)).To(Equal((tc.least + tc.most) / 2))
			g.Expect(tc.span.At(1)).To(Equal(tc.most))
		})
	}
}
