package balancer

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

type zeroRandom struct{}

func (zeroRandom) Float64() float64 { return 0 }

func newTwoZoneBalancer() *Balancer {
	b := New(DefaultConfig(), "me", "a", zeroRandom{})
	b.Update([]Target{
		{Node: "near", Zone: "a", Instance: "1", Slots: 10},
		{Node: "far", Zone: "b", Instance: "2", Slots: 10},
	})
	return b
}

const serviceTime = 20 * time.Millisecond

func report(b *Balancer, node string, running, waiting int) {
	b.Report(time.Second, b.Endpoint(node), slots.Load{Slots: 10, Running: running, Waiting: waiting, ServiceTime: serviceTime})
}

func TestIdleTargetInOwnZoneIsPreferred(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	report(b, "near", 3, 0)
	report(b, "far", 1, 0)
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("near"))
}

func TestSaturatedTargetIsAvoided(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	report(b, "near", 10, 4)
	report(b, "far", 2, 0)
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

// Guards against requests that are refused at a fast target with a queue while a slower target
// in another zone has free slots.
func TestQueueAtAFastNearTargetLosesToFreeSlotsFarAway(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Report(time.Second, b.Endpoint("near"), slots.Load{Slots: 13, Running: 13, Waiting: 13, ServiceTime: 25 * time.Millisecond})
	b.Report(time.Second, b.Endpoint("far"), slots.Load{Slots: 13, Running: 9, ServiceTime: 57 * time.Millisecond})
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

// A target that aborts all requests reports free slots and appears fast.
func TestTargetThatLosesEverythingIsLeftForAnother(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	report(b, "near", 0, 0)
	report(b, "far", 6, 0)
	for range 20 {
		b.Lost(time.Second, b.Endpoint("near"))
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("far"))
	g.Expect(b.Pick(time.Minute, Requirement{}, nil, false).Node).To(Equal("near"), "the loss rate decays")
}

// A target that declines requests reports free slots and would attract all senders.
func TestTargetThatDeclinesIsLeftForAnother(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
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
	g.Expect(b.Pick(time.Minute, Requirement{}, nil, false).Node).To(Equal("near"), "the loss rate decays")
}

// Declines must not affect the choice if all targets decline equally.
func TestDeclinesEverywhereChangeNothing(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
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
	b := newTwoZoneBalancer()
	report(b, "near", 0, 0)
	report(b, "far", 0, 0)
	b.Lost(time.Second, b.Endpoint("near"))
	for range 5 {
		b.Answered(time.Second, b.Endpoint("near"), "", 100, serviceTime)
	}
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("near"))
}

func TestOccupancyIsThatOfTheWholeService(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	_, known := b.ServiceLoad(time.Second)
	g.Expect(known).To(BeFalse())
	report(b, "near", 10, 10)
	report(b, "far", 0, 0)
	pressure, known := b.ServiceLoad(time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(pressure.Occupancy).To(Equal(1.0))
}

func TestRequestsSentSinceTheReportCount(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	report(b, "near", 5, 0)
	report(b, "far", 5, 0)
	for range 8 {
		b.Sent(0, b.Endpoint("near"))
	}
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("far"))
}

func TestSuspectIsPickedOnlyAsLastResort(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Suspect(time.Second, b.Endpoint("near"))
	best := b.Pick(time.Second, Requirement{}, nil, true)
	g.Expect(best.Node).To(Equal("far"))
	best = b.Pick(time.Second, Requirement{}, map[string]bool{"far": true}, true)
	g.Expect(best.Node).To(Equal("near"))
	best = b.Pick(time.Second, Requirement{}, map[string]bool{"far": true}, false)
	g.Expect(best).To(BeNil())
}

func TestNewInstanceClearsSuspicion(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Suspect(time.Second, b.Endpoint("near"))
	b.Update([]Target{{Node: "near", Zone: "a", Instance: "3", Slots: 10}, {Node: "far", Zone: "b", Instance: "2", Slots: 10}})
	best := b.Pick(time.Second, Requirement{}, nil, false)
	g.Expect(best.Node).To(Equal("near"))
}

// Guards against cross-zone traffic costs for large responses.
func TestLargeResponsesStayInTheZone(t *testing.T) {
	for _, tc := range []struct {
		name  string
		bytes int64
		busy  int // requests at the near target of 10 slots
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
			b := newTwoZoneBalancer()
			for range 200 {
				b.Answered(time.Second, b.Endpoint("far"), "", tc.bytes, serviceTime)
			}
			b.Report(time.Second, b.Endpoint("near"), slots.Load{Slots: 10, Running: tc.busy, ServiceTime: 5 * serviceTime})
			b.Report(time.Second, b.Endpoint("far"), slots.Load{Slots: 10, Running: 1, ServiceTime: 5 * serviceTime})
			g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal(tc.want))
		})
	}
}

