package wait

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A sender that names no time at all is refused like any other: its answer's Retry-After is
// a part of nothing, which broke the drawing of a random number and with it the connection.
func TestJitteredSpans(t *testing.T) {
	for _, tc := range []struct {
		name        string
		span        time.Duration
		least, most time.Duration
	}{
		{"of a second", time.Second, time.Second, 2 * time.Second},
		{"of nothing", 0, 0, 0},
		{"of less than nothing", -time.Second, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for range 100 {
				g.Expect(Jittered(tc.span)).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most)))
			}
		})
	}
}
