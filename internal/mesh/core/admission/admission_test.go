package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// offer simulates calls of uniformly distributed users at three levels to a target
// that serves a fixed number of calls per window. It returns the share of calls
// admitted at each level.
func offer(controller *Controller, from time.Duration, windows, perWindow, served int) [3]float64 {
	var admitted, all [3]int
	queue := 0
	for window := range windows {
		now := from + time.Duration(window)*100*time.Millisecond
		for i := range perWindow {
			level := i % 3
			all[level]++
			rank := RankOf(level, fmt.Sprintf("user-%d-%d", window, i))
			if controller.Admit(now+time.Duration(i)*time.Microsecond, rank) {
				admitted[level]++
				queue++
			}
		}
		for range min(queue, served) {
			controller.Served(now + 90*time.Millisecond)
		}
		queue -= min(queue, served)
		queue = min(queue, 3*served)
		controller.SetQueueLength(now+95*time.Millisecond, queue)
	}
	var shares [3]float64
	for level := range shares {
		shares[level] = float64(admitted[level]) / float64(all[level])
	}
	return shares
}

func TestLeastImportantLevelIsShedFirst(t *testing.T) {
	g := NewWithT(t)
	controller := NewController(DefaultConfig(3))
	offer(controller, 0, 20, 300, 150)
	shares := offer(controller, 2*time.Second, 40, 300, 150)
	g.Expect(shares[0]).To(Equal(1.0))
	g.Expect(shares[1]).To(BeNumerically("<", 0.95))
	g.Expect(shares[1]).To(BeNumerically(">", 0.3))
	g.Expect(shares[2]).To(BeNumerically("<", 0.2))
}

func TestCursorRisesAfterOverload(t *testing.T) {
	g := NewWithT(t)
	controller := NewController(DefaultConfig(3))
	offer(controller, 0, 30, 300, 100)
	g.Expect(controller.Cursor()).To(BeNumerically("<", 2*BucketsPerLevel))
	offer(controller, 3*time.Second, 20, 50, 100)
	g.Expect(controller.Cursor()).To(Equal(Rank(3*BucketsPerLevel - 1)))
}

func TestTheMostImportantLevelIsNeverShedByRank(t *testing.T) {
	g := NewWithT(t)
	controller := NewController(DefaultConfig(3))
	offer(controller, 0, 50, 3000, 10)
	g.Expect(controller.Cursor()).To(BeNumerically(">=", BucketsPerLevel-1))
}

func TestViewExpiresAndProbes(t *testing.T) {
	g := NewWithT(t)
	var view View
	g.Expect(view.Admit(0, 200)).To(BeTrue())
	view.Observe(time.Second, 100)
	g.Expect(view.Admit(time.Second, 100)).To(BeTrue())
	g.Expect(view.Admit(time.Second, 200)).To(BeTrue()) // probe
	g.Expect(view.Admit(time.Second+50*time.Millisecond, 200)).To(BeFalse())
	g.Expect(view.Admit(time.Second+110*time.Millisecond, 200)).To(BeTrue())
	g.Expect(view.Admit(2*time.Second+time.Millisecond, 200)).To(BeTrue())
}

func TestRankIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	g.Expect(RankOf(2, "user-7")).To(Equal(RankOf(2, "user-7")))
	g.Expect(RankOf(2, "user-7").Level()).To(Equal(2))
	g.Expect(RankOf(0, "x")).To(BeNumerically("<", BucketsPerLevel))
}
