package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	. "github.com/onsi/gomega"
)

// jumpingClock is that of a machine that was suspended once.
type jumpingClock struct{ slept time.Duration }

// Steady implements clock.Source.
func (c *jumpingClock) Steady() time.Duration { return time.Since(steadyStart) }

// Boot implements clock.Source.
func (c *jumpingClock) Boot() time.Duration { return time.Since(steadyStart) + c.slept }

// Symptom: a request reaches a target after its client has given up.
//
// Sequence: a node holds a request with a deadline of a second, its machine is suspended for
// five, and the node sends it on when it wakes.
//
// Cause: what is left of a request's time was read from the timer of its context, which stands
// still while the machine is suspended.
//
// What settled it: 1 s left after 5 s of suspension, where the request began; package arrival has the
// same for the gate.
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
			source := &jumpingClock{}
			n := &Node{configuration: configuration.New(nil, nil), clock: source}
			x := &exchange{node: n, hold: time.Second, started: n.now(), route: &intent.Route{}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			source.slept = tc.slept
			g.Expect(x.left(ctx)).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}
