package balancer

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

type noRandom struct{}

func (noRandom) Float64() float64 { return 0 }

func pair() *Balancer {
	b := New(DefaultConfig(), "me", "a", noRandom{})
	b.Update([]Target{
		{Node: "near", Zone: "a", Instance: "1", Slots: 10},
		{Node: "far", Zone: "b", Instance: "2", Slots: 10},
	})
	return b
}

const hold = 20 * time.Millisecond

func report(b *Balancer, node string, running, waiting int) {
	b.Report(time.Second, b.Endpoint(node), slots.Load{Slots: 10, Running: running, Waiting: waiting, Hold: hold})
}

func TestNearTargetIsTakenWhileItCostsNothing(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 3, 0)
	report(b, "far", 1, 0)
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("near"))
}

func TestFullTargetIsLeftForAFreeOne(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 10, 4)
	report(b, "far", 2, 0)
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

// A fast target with a queue is left for a slow one with free slots in another
// zone: else requests are refused while slots are free. Found by incident inc-3fd7.
func TestQueueAtAFastNearTargetLosesToFreeSlotsFarAway(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	b.Report(time.Second, b.Endpoint("near"), slots.Load{Slots: 13, Running: 13, Waiting: 13, Hold: 25 * time.Millisecond})
	b.Report(time.Second, b.Endpoint("far"), slots.Load{Slots: 13, Running: 9, Hold: 57 * time.Millisecond})
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

// A target that breaks every request off at once has free slots and looks fast.
// Found by incident inc-3340.
func TestTargetThatLosesEverythingIsLeftForAnother(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 0, 0)
	report(b, "far", 6, 0)
	for range 20 {
		b.Lost(time.Second, b.Endpoint("near"))
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("far"))
	g.Expect(b.Pick(time.Minute, Requirement{}, nil, false).Node).To(Equal("near"), "losses are forgotten, so that it is tried again")
}

// A target that declines requests has free slots by that, its gate tells so, and all senders
// would choose it. Found by TestEveryTroubleAlone/srv_grey_shed.
func TestTargetThatDeclinesIsLeftForAnother(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 0, 0)
	report(b, "far", 6, 0)
	for index := range 20 {
		if index%2 == 0 {
			b.Declined(time.Second, b.Endpoint("near"))
		} else {
			b.Answered(time.Second, b.Endpoint("near"), "", -1, 20*time.Millisecond)
		}
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("far"))
	g.Expect(b.Pick(time.Minute, Requirement{}, nil, false).Node).To(Equal("near"), "declines are forgotten, so that it is tried again")
}

// Where all targets decline alike, the choice among them stays what it was.
func TestDeclinesEverywhereChangeNothing(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 0, 0)
	report(b, "far", 0, 0)
	for range 20 {
		b.Declined(time.Second, b.Endpoint("near"))
		b.Declined(time.Second, b.Endpoint("far"))
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("near"))
}

func TestOneLossInAWhileChangesNothing(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 0, 0)
	report(b, "far", 0, 0)
	b.Lost(time.Second, b.Endpoint("near"))
	for range 5 {
		b.Answered(time.Second, b.Endpoint("near"), "", 100, hold)
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("near"))
}

func TestOccupancyIsThatOfTheWholeService(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	_, known := b.Pressure(time.Second)
	g.Expect(known).To(BeFalse())
	report(b, "near", 10, 10)
	report(b, "far", 0, 0)
	pressure, known := b.Pressure(time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(pressure.Occupancy).To(Equal(1.0))
}

func TestOwnSendingsCountUntilTheNextReport(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	report(b, "near", 5, 0)
	report(b, "far", 5, 0)
	for range 8 {
		b.Sent(b.Endpoint("near"))
	}
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

func TestSuspectIsChosenOnlyWhenNothingElseIsLeft(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	b.Suspect(time.Second, b.Endpoint("near"))
	best := b.Pick(time.Second, Requirement{}, nil, true)
	g.Expect(best.Node).To(Equal("far"))
	best = b.Pick(time.Second, Requirement{}, map[string]bool{"far": true}, true)
	g.Expect(best.Node).To(Equal("near"))
	best = b.Pick(time.Second, Requirement{}, map[string]bool{"far": true}, false)
	g.Expect(best).To(BeNil())
}

func TestAnotherInstanceIsNoSuspect(t *testing.T) {
	g := NewWithT(t)
	b := pair()
	b.Suspect(time.Second, b.Endpoint("near"))
	b.Update([]Target{{Node: "near", Zone: "a", Instance: "3", Slots: 10}, {Node: "far", Zone: "b", Instance: "2", Slots: 10}})
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("near"))
}

// Bytes between zones cost: a trial on a site with downloads of 300 KB paid a twentieth
// of a quiet day for them.
func TestLargeAnswersAreKeptInTheZone(t *testing.T) {
	for _, tc := range []struct {
		name  string
		bytes int64
		busy  int // requests at the near target, of 10 slots
		want  string
	}{
		{"small, free", 5_000, 2, "near"},
		{"small, queue", 5_000, 11, "far"},
		{"large, busy", 300_000, 11, "near"},
		{"large, long queue", 300_000, 20, "far"},
		{"unknown, queue", -1, 11, "far"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := pair()
			for range 200 {
				b.Answered(time.Second, b.Endpoint("far"), "", tc.bytes, hold)
			}
			b.Report(time.Second, b.Endpoint("near"), slots.Load{Slots: 10, Running: tc.busy, Hold: 5 * hold})
			b.Report(time.Second, b.Endpoint("far"), slots.Load{Slots: 10, Running: 1, Hold: 5 * hold})
			g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal(tc.want))
		})
	}
}

