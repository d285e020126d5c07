package retry

import (
	"testing"

	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLastCreditReachesTheDeepestHop(t *testing.T) {
	g := NewWithT(t)
	ledger := NewLedger(1)
	for range 8 {
		ledger = NewLedger(ledger.Lend().Amount())
	}
	g.Expect(ledger.Spend()).To(BeTrue())
	g.Expect(ledger.Spend()).To(BeFalse())
}

func TestALoanComesBackOnceAndNeverGrows(t *testing.T) {
	g := NewWithT(t)
	ledger := NewLedger(4)
	loan := ledger.Lend()
	g.Expect(loan.Amount()).To(Equal(2))
	loan.Settle(100)
	loan.Settle(2)
	g.Expect(ledger.Held()).To(Equal(4))
}

// spend walks a random call tree with parallel calls, lost answers and retries
// and gives the retries made anywhere in it.
func spend(t *rapid.T, ledger *Ledger, depth int) int {
	spent := 0
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		for {
			loan := ledger.Lend()
			child := NewLedger(loan.Amount())
			if depth < 6 {
				spent += spend(t, child, depth+1)
			}
			if !rapid.Bool().Draw(t, "answer lost") {
				loan.Settle(child.Close())
			}
			if !rapid.Bool().Draw(t, "failed") || !ledger.Spend() {
				break
			}
			spent++
		}
	}
	return spent
}

func TestRetriesOfAChainNeverExceedItsCredits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		credits := rapid.IntRange(0, 8).Draw(t, "credits")
		if spent := spend(t, NewLedger(credits), 0); spent > credits {
			t.Fatalf("%d retries of %d", spent, credits)
		}
	})
}

func TestOnlySafeFailuresAreTriedAgain(t *testing.T) {
	g := NewWithT(t)
	lost := Failure{Outcome: outcome.Unknown, Reason: outcome.ReasonReset, TimeLeft: true}
	g.Expect(Decide(lost).Reason).To(Equal("may_have_run"))
	lost.Repeatable = true
	g.Expect(Decide(lost).Retry).To(BeTrue())
	refused := Failure{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable, TimeLeft: true}
	g.Expect(Decide(refused).Retry).To(BeTrue())
	refused.TimeLeft = false
	g.Expect(Decide(refused).Reason).To(Equal("deadline"))
	for _, reason := range []outcome.Reason{outcome.ReasonOverloadCursor, outcome.ReasonQueueFull, outcome.ReasonPreempted} {
		g.Expect(Decide(Failure{Outcome: outcome.NotRun, Reason: reason, Repeatable: true, TimeLeft: true}).Reason).To(Equal("overload"))
	}
	g.Expect(Decide(Failure{Outcome: outcome.NotRun, Reason: outcome.ReasonNoQuorum, TimeLeft: true}).Retry).To(BeFalse())
}

// copied is the weaker way: every call takes a copy of the remaining number along,
// as a counter in a header does.
func copied(t *rapid.T, remaining, depth int) int {
	spent := 0
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		left := remaining
		for {
			if depth < 6 {
				spent += copied(t, left, depth+1)
			}
			if !rapid.Bool().Draw(t, "failed") || left == 0 {
				break
			}
			left--
			spent++
		}
	}
	return spent
}

// TestACopiedCounterIsNoBound shows that the property can fail, and why credits
// are lent rather than copied.
func TestACopiedCounterIsNoBound(t *testing.T) {
	const credits = 2
	most := 0
	for seed := range 200 {
		most = max(most, rapid.Custom(func(t *rapid.T) int { return copied(t, credits, 4) }).Example(seed))
	}
	NewWithT(t).Expect(most).To(BeNumerically(">", 2*credits))
	t.Logf("most retries with copied counters: %d of %d", most, credits)
}
