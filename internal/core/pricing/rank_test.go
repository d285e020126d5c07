package pricing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ranksAt returns a controller that has seen a service at a load of 1.5 for 20 s, with a route of each of
// the ranks there, and routes of other ranks that use another service.
func ranksAt(scarce, elsewhere []int) (*Controller, time.Duration) {
	c := New(DefaultConfig())
	now := time.Duration(0)
	for ; now < 20*time.Second; now += interval {
		for _, rank := range scarce {
			c.Observe(now, rankedRoute(rank), []Usage{{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.5}}, true)
		}
		for _, rank := range elsewhere {
			c.Observe(now, rankedRoute(rank), []Usage{{Service: "files", SlotTime: 100 * time.Millisecond, Offered: 0.5}}, true)
		}
	}
	return c, now
}

func rankedRoute(rank int) Route { return Route{Name: fmt.Sprintf("rank-%d", rank), Rank: rank} }

// A service that only important routes share must refuse by price as soon as one that all routes share:
// the less important routes, which use other services, cannot yield anything there.
func TestRanksAreCountedAmongRoutesThatNeedTheService(t *testing.T) {
	for _, tc := range []struct {
		scarce, elsewhere []int
		want              map[int]float64 // merits
	}{
		{[]int{0, 1, 2}, nil, map[int]float64{0: 0, 1: 2, 2: 4}},
		{[]int{5, 6}, []int{0, 1, 2, 3, 4}, map[int]float64{5: 0, 6: 2}},
		{[]int{0, 6}, []int{1, 2, 3, 4, 5}, map[int]float64{0: 0, 6: 2}},
		{[]int{0, 2, 4}, []int{1, 3}, map[int]float64{0: 0, 2: 2, 4: 4}},
	} {
		t.Run(fmt.Sprint(tc.scarce, tc.elsewhere), func(t *testing.T) {
			g := NewWithT(t)
			c, now := ranksAt(tc.scarce, tc.elsewhere)
			for rank, merit := range tc.want {
				g.Expect(c.Admit(now, Request{Route: rankedRoute(rank)}).Merit).To(BeNumerically("~", merit, 1e-9), "rank %d", rank)
			}
			g.Expect(c.Admit(now, Request{Route: rankedRoute(tc.scarce[0])}).Probability).To(BeNumerically("<", 0.5))
		})
	}
}

// A node that only clients of one route use must not count the ranks of routes that it does not see: they
// may need the service at other nodes, and would then go before or after those of this node by chance.
func TestUnseenRanksCount(t *testing.T) {
	g := NewWithT(t)
	important, now := ranksAt([]int{1}, nil)
	other, _ := ranksAt([]int{0}, nil)
	g.Expect(important.Admit(now, Request{Route: rankedRoute(1)}).Merit).To(Equal(2.0))
	g.Expect(other.Admit(now, Request{Route: rankedRoute(0)}).Merit).To(Equal(0.0))
}

// A chain that broke off may not have come to the service: it must not count as one that does not need it.
func TestUnservedRequestsDoNotLowerRanks(t *testing.T) {
	g := NewWithT(t)
	c, now := ranksAt([]int{1}, nil)
	for end := now + time.Second; now < end; now += interval {
		c.Observe(now, rankedRoute(0), nil, false)
		c.Observe(now, rankedRoute(1), []Usage{{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.5}}, true)
	}
	g.Expect(c.Admit(now, Request{Route: rankedRoute(1)}).Merit).To(Equal(2.0))
}

func BenchmarkAdmit(b *testing.B) {
	for _, offered := range []float64{0.5, 1.3} {
		b.Run(fmt.Sprintf("load %.1f of 8 services", offered), func(b *testing.B) { benchmarkAdmit(b, offered) })
	}
}

func benchmarkAdmit(b *testing.B, offered float64) {
	c := New(DefaultConfig())
	now := time.Duration(0)
	usages := make([]Usage, 8)
	for index := range usages {
		usages[index] = Usage{Service: fmt.Sprintf("service-%d", index), SlotTime: 100 * time.Millisecond, Offered: offered}
	}
	for ; now < 10*time.Second; now += interval {
		for rank := range 3 {
			c.Observe(now, rankedRoute(rank), usages, true)
		}
	}
	request := Request{Route: rankedRoute(2)}
	b.ReportAllocs()
	for b.Loop() {
		c.Admit(now, request)
	}
}

// The least important route must keep its minimum share until all others that need the service are reduced
// as well.
func TestMinimumShareHoldsUntilAllRoutesAreReduced(t *testing.T) {
	for _, ranks := range [][]int{{0, 1, 2}, {0, 1, 2, 3}, {0, 1, 2, 3, 4}, {3, 4, 5, 6, 7}} {
		t.Run(fmt.Sprint(ranks), func(t *testing.T) {
			g := NewWithT(t)
			c, now := New(DefaultConfig()), time.Duration(0)
			reduced := false
			for ; now < time.Minute; now += interval {
				for _, rank := range ranks {
					c.Observe(now, rankedRoute(rank), []Usage{{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.9}}, true)
				}
				for rank := range ranks[0] {
					c.Observe(now, rankedRoute(rank), []Usage{{Service: "files", SlotTime: 100 * time.Millisecond, Offered: 0.5}}, true)
				}
				least := c.Admit(now, Request{Route: rankedRoute(ranks[0])}).Probability
				most := c.Admit(now, Request{Route: rankedRoute(ranks[len(ranks)-1])}).Probability
				if most > DefaultConfig().MinShare {
					g.Expect(least).To(BeNumerically(">=", DefaultConfig().MinShare), "after %v, most important: %.2f", now, most)
				}
				reduced = reduced || least < 0.3
			}
			g.Expect(reduced).To(BeTrue())
		})
	}
}
