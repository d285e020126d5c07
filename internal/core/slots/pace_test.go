package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
	. "github.com/onsi/gomega"
)

// serveAt runs count requests of a class that take 100 ms at the usual pace, at a given pace.
func serveAt(gate *Gate, now time.Duration, class string, count int, factor float64) time.Duration {
	for id := range count {
		gate.ObservePace(now, factor)
		gate.Submit(now, Request{ID: uint64(id), Deadline: now + time.Minute, Class: class})
		now += time.Duration(100 * factor * float64(time.Millisecond))
		gate.ObservePace(now, factor)
		gate.Finish(now, uint64(id), true)
	}
	return now
}

// The mean service time must not follow the pace: it would be slow to rise and slow to fall again. The
// reported one must.
func TestServiceTimeFollowsThePaceAtOnce(t *testing.T) {
	g := NewWithT(t)
	gate := New(10)
	now := serveAt(gate, 0, "c", 50, 2.5)
	g.Expect(gate.Load(now).ServiceTime).To(BeNumerically("~", 250*time.Millisecond, time.Millisecond))
	g.Expect(gate.Load(now).Pace).To(Equal(2.5))
	gate.ObservePace(now, 0.5)
	g.Expect(gate.Load(now).ServiceTime).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	now += pace.MaxAge
	g.Expect(gate.Load(now).ServiceTime).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(gate.Load(now).Pace).To(BeZero())
}

// A pace that changes while a request runs must count with its mean.
func TestSampleUsesPaceAtBeginAndEnd(t *testing.T) {
	g := NewWithT(t)
	gate := New(10)
	for id := range uint64(minSamples) {
		now := time.Duration(id) * time.Second
		gate.ObservePace(now, 1)
		gate.Submit(now, Request{ID: id, Deadline: now + time.Minute})
		now += 200 * time.Millisecond
		gate.ObservePace(now, 3)
		gate.Finish(now, id, true)
	}
	g.Expect(gate.serviceTime.mean).To(BeNumerically("~", 100*time.Millisecond, time.Microsecond))
}

// A target that is slow at this moment provides less, so that the same requests are a higher load. With a
// queue, the limit of shortQueueLoad applies to its backlog at the pace.
func TestOfferedLoadFollowsThePace(t *testing.T) {
	for _, tc := range []struct {
		name        string
		requests    uint64
		usual, slow float64 // at 9 slots and 100 ms for each request
	}{
		{"without a queue", 9, 0.1 / 0.3, 0.2 / 0.3},
		{"with a short queue", 11, 11*0.1/0.3/9 + 2*0.1/9, 11*0.2/0.3/9 + 2*0.2/9},
		{"with a queue beyond toleratedBacklog", 20, 20*0.1/0.3/9 + 11*0.1/9, 0.9 + (11*0.2/9-0.1)/0.3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			offered := func(factor float64) float64 {
				gate := New(10)
				now := serveAt(gate, 0, "c", 50, 1) + 10*time.Second
				gate.ObservePace(now, factor)
				for id := range tc.requests {
					gate.Submit(now, Request{ID: 1000 + id, Deadline: now + time.Minute, Class: "c"})
				}
				return gate.OfferedLoad(now)
			}
			g.Expect(offered(1)).To(BeNumerically("~", tc.usual, 0.001))
			g.Expect(offered(2)).To(BeNumerically("~", tc.slow, 0.001))
		})
	}
}

// The share of a request is left out at the pace at which it was counted, or a slow target without other
// requests would report load.
func TestOfferedLoadBesidesFollowsThePace(t *testing.T) {
	g := NewWithT(t)
	gate := New(10)
	now := serveAt(gate, 0, "c", 50, 1) + 10*time.Second
	gate.ObservePace(now, 2)
	gate.Submit(now, Request{ID: 1000, Deadline: now + time.Minute, Class: "c"})
	g.Expect(gate.OfferedLoad(now)).To(BeNumerically("~", 0.2/0.3/9, 0.001))
	g.Expect(gate.OfferedLoadBesides(now, "c", now)).To(Equal(minOfferedLoad))
}

// The time of downstream calls does not depend on the pace: a service whose requests mostly wait for calls
// would seem overloaded when its targets are slow for a moment.
func TestOfferedLoadLeavesOutDownstreamCalls(t *testing.T) {
	g := NewWithT(t)
	offered := func(factor float64) float64 {
		gate, now := New(10), time.Duration(0)
		for id := range uint64(50) { // 80 of 100 ms in calls
			gate.ObservePace(now, 2)
			gate.Submit(now, Request{ID: id, Deadline: now + time.Minute, Class: "c"})
			now += 120 * time.Millisecond
			gate.ObservePace(now, 2)
			gate.SetPaceShare(id, 0.2)
			gate.Finish(now, id, true)
		}
		now += 10 * time.Second
		gate.ObservePace(now, factor)
		for id := range uint64(20) {
			gate.Submit(now, Request{ID: 1000 + id, Deadline: now + time.Minute, Class: "c"})
		}
		g.Expect(gate.classes["c"].mean).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
		return gate.OfferedLoad(now)
	}
	g.Expect(offered(2)).To(BeNumerically("~", 1.2*offered(1), 0.01))
}

// A target that is slow now may be fast again soon: requests that fit at the usual pace must not be
// refused.
func TestSlowPaceRefusesNoMoreForTheirDeadline(t *testing.T) {
	for _, tc := range []struct {
		name   string
		factor float64
		left   time.Duration
		send   bool
	}{
		{"usual, enough time", 1, 80 * time.Millisecond, true},
		{"usual, too late", 1, 60 * time.Millisecond, false},
		{"slow, enough time", 2.5, 80 * time.Millisecond, true},
		{"fast, enough time", 0.5, 40 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(10)
			now := serveAt(gate, 0, "c", 50, 1)
			gate.ObservePace(now, tc.factor)
			decisions := gate.Submit(now, Request{ID: 1000, Deadline: now + tc.left, Class: "c"})
			g.Expect(decisions).To(HaveLen(1))
			g.Expect(decisions[0].Send).To(Equal(tc.send))
		})
	}
}

// A gate whose target states the usual pace must decide and report as one whose target states none.
func TestUsualPaceChangesNothing(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	stated, silent := New(5), New(5)
	running := map[uint64]bool{}
	now := time.Duration(0)
	for id := range uint64(5000) {
		now += time.Duration(random.Int64N(int64(8 * time.Millisecond)))
		stated.ObservePace(now, pace.Usual)
		request := Request{ID: id, Importance: random.IntN(3), Deadline: now + time.Duration(random.Int64N(int64(200*time.Millisecond))), Class: string("ab"[random.IntN(2)])}
		decisions := stated.Submit(now, request)
		g.Expect(silent.Submit(now, request)).To(Equal(decisions))
		for candidate := range running {
			if random.IntN(4) == 0 {
				answered := random.IntN(5) > 0
				more := stated.Finish(now, candidate, answered)
				g.Expect(silent.Finish(now, candidate, answered)).To(Equal(more))
				decisions = append(decisions, more...)
				delete(running, candidate)
			}
		}
		for _, decision := range decisions {
			if decision.Send {
				running[decision.ID] = true
			}
		}
		load := stated.Load(now)
		load.Pace = 0
		g.Expect(silent.Load(now)).To(Equal(load))
		g.Expect(silent.OfferedLoad(now)).To(Equal(stated.OfferedLoad(now)))
		g.Expect(silent.OfferedLoadBesides(now, request.Class, now)).To(Equal(stated.OfferedLoadBesides(now, request.Class, now)))
	}
}
