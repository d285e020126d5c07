package slots

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Senders notice a shortage, and learn what their requests need, at different times. When each sender
// chose between the order by timeout and the order by need, requests of those that had noticed were
// overtaken until they had no time left. None may be overtaken by one that arrives later than the
// difference of their delays.
func TestSendersThatKnowLessOvertakeForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	const known, unknown = 300 * time.Millisecond, 160 * time.Millisecond
	gate, now := New(4), time.Duration(0)
	var sent []uint64
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Send {
				sent = append(sent, d.ID)
			}
		}
	}
	arrived := func(id uint64) time.Duration { return time.Duration(id) * 10 * time.Millisecond }
	for id := uint64(1); id < 400; id++ { // a third more than the target can do
		for now = arrived(id); len(gate.running) > 0; {
			oldest := uint64(math.MaxUint64)
			for running := range gate.running {
				oldest = min(oldest, running)
			}
			if now-gate.running[oldest].startedAt < 40*time.Millisecond {
				break
			}
			apply(gate.Finish(now, oldest, true))
		}
		request := Request{ID: id, Importance: 1000, NeedDelay: unknown, Deadline: now + time.Minute, Class: "front"}
		if id%2 == 0 {
			request.Importance, request.NeedDelay, request.NeedKnown = 1040, known, true
		}
		apply(gate.Submit(now, request))
	}
	g.Expect(len(sent)).To(BeNumerically(">", 200))
	latest := time.Duration(0)
	for _, id := range sent[100:] { // the queue is long by then
		latest = max(latest, arrived(id))
		g.Expect(latest-arrived(id)).To(BeNumerically("<=", known-unknown), "request %d", id)
	}
	g.Expect(gate.scarcity.active).To(BeTrue())
}

// A target that is asked for more than it provides serves the chains that need least first; one with
// room keeps the order by timeout, and so does one whose senders know no needs.
func TestQueueIsOrderedByNeedWhileTheTargetIsScarce(t *testing.T) {
	for _, tc := range []struct {
		name    string
		refused int // requests without time left that arrive at the same moment
		known   bool
		wait    time.Duration // until the queue is looked at, with a request that has no time left
		order   []uint64
	}{
		{"scarce", 400, true, 0, []uint64{102, 101}},
		{"with room", 0, true, 0, []uint64{101, 102}},
		{"scarce, needs unknown", 400, false, 0, []uint64{101, 102}},
		{"scarce a moment ago", 400, true, scarceHold - time.Millisecond, []uint64{102, 101}},
		{"a backlog outlasts the burst", 400, true, scarceHold, []uint64{102, 101}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate, now := New(10), time.Minute
			for id := uint64(1); id <= uint64(gate.slots); id++ {
				gate.Submit(now, Request{ID: id, Deadline: time.Hour})
			}
			gate.Submit(now, Request{ID: 101, Importance: 10, NeedDelay: 40 * time.Millisecond, NeedKnown: tc.known, Deadline: time.Hour})
			for range tc.refused {
				gate.Submit(now, Request{ID: 200})
			}
			gate.Submit(now, Request{ID: 102, Importance: 20, NeedDelay: 30 * time.Millisecond, NeedKnown: tc.known, Deadline: time.Hour})
			gate.Submit(now+tc.wait, Request{ID: 201, NeedKnown: tc.known})
			var order []uint64
			for _, item := range gate.queue {
				order = append(order, item.request.ID)
			}
			g.Expect(order).To(Equal(tc.order))
		})
	}
}

// Once its queue has been empty for a while, a target is scarce no more; and one that takes a few requests a second
// is not scarce for each of them.
func TestScarcityEnds(t *testing.T) {
	g := NewWithT(t)
	gate, now := New(10), time.Minute
	for range 400 {
		gate.Submit(now, Request{ID: 1, NeedKnown: true})
	}
	g.Expect(gate.scarcity.active).To(BeTrue())
	gate.Submit(now+scarceHold, Request{ID: 1, NeedKnown: true})
	g.Expect(gate.scarcity.active).To(BeFalse())

	slow := New(1)
	slow.SetRateLimit(now, 1)
	for range 20 {
		now += 2 * time.Second
		slow.Submit(now, Request{ID: 1, NeedKnown: true})
		g.Expect(slow.scarcity.active).To(BeFalse())
	}
}
