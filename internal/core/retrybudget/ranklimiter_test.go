package retrybudget

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
		need                 int
		hash                 uint64
		from, to             float64
	}{
		{"highest priority, lowest hash", 0, 3, 0, 0, 0, 0},
		{"highest priority, highest hash", 0, 3, 0, 1<<64 - 1, 0.33, 0.3334},
		{"lowest priority, lowest hash", 2, 3, 0, 0, 0.66, 0.67},
		{"lowest priority, highest hash", 2, 3, 0, 1<<64 - 1, 0.99, 1},
		{"unknown priority", 7, 3, 0, 0, 0.66, 0.67},
		{"no priorities", 0, 0, 0, 1 << 63, 0.49, 0.51},
		{"small need before any hash", 1, 3, 1, 1<<64 - 1, 0.33, 0.35},
		{"large need", 1, 3, 31, 0, 0.65, 0.66},
		{"need out of range", 1, 3, 99, 0, 0.65, 0.66},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			rank := Rank(tc.priority, tc.priorities, tc.need, 31, tc.hash)
			g.Expect(rank).To(And(BeNumerically(">=", tc.from), BeNumerically("<=", tc.to)))
		})
	}
}

func TestRationRecovers(t *testing.T) {
	g := NewWithT(t)
	r := &RankLimiter{}
	g.Expect(r.Allows(0, 0.999)).To(BeTrue())
	for now := time.Duration(0); now < 2*time.Second; now += minCutInterval {
		r.Denied(now)
	}
	g.Expect(r.Allows(2*time.Second, 0.1)).To(BeFalse())
	g.Expect(r.Allows(2*time.Second, 0.01)).To(BeTrue())
	g.Expect(r.Allows(12*time.Second, 0.999)).To(BeTrue())
}

// Chains make eight sequential calls that are declined with a probability of 0.55, and the budget
// covers a third of the retries needed. Rationing must let more chains complete.
func TestRationEndsChains(t *testing.T) {
	g := NewWithT(t)
	completedChains := func(rationed bool) (completed int) {
		random := rand.New(rand.NewPCG(3, 4))
		r, now := &RankLimiter{}, time.Duration(0)
		tokens := 0.0
		for range 3000 { // one chain every 3 ms
			now += 3 * time.Millisecond
			tokens = min(tokens+3, 300)
			rank, complete := random.Float64(), true
			for call := 0; call < 8 && complete; call++ {
				for random.Float64() < 0.55 && complete {
					switch {
					case rationed && !r.Allows(now, rank):
						complete = false
					case tokens < 1:
						r.Denied(now)
						complete = false
					default:
						tokens--
					}
				}
			}
			if complete {
				completed++
			}
		}
		return completed
	}
	without, with := completedChains(false), completedChains(true)
	t.Logf("%d chains complete without rationing, %d with it", without, with)
	g.Expect(with).To(BeNumerically(">", without*3/2))
}
