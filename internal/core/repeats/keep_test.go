package repeats

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMoreIsKeptWhereItIsNeeded(t *testing.T) {
	g := NewWithT(t)
	k := &Keep{}
	g.Expect(k.Of(time.Minute)).To(Equal(keepAtRest))
	k.Short(time.Minute)
	g.Expect(k.Of(time.Minute + shortFor - 1)).To(Equal(keepWhenShort))
	g.Expect(k.Of(time.Minute + shortFor)).To(Equal(keepAtRest))
}

// What the nodes of a chain count for its deepest service is one request in all,
// whatever each of them keeps.
func TestPartsOfAChainAreOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		granted, counted := 1.0, 0.0
		for range rapid.IntRange(0, 8).Draw(t, "depth") {
			k := &Keep{}
			if rapid.Bool().Draw(t, "short") {
				k.Short(0)
			}
			kept := k.Of(0)
			counted += granted * kept
			granted *= 1 - kept
		}
		counted += granted // the node that makes the call
		if counted > 1+1e-9 || counted < 1-1e-9 {
			t.Fatalf("%g requests", counted)
		}
	})
}
