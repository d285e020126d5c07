package pricing

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// deepChains share a service of 18 targets with 50 slots: a less important route with one long call,
// and two more important ones with chains of short calls, of which one needs half of the other.
func deepChains() *simulation {
	return &simulation{
		nodes: 84, targets: 18, slots: 50, speeds: []float64{0.6, 1, 1.4}, lostShare: 0.2,
		kinds: []kind{
			{name: "book", rank: 1, importance: 0, perSecond: 340, branches: 1, calls: 4, work: 55 * time.Millisecond, lead: 300 * time.Millisecond, tail: 100 * time.Millisecond, timeout: 700 * time.Millisecond},
			{name: "browse", rank: 1, importance: 1, perSecond: 1000, branches: 2, calls: 4, work: 55 * time.Millisecond, lead: 250 * time.Millisecond, tail: 150 * time.Millisecond, timeout: 700 * time.Millisecond},
			{name: "view", rank: 0, importance: 2, perSecond: 147, branches: 1, calls: 1, work: 880 * time.Millisecond, lead: 5 * time.Millisecond, tail: 5 * time.Millisecond, timeout: 5 * time.Second},
		},
	}
}

// sharedWave has a route two priorities above two others, of which one has a single long call.
func sharedWave() *simulation {
	return &simulation{
		nodes: 70, targets: 22, slots: 38, speeds: []float64{0.6, 1, 1.4}, lostShare: 0.2,
		kinds: []kind{
			{name: "payment", rank: 2, importance: 0, perSecond: 440, branches: 2, calls: 4, work: 40 * time.Millisecond, lead: 200 * time.Millisecond, tail: 100 * time.Millisecond, timeout: 700 * time.Millisecond},
			{name: "course", rank: 0, importance: 1, perSecond: 1250, branches: 1, calls: 4, work: 40 * time.Millisecond, lead: 200 * time.Millisecond, tail: 50 * time.Millisecond, timeout: 700 * time.Millisecond},
			{name: "replay", rank: 0, importance: 2, perSecond: 326, branches: 1, calls: 1, work: 540 * time.Millisecond, lead: 5 * time.Millisecond, tail: 5 * time.Millisecond, timeout: 4 * time.Second},
		},
	}
}

// burst multiplies the load by factor from 3 to 21 s.
func burst(factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > 3*time.Second && now < 21*time.Second {
			return factor
		}
		return 1
	}
}

// wave swings by 55% with a period of 15 s, during a burst.
func wave(now time.Duration) float64 { return 1.7 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15)) }

// overloadSeeds is how many seeds TestOverload plays.
var overloadSeeds = flag.Uint64("overload-seeds", 3, "seeds that TestOverload plays")

// The more important a route is, and the less of the scarce service its requests need, the more of it
// must be served, chains that were admitted must end, and the service must stay busy. Without prices
// the gates let calls of begun chains expire, and chains of many calls are served least.
func TestOverload(t *testing.T) {
	const settled = 6 // s; a burst that begins at 3 s must have been answered, the wave begins at 1 s
	for _, tc := range []struct {
		name     string
		play     func() *simulation
		load     func(time.Duration) float64
		from, to int // seconds of overload
		busy     float64
	}{
		{"burst", deepChains, burst(1.8), settled, 21, 0.85},
		{"smaller burst", deepChains, burst(1.4), settled, 21, 0.85},
		{"crest of a wave", sharedWave, wave, settled - 1, 8, 0.7},
		{"second crest", sharedWave, wave, 18, 23, 0.85},
	} {
		for seed := range *overloadSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				play := tc.play()
				play.seed, play.load = seed, tc.load
				play.run(30 * time.Second)
				busy := 0.0
				for second := tc.from; second < tc.to; second++ {
					busy += play.busy[second] / float64(tc.to-tc.from)
				}
				g.Expect(busy).To(BeNumerically(">", tc.busy))
				previous := 1.0
				for index, k := range play.kinds {
					admitted, served, _ := play.shares(index, tc.from, tc.to)
					t.Logf("%s: admitted %.3f, served %.3f", k.name, admitted, served)
					g.Expect(served).To(BeNumerically("<=", previous+0.05), "%s is served more than a more important route", k.name)
					g.Expect(admitted).To(BeNumerically(">", 0.2), "%s is starved", k.name)
					previous = served
				}
				g.Expect(play.failedShare(tc.from, tc.to)).To(BeNumerically("<", 0.03), "admitted chains that failed")
			})
		}
	}
}

// After an overload every request must be admitted again.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	g := NewWithT(t)
	play := deepChains()
	play.load = burst(1.8)
	play.run(28 * time.Second)
	for index, k := range play.kinds {
		admitted, _, _ := play.shares(index, 24, 28)
		g.Expect(admitted).To(BeNumerically(">", 0.98), k.name)
	}
}

// A node that gets no reports for 5 s must not keep refusing on old prices, nor start an overload of
// its own when they arrive again.
func TestPartitionedNodes(t *testing.T) {
	g := NewWithT(t)
	play := deepChains()
	play.load = burst(1.8)
	play.cut = func(node int, now time.Duration) bool {
		return node%4 == 0 && now > 10*time.Second && now < 15*time.Second
	}
	play.run(28 * time.Second)
	_, book, _ := play.shares(0, 10, 21)
	_, view, _ := play.shares(2, 10, 21)
	g.Expect(book).To(BeNumerically(">", view))
	g.Expect(play.failedShare(10, 21)).To(BeNumerically("<", 0.03), "admitted chains that failed")
	for index, k := range play.kinds {
		admitted, _, _ := play.shares(index, 24, 28)
		g.Expect(admitted).To(BeNumerically(">", 0.98), k.name)
	}
}

// The simulation must show the failure that prices answer.
func TestOverloadWithoutPrices(t *testing.T) {
	g := NewWithT(t)
	play := deepChains()
	play.noPrices = true
	play.load = burst(1.8)
	play.run(21 * time.Second)
	_, _, lost := play.shares(1, 6, 21)
	g.Expect(lost).To(BeNumerically(">", 0.1))
}
