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

func TestLoanIsSettledOnceUpToItsAmount(t *testing.T) {
	g := NewWithT(t)
	ledger := NewLedger(4)
	loan := ledger.Lend()
	g.Expect(loan.Amount()).To(Equal(2))
	loan.Settle(100)
	loan.Settle(2)
	g.Expect(ledger.Held()).To(Equal(4))
}

// spendLent simulates a random call tree with lost responses and retries, and returns
// the total number of retries.
func spendLent(t *rapid.T, ledger *Ledger, depth int) int {
	spent := 0
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		for {
			loan := ledger.Lend()
			child := NewLedger(loan.Amount())
			if depth < 6 {
				spent += spendLent(t, child, depth+1)
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
		if spent := spendLent(t, NewLedger(credits), 0); spent > credits {
			t.Fatalf("%d retries with %d credits", spent, credits)
		}
	})
}

func TestOnlySafeFailuresAreRetried(t *testing.T) {
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

// spendCopied simulates a random call tree in which every call carries a copy of the
// remaining count, as a header with a retry counter does.
func spendCopied(t *rapid.T, remaining, depth int) int {
	spent := 0
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		credits := remaining
		for {
			if depth < 6 {
				spent += spendCopied(t, credits, depth+1)
			}
			if !rapid.Bool().Draw(t, "failed") || credits == 0 {
				break
			}
			credits--
			spent++
		}
	}
	return spent
}

// Checks that the random call trees can exceed the budget: copied counters do.
func TestACopiedCounterIsNoBound(t *testing.T) {
	const credits = 2
	maxRetries := 0
	for seed := range 200 {
		maxRetries = max(maxRetries, rapid.Custom(func(t *rapid.T) int { return spendCopied(t, credits, 4) }).Example(seed))
	}
	NewWithT(t).Expect(maxRetries).To(BeNumerically(">", 2*credits))
	t.Logf("maximum number of retries with copied counters: %d; credits: %d", maxRetries, credits)
}
