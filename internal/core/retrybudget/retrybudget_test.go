package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAllowanceIsRestoredAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	budget := New(Config{Ratio: 0.2, Allowance: 3, Window: 10 * time.Second})
	for range 3 {
		g.Expect(budget.Allows(0, 1)).To(BeTrue())
		budget.CountRetries(0, 1)
	}
	g.Expect(budget.Allows(0, 1)).To(BeFalse())
	g.Expect(budget.Allows(10*time.Second, 1)).To(BeFalse())
	g.Expect(budget.Allows(12*time.Second, 1)).To(BeTrue())
}

// Checks the limit for random sequences of events, in every window. Guards against a burst of
// requests that permits retries in later windows without requests.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Ratio: 0.2, Allowance: float64(rapid.IntRange(0, 5).Draw(t, "allowance")), Window: 10 * time.Second}
		budget := New(config)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "request") > 0 {
				budget.CountRequests(now, 1)
				requests = append(requests, now)
			} else if budget.Allows(now, 1) {
				budget.CountRetries(now, 1)
				retries = append(retries, now)
			}
		}
		within := func(events []time.Duration, end time.Duration) (count int) {
			for _, at := range events {
				if at <= end && at > end-config.Window {
					count++
				}
			}
			return count
		}
		for end := time.Duration(0); end < now+2*config.Window; end += 250 * time.Millisecond {
			most := max(within(requests, end), within(requests, end-config.Window/2), within(requests, end-config.Window))
			if count := within(retries, end); float64(count) > config.Ratio*float64(most)+config.Allowance+1e-9 {
				t.Fatalf("%d retries against %d requests in the window that ends at %s", count, most, end)
			}
		}
	})
}

// Paced retries use at most a third of the remaining budget per slice, so that the budget lasts.
func TestPacedRetriesLastForSeveralSlices(t *testing.T) {
	g := NewWithT(t)
	budget := New(Config{Ratio: 0.2, Allowance: 300, Window: 10 * time.Second})
	var spent []int
	for second := range 6 {
		now := time.Duration(second) * time.Second
		count := 0
		for budget.AllowsPaced(now, 1) {
			budget.CountRetries(now, 1)
			count++
		}
		spent = append(spent, count)
	}
	g.Expect(spent[0]).To(Equal(100))
	for i := 1; i < len(spent); i++ {
		g.Expect(spent[i]).To(And(BeNumerically(">", 10), BeNumerically("<", spent[i-1])))
	}
	g.Expect(budget.Allows(5*time.Second, 20)).To(BeTrue(), "retries that are not paced still find budget")
}
