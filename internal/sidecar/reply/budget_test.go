package reply

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// A budget is never exceeded, whatever is reserved at the same time, and is whole again at the end.
func TestBudgetIsNeverExceeded(t *testing.T) {
	g := NewWithT(t)
	budget := NewBudget(4 * maxHeldBytes)
	var group sync.WaitGroup
	for _, length := range []int64{0, 1, maxHeldBytes / 3, maxHeldBytes, 10 * maxHeldBytes, -1} {
		for range 8 {
			group.Go(func() {
				for range 1000 {
					if held, reserved := budget.Reserve(length); reserved {
						budget.Release(held)
					}
				}
			})
		}
	}
	group.Wait()
	g.Expect(budget.Held()).To(BeZero())
}

func TestBudgetReserves(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lengths  []int64
		reserved int // of the lengths, from the first on
		held     int64
	}{
		{"short bodies by their length", []int64{100, 200}, 2, 300},
		{"long ones and those of unknown length by what is kept", []int64{10 * maxHeldBytes, -1}, 2, 2 * maxHeldBytes},
		{"none beyond the limit", []int64{maxHeldBytes, maxHeldBytes, maxHeldBytes}, 2, 2 * maxHeldBytes},
		{"requests without a body always", []int64{maxHeldBytes, maxHeldBytes, 0}, 3, 2 * maxHeldBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			budget, count := NewBudget(2*maxHeldBytes), 0
			for _, length := range tc.lengths {
				if _, reserved := budget.Reserve(length); reserved {
					count++
				}
			}
			g.Expect(count).To(Equal(tc.reserved))
			g.Expect(budget.Held()).To(Equal(tc.held))
		})
	}
}
