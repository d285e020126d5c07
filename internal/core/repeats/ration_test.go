package repeats

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRankOrdersByPriorityFirst(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		priority, priorities int
		hash                 uint64
		from, to             float64
	}{
		{"most important, first", 0, 3, 0, 0, 0},
		{"most important, last", 0, 3, 1<<64 - 1, 0.33, 0.3334},
		{"least important, first", 2, 3, 0, 0.66, 0.67},
		{"least important, last", 2, 3, 1<<64 - 1, 0.99, 1},
		{"priority that the configuration lacks", 7, 3, 0, 0.66, 0.67},
		{"no priorities", 0, 0, 1 << 63, 0.49, 0.51},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			rank := Rank(tc.priority, tc.priorities, tc.hash)
			g.Expect(rank).To(And(BeNumerically(">=", tc.from), BeNumerically("<=", tc.to)))
		})
	}
}

func TestRationGrowsBack(t *testing.T) {
	g := NewWithT(t)
	r := &Ration{}
	g.Expect(r.Allows(0, 0.999)).To(BeTrue())
	for now := time.Duration(0); now < 2*time.Second; now += rationStep {
		r.Denied(now)
	}
	g.Expect(r.Allows(2*time.Second, 0.1)).To(BeFalse())
	g.Expect(r.Allows(2*time.Second, 0.01)).To(BeTrue())
	g.Expect(r.Allows(12*time.Second, 0.999)).To(BeTrue())
}

// A service turns 55 in 100 calls away; chains make eight in a row, and the budget has a
// third of the repeats that all of them need. With the ration far more chains end.
func TestRationEndsChains(t *testing.T) {
	g := NewWithT(t)
	play := func(rationed bool) (ended int) {
		random := rand.New(rand.NewPCG(3, 4))
		r, now := &Ration{}, time.Duration(0)
		left := 0.0
		for range 3000 { // a chain each 3 ms, which is begun and ended at once
			now += 3 * time.Millisecond
			left = min(left+3, 300)
			rank, whole := random.Float64(), true
			for call := 0; call < 8 && whole; call++ {
				for random.Float64() < 0.55 && whole {
					switch {
					case rationed && !r.Allows(now, rank):
						whole = false
					case left < 1:
						r.Denied(now)
						whole = false
					default:
						left--
					}
				}
			}
			if whole {
				ended++
			}
		}
		return ended
	}
	without, with := play(false), play(true)
	t.Logf("%d chains end without, %d with the ration", without, with)
	g.Expect(with).To(BeNumerically(">", without*3/2))
}
