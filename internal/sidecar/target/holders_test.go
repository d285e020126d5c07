package target

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

// The statement must come only in a shortage and at most once in holdersInterval, and a shortage that
// begins must be stated without waiting for that long.
func TestHoldersAreStatedInAShortageOnly(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	local := newLocal(clock, false)
	g.Expect(local.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
	gate := local.Current()
	statedWithin := func(span time.Duration, arrive func()) (at []time.Duration) {
		for end := clock.Now() + span; clock.Now() < end; clock.Advance(10 * time.Millisecond) {
			if holders, due := gate.DueHolders(); due {
				at = append(at, clock.Now())
				g.Expect(holders.Load.Offered).To(BeNumerically(">", scarceLoad))
				g.Expect(holders.Routes).To(Equal([]slots.Holder{{Name: "read", Running: 9, Waiting: 72}}))
				g.Expect(holders.Tenants).To(Equal([]slots.Holder{{Name: "t", Running: 9, Waiting: 72}}))
			}
			arrive()
		}
		return at
	}
	request := func() *slots.Request {
		return &slots.Request{Class: "read", Tenant: "t", Deadline: clock.Now() + time.Hour}
	}
	quiet := func() { // 20 ms are assumed for each: 0.2 of what 9 slots provide
		served := request()
		gate.submit(Origin{}, served)
		gate.Release(served.ID, false)
	}
	g.Expect(statedWithin(5*time.Second, quiet)).To(BeEmpty())
	for range 9 + 72 { // fill the slots and the queue
		gate.submit(Origin{}, request())
	}
	began := clock.Now()
	stated := statedWithin(10*time.Second, func() {
		for range 10 {
			gate.submit(Origin{}, request())
		}
	})
	g.Expect(stated).To(HaveLen(5))
	g.Expect(stated[0] - began).To(BeNumerically("<=", scarcityCheckInterval))
	for i := 1; i < len(stated); i++ {
		g.Expect(stated[i] - stated[i-1]).To(BeNumerically(">=", holdersInterval))
	}
}