// A target whose gate has just begun knows no hold time yet. Taken for fast it got
// the work of all senders at once: queues of six times the slots at one of 46
// targets, and refusals for a shortage that was none. Found on nsm-mast-large
// trouble-2, where nodes are stopped and started in turn.
func TestTargetWithoutAHoldTimeIsNotTakenForFast(t *testing.T) {
	const slow = 200 * time.Millisecond
	for _, tc := range []struct {
		name   string
		report *slots.Load // of the new target; nil: none yet
		picked string
	}{
		{"nothing is known", nil, "new"},
		{"free", &slots.Load{Slots: 10}, "new"},
		{"as full as the others", &slots.Load{Slots: 10, Running: 6}, "old"},
		{"fuller than the others", &slots.Load{Slots: 10, Running: 9, Waiting: 2}, "old"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", noRandom{})
			b.Update([]Target{{Node: "old", Zone: "a", Instance: "1", Slots: 10}, {Node: "new", Zone: "a", Instance: "2", Slots: 10}})
			b.Report(time.Second, b.Endpoint("old"), slots.Load{Slots: 10, Running: 5, Hold: slow})
			if tc.report != nil {
				b.Report(time.Second, b.Endpoint("new"), *tc.report)
			}
			if tc.picked == "new" {
				b.Report(time.Second, b.Endpoint("old"), slots.Load{Slots: 10, Running: 7, Hold: slow})
			}
			g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal(tc.picked))
		})
	}
}

// One target with a long queue among many is no shortage of the service, and an old
// report of a queue is none either. Found on nsm-mast-large trouble-2.
func TestOccupancyIsThatOfTheService(t *testing.T) {
	for _, tc := range []struct {
		name string
		full int           // targets with a queue of five times the slots
		age  time.Duration // of the reports of the others
		rest int           // running and waiting at the others, of ten slots
		most float64
		few  float64
	}{
		{"one of ten, the others fresh", 1, 0, 5, 0.8, 0.4},
		{"one of ten, the others aged", 1, time.Second, 5, 1, 0.4},
		{"all", 10, 0, 5, 6, 6},
		{"a shortage of which five reports are fresh", 5, time.Second, 20, 6, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", noRandom{})
			var targets []Target
			for i := range 10 {
				targets = append(targets, Target{Node: string(rune('a' + i)), Zone: "a", Instance: "1", Slots: 10})
			}
			b.Update(targets)
			now := 10 * time.Second
			for i, one := range targets {
				if i < tc.full {
					b.Report(now, b.Endpoint(one.Node), slots.Load{Slots: 10, Running: 10, Waiting: 50})
					continue
				}
				b.Report(now-tc.age, b.Endpoint(one.Node), slots.Load{Slots: 10, Running: tc.rest})
			}
			pressure, known := b.Pressure(now)
			g.Expect(known).To(BeTrue())
			g.Expect(pressure.Occupancy).To(And(BeNumerically("<=", tc.most), BeNumerically(">=", tc.few)))
		})
	}
}

// A shortage at a service of two targets, with queues of five times their slots, was
// seen as 2.5, since each counted with no more: half of the chains went on being let
// in, and waited. Found on cphx-claims trouble-3 (fd136a06).
func TestLongQueuesEverywhereCountWhole(t *testing.T) {
	for _, tc := range []struct {
		name  string
		queue []int // at each target of ten slots
		want  float64
	}{
		{"the only target", []int{50}, 6},
		{"both", []int{50, 50}, 6},
		{"one of two", []int{50, 0}, 1.75},
		{"two of three", []int{50, 50, 0}, 13.0 / 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", noRandom{})
			var targets []Target
			for i := range tc.queue {
				targets = append(targets, Target{Node: string(rune('a' + i)), Zone: "a", Instance: "1", Slots: 10})
			}
			b.Update(targets)
			for i, waiting := range tc.queue {
				load := slots.Load{Slots: 10, Running: 10, Waiting: waiting, Hold: hold}
				b.Report(time.Second, b.Endpoint(targets[i].Node), load)
			}
			pressure, known := b.Pressure(time.Second)
			g.Expect(known).To(BeTrue())
			g.Expect(pressure.Occupancy).To(BeNumerically("~", tc.want, 0.01))
		})
	}
}
