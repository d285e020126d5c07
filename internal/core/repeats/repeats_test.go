package repeats

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAllowanceComesBackAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	budget := New(Config{Ratio: 0.2, Allowance: 3, Window: 10 * time.Second})
	for range 3 {
		g.Expect(budget.Allows(0, 1)).To(BeTrue())
		budget.Spend(0, 1)
	}
	g.Expect(budget.Allows(0, 1)).To(BeFalse())
	g.Expect(budget.Allows(10*time.Second, 1)).To(BeFalse())
	g.Expect(budget.Allows(12*time.Second, 1)).To(BeTrue())
}

// In no window of that length, wherever it begins, are there more repeats than
// the ratio of the requests in it and in the slices beside it, and the allowance.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Ratio: 0.2, Allowance: float64(rapid.IntRange(0, 5).Draw(t, "allowance")), Window: 10 * time.Second}
		budget := New(config)
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				budget.Request(now, 1)
				events = append(events, event{at: now})
			} else if budget.Allows(now, 1) {
				budget.Spend(now, 1)
				events = append(events, event{at: now, repeat: true})
			}
		}
		slack := config.Window / sliceCount
		for _, end := range events {
			repeated, requests := 0, 0
			for _, one := range events {
				switch {
				case one.at > end.at || one.at < end.at-config.Window-slack:
				case one.repeat && one.at >= end.at-config.Window:
					repeated++
				case !one.repeat:
					requests++
				}
			}
			if float64(repeated) > config.Ratio*float64(requests)+config.Allowance+1e-9 {
				t.Fatalf("%d repeats and %d requests in the window that ends at %s", repeated, requests, end.at)
			}
		}
	})
}