// A newly started target reports no service time. It must not be assumed to be fast, or all
// senders pick it at once.
func TestTargetWithoutServiceTimeIsNotAssumedFast(t *testing.T) {
	const slow = 200 * time.Millisecond
	for _, tc := range []struct {
		name   string
		report *slots.Load // of the new target; nil: none
		picked string
	}{
		{"no report", nil, "new"},
		{"idle", &slots.Load{Slots: 10}, "new"},
		{"as busy as the other", &slots.Load{Slots: 10, Running: 6}, "old"},
		{"busier than the other", &slots.Load{Slots: 10, Running: 9, Waiting: 2}, "old"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", zeroRandom{})
			b.Update([]Target{{Node: "old", Zone: "a", Instance: "1", Slots: 10}, {Node: "new", Zone: "a", Instance: "2", Slots: 10}})
			b.Report(time.Second, b.Endpoint("old"), slots.Load{Slots: 10, Running: 5, ServiceTime: slow})
			if tc.report != nil {
				b.Report(time.Second, b.Endpoint("new"), *tc.report)
			}
			if tc.picked == "new" {
				b.Report(time.Second, b.Endpoint("old"), slots.Load{Slots: 10, Running: 7, ServiceTime: slow})
			}
			g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal(tc.picked))
		})
	}
}

// Neither a long queue at one of many targets nor a stale report of a queue is an overload of
// the service.
func TestOccupancyIsThatOfTheService(t *testing.T) {
	for _, tc := range []struct {
		name       string
		overloaded int           // targets with a queue of five times their slots
		age        time.Duration // of the other targets' reports
		load       int           // running and queued requests at the other targets of ten slots
		highest    float64
		lowest     float64
	}{
		{"one of ten overloaded, the others fresh", 1, 0, 5, 0.8, 0.4},
		{"one of ten overloaded, the others stale", 1, time.Second, 5, 1, 0.4},
		{"all overloaded", 10, 0, 5, 6, 6},
		{"all overloaded, five reports stale", 5, time.Second, 20, 6, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", zeroRandom{})
			var targets []Target
			for i := range 10 {
				targets = append(targets, Target{Node: string(rune('a' + i)), Zone: "a", Instance: "1", Slots: 10})
			}
			b.Update(targets)
			now := 10 * time.Second
			for i, one := range targets {
				if i < tc.overloaded {
					b.Report(now, b.Endpoint(one.Node), slots.Load{Slots: 10, Running: 10, Waiting: 50})
					continue
				}
				b.Report(now-tc.age, b.Endpoint(one.Node), slots.Load{Slots: 10, Running: tc.load})
			}
			pressure, known := b.ServiceLoad(now)
			g.Expect(known).To(BeTrue())
			g.Expect(pressure.Occupancy).To(And(BeNumerically("<=", tc.highest), BeNumerically(">=", tc.lowest)))
		})
	}
}

// The cap on a single report must not hide an overload when all targets have long queues.
func TestLongQueuesEverywhereCountWhole(t *testing.T) {
	for _, tc := range []struct {
		name  string
		queue []int // queued requests at each target of ten slots
		want  float64
	}{
		{"the only target", []int{50}, 6},
		{"both", []int{50, 50}, 6},
		{"one of two", []int{50, 0}, 1.75},
		{"two of three", []int{50, 50, 0}, 13.0 / 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(DefaultConfig(), "me", "a", zeroRandom{})
			var targets []Target
			for i := range tc.queue {
				targets = append(targets, Target{Node: string(rune('a' + i)), Zone: "a", Instance: "1", Slots: 10})
			}
			b.Update(targets)
			for i, waiting := range tc.queue {
				load := slots.Load{Slots: 10, Running: 10, Waiting: waiting, ServiceTime: serviceTime}
				b.Report(time.Second, b.Endpoint(targets[i].Node), load)
			}
			pressure, known := b.ServiceLoad(time.Second)
			g.Expect(known).To(BeTrue())
			g.Expect(pressure.Occupancy).To(BeNumerically("~", tc.want, 0.01))
		})
	}
}
