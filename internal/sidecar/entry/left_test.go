package entry

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

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
			started, slept := time.Now(), time.Duration(0)
			now := func() time.Duration { return time.Since(started) + slept }
			x := &request{options: &Options{Now: now}, holdFor: time.Second, started: now(), route: &intent.Route{}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			slept = tc.slept
			g.Expect(x.left(ctx)).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}
