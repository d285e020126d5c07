package slots

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func request(id uint64, importance int) Request {
	return Request{ID: id, Importance: importance, Deadline: time.Hour}
}

func TestConcurrencyIsBoundedByUsableSlots(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	sent := 0
	for id := uint64(1); id <= 40; id++ {
		for _, decision := range gate.Submit(0, request(id, 0)) {
			if decision.Send {
				sent++
			}
		}
	}
	g.Expect(sent).To(Equal(19))
	g.Expect(gate.Load(0).Waiting).To(Equal(21))
}

func TestQueueIsOrderedByImportance(t *testing.T) {
	g := NewWithT(t)
	gate := New(1)
	gate.Submit(0, request(1, 0))
	gate.Submit(0, request(2, 5))
	gate.Submit(0, request(3, 1))
	decisions := gate.Finish(1, 1, true)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal(uint64(3)))
}

func TestRequestThatWouldMissItsDeadlineIsRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	gate := New(1)
	gate.Submit(0, request(1, 0))
	late := request(2, 0)
	late.Deadline = initialServiceTime / 2
	g.Expect(gate.Submit(0, late)).To(Equal([]Decision{{ID: 2, Reason: ReasonTooLong}}))
}

func TestExpiredRequestIsNotDispatched(t *testing.T) {
	g := NewWithT(t)
	gate := New(1)
	gate.Submit(0, request(1, 0))
	short := request(2, 0)
	short.Deadline = time.Second
	gate.Submit(0, short)
	decisions := gate.Finish(2*time.Second, 1, true)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Send).To(BeFalse())
	g.Expect(decisions[0].Reason).To(Equal(ReasonExpired))
}

func TestDrainRefusesQueuedAndNewRequests(t *testing.T) {
	g := NewWithT(t)
	gate := New(1)
	gate.Submit(0, request(1, 0))
	gate.Submit(0, request(2, 0))
	g.Expect(gate.Drain(1)).To(Equal([]Decision{{ID: 2, Reason: ReasonDraining, Waited: 1}}))
	g.Expect(gate.Submit(2, request(3, 0))).To(Equal([]Decision{{ID: 3, Reason: ReasonDraining}}))
	g.Expect(gate.Finish(3, 1, true)).To(BeEmpty())
}

// A slow target completes few requests in time. Aborted requests must raise its mean service
// time, or its queue fills with requests that cannot finish by their deadlines.
func TestAbortedRunsRaiseServiceTime(t *testing.T) {
	const normal, slow = 50 * time.Millisecond, 700 * time.Millisecond
	for _, tc := range []struct {
		name     string
		lasted   time.Duration
		answered bool
		slower   bool
	}{
		{"slow response", slow, true, true},
		{"aborted late", slow, false, true},
		{"aborted early", normal / 2, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(1)
			now := time.Duration(0)
			run := func(id uint64, lasted time.Duration, answered bool) {
				gate.Submit(now, Request{ID: id, Deadline: now + time.Hour})
				now += lasted
				gate.Finish(now, id, answered)
			}
			for id := range uint64(200) {
				run(id, normal, true)
			}
			before := gate.Load(0).ServiceTime
			for id := range uint64(20) {
				run(1000+id, tc.lasted, tc.answered)
			}
			if tc.slower {
				g.Expect(gate.Load(0).ServiceTime).To(BeNumerically(">", 5*before))
			} else {
				g.Expect(gate.Load(0).ServiceTime).To(Equal(before))
			}
		})
	}
}

// In any order of events each request gets at most one decision, no more requests run than there
// are slots, and a draining gate sends nothing.
func TestGateInvariantsUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := New(rapid.IntRange(1, 5).Draw(t, "slots"))
		decided := map[uint64]bool{}
		atTarget := map[uint64]bool{}
		now := time.Duration(0)
		record := func(decisions []Decision) {
			for _, decision := range decisions {
				if decided[decision.ID] {
					t.Fatalf("request %d was decided twice", decision.ID)
				}
				decided[decision.ID] = true
				if decision.Send {
					atTarget[decision.ID] = true
				}
			}
		}
		for id := uint64(1); id <= 60; id++ {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				drained := gate.Drain(now)
				for _, decision := range drained {
					if decision.Send {
						t.Fatalf("drain sent request %d", decision.ID)
					}
				}
				record(drained)
			case 1, 2, 3:
				for running := range atTarget {
					delete(atTarget, running)
					record(gate.Finish(now, running, true))
					break
				}
			case 4:
				record(gate.Expire(now))
			default:
				one := request(id, rapid.IntRange(0, 3).Draw(t, "importance"))
				one.Deadline = now + time.Duration(rapid.IntRange(1, 200).Draw(t, "time"))*time.Millisecond
				draining := gate.Draining()
				decisions := gate.Submit(now, one)
				if draining && (len(decisions) != 1 || decisions[0].Send) {
					t.Fatalf("a draining gate decided %v", decisions)
				}
				record(decisions)
			}
			if load := gate.Load(0); load.Running > load.Slots || load.Running != len(atTarget) {
				t.Fatalf("%d at the target, %d reported, %d slots", len(atTarget), load.Running, load.Slots)
			}
		}
	})
}

