package target

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	. "github.com/onsi/gomega"
)

// waitForDecisions submits a request for each time left and returns how long each one waited.
func waitForDecisions(gate *Gate, left []time.Duration) ([]time.Duration, []slots.Decision) {
	waited, decisions := make([]time.Duration, len(left)), make([]slots.Decision, len(left))
	var group sync.WaitGroup
	for i := range left {
		group.Add(1)
		start := time.Now()
		go func() {
			defer group.Done()
			_, decisions[i] = gate.Acquire(context.Background(), Origin{}, slots.Request{Deadline: gate.now() + left[i]})
			waited[i] = time.Since(start)
		}()
		synctest.Wait() // keeps the order of arrival
	}
	group.Wait()
	return waited, decisions
}

func newClockedGate(slotCount int) *Gate {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Second }
	return newGate(now, roster.Report{Instance: "i", Service: "s", Slots: slotCount}, targetlink.New(targetlink.Options{}))
}

// Guards against a timer that is set for a request with a later deadline, or not set again.
func TestQueuedRequestsAreRefusedAtTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newClockedGate(1)
		_, first := gate.Acquire(t.Context(), Origin{}, slots.Request{Deadline: time.Hour})
		g.Expect(first.Send).To(BeTrue())
		left := []time.Duration{3 * time.Second, 900 * time.Millisecond, 897 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second}
		waited, decisions := waitForDecisions(gate, left)
		for i := range left {
			g.Expect(decisions[i].Reason).To(Equal(slots.ReasonExpired))
			g.Expect(waited[i]).To(And(BeNumerically(">=", left[i]), BeNumerically("<=", left[i]+minExpiryInterval)))
		}
	})
}

// Guards against requests that stay queued when tokens become available, for which nobody calls.
func TestQueuedRequestsAreSentWhenTokensBecomeAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newClockedGate(50)
		gate.ObserveRate(gate.now(), 10)
		left := make([]time.Duration, 5)
		for i := range left {
			left[i] = time.Minute
		}
		waited, decisions := waitForDecisions(gate, left)
		for i := range left {
			g.Expect(decisions[i].Send || decisions[i].Reason == slots.ReasonRateLimited).To(BeTrue())
			if decisions[i].Send {
				g.Expect(waited[i] % (100 * time.Millisecond)).To(BeNumerically("<=", minExpiryInterval))
			}
		}
		g.Expect(decisions[len(left)-1].Send).To(BeTrue())
		g.Expect(waited[len(left)-1]).To(BeNumerically(">", 0))
	})
}

// Guards against deadlines that pass unnoticed while the machine is suspended: the gate's clock
// advances then, but timers do not.
func TestDeadlinesPassDuringASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newClockedGate(1)
		var mu sync.Mutex
		suspended, running := time.Duration(0), gate.now
		gate.now = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return running() + suspended
		}
		_, first := gate.Acquire(t.Context(), Origin{}, slots.Request{Deadline: time.Hour})
		g.Expect(first.Send).To(BeTrue())
		time.AfterFunc(time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			suspended = time.Minute
		})
		waited, decisions := waitForDecisions(gate, []time.Duration{30 * time.Second})
		g.Expect(decisions[0].Reason).To(Equal(slots.ReasonExpired))
		g.Expect(waited[0]).To(BeNumerically("<=", time.Second+maxExpiryInterval))
	})
}

// Guards against sending a request whose client has disconnected, and against losing its slot.
func TestCanceledRequestTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := newClockedGate(1)
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		for range 20 {
			_, decision := gate.Acquire(canceled, Origin{}, slots.Request{Deadline: time.Hour})
			g.Expect(decision.Send).To(BeFalse())
		}
		_, decision := gate.Acquire(t.Context(), Origin{}, slots.Request{Deadline: time.Hour})
		g.Expect(decision.Send).To(BeTrue())
	})
}
