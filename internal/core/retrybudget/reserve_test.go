package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestReserveIsRaisedAfterExhaustion(t *testing.T) {
	g := NewWithT(t)
	k := &Reserve{}
	g.Expect(k.Fraction(time.Minute)).To(Equal(baseReserve))
	k.BudgetExhausted(time.Minute)
	g.Expect(k.Fraction(time.Minute + raisedDuration - 1)).To(Equal(raisedReserve))
	g.Expect(k.Fraction(time.Minute + raisedDuration)).To(Equal(baseReserve))
}

// Guards against a chain adding more or less than one request to the budget of its last service.
func TestReservesOfAChainSumToOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		granted, counted := 1.0, 0.0
		for range rapid.IntRange(0, 8).Draw(t, "depth") {
			k := &Reserve{}
			if rapid.Bool().Draw(t, "short") {
				k.BudgetExhausted(0)
			}
			kept := k.Fraction(0)
			counted += granted * kept
			granted *= 1 - kept
		}
		counted += granted // the node that makes the call
		if counted > 1+1e-9 || counted < 1-1e-9 {
			t.Fatalf("chain was counted as %g requests, want 1", counted)
		}
	})
}