// The first requests to finish are the shortest ones. Their service time must not be reported
// before there are enough samples.
func TestServiceTimeIsReportedOnceKnown(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	const lasts = 200 * time.Millisecond
	for id := uint64(1); id < minSamples; id++ {
		gate.Submit(0, request(id, 0))
		gate.Finish(lasts, id, true)
	}
	g.Expect(gate.Load(0).ServiceTime).To(BeZero())
	gate.Submit(0, request(minSamples, 0))
	gate.Finish(lasts, minSamples, true)
	g.Expect(gate.Load(0).ServiceTime).To(BeNumerically("~", lasts, time.Millisecond), "the initial service time does not affect the mean")
}

// A request with too little time left would hold slots along its whole chain in vain. The check
// must be by class, since service times differ between classes.
func TestWorkThatCannotEndInTimeIsNotBegun(t *testing.T) {
	const list, lookup = 2 * time.Second, 100 * time.Millisecond
	gate := New(20)
	now, id := time.Duration(0), uint64(0)
	for range minSamples {
		for class, lasts := range map[string]time.Duration{"list": list, "lookup": lookup} {
			id++
			gate.Submit(now, Request{ID: id, Class: class, Deadline: now + time.Hour})
			gate.Finish(now+lasts, id, true)
			now += list
		}
	}
	for _, tc := range []struct {
		name, class string
		left        time.Duration
		sent        bool
	}{
		{"list with enough time", "list", 2 * time.Second, true},
		{"list with barely enough time", "list", 1500 * time.Millisecond, true},
		{"list with too little time", "list", time.Second, false},
		{"lookup", "lookup", 200 * time.Millisecond, true},
		{"unknown class", "other", 200 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			id++
			decisions := gate.Submit(now, Request{ID: id, Class: tc.class, Deadline: now + tc.left})
			g.Expect(decisions).To(HaveLen(1))
			g.Expect(decisions[0].Send).To(Equal(tc.sent))
			gate.Finish(now, id, false)
		})
	}
}

// Withdraw refuses the selected requests that would wait too long, and no others.
func TestWithdraw(t *testing.T) {
	for _, tc := range []struct {
		name     string
		maxWait  time.Duration
		selected []uint64
		want     []uint64
	}{
		{"all that are selected", 0, []uint64{2, 3, 4, 5}, []uint64{3, 4, 5}},
		{"those behind the wait", 50 * time.Millisecond, []uint64{2, 3, 4, 5}, []uint64{5}},
		{"none that is not selected", 0, []uint64{1, 4}, []uint64{4}},
		{"none that waits less", time.Second, []uint64{2, 3, 4, 5}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(2) // one is usable; 20 ms are assumed for each request
			for id := uint64(1); id <= 5; id++ {
				gate.Submit(0, Request{ID: id, Deadline: time.Hour})
			}
			g.Expect(gate.Load(0)).To(HaveField("Running", 1))
			// Request 2 gets the slot of request 1.
			g.Expect(gate.Finish(0, 1, false)).To(HaveLen(1))
			var withdrawn []uint64
			for _, decision := range gate.Withdraw(time.Second, tc.maxWait, ReasonWithdrawn, func(id uint64) bool { return slices.Contains(tc.selected, id) }) {
				g.Expect(decision).To(And(HaveField("Send", false), HaveField("Reason", ReasonWithdrawn), HaveField("Waited", time.Second)))
				withdrawn = append(withdrawn, decision.ID)
			}
			g.Expect(withdrawn).To(Equal(tc.want))
			g.Expect(gate.Load(0).Waiting).To(Equal(3 - len(tc.want)))
		})
	}
}
