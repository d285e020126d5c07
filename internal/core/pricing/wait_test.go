package pricing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// waiting returns a controller whose service is just below its setpoint while chains of a route wait
// for it for a share of what their window bears, and the time.
func waiting(share float64, span time.Duration, waits Route, routes ...Route) (*Controller, time.Duration) {
	c := New(DefaultConfig())
	now := time.Duration(0)
	for ; now < span; now += interval {
		for _, route := range routes {
			c.Observe(now, route, []Usage{{Service: "deep", SlotTime: slotTimes[route.Name], Offered: 0.9}}, true)
		}
		c.ObserveWait(now, waits, "deep", share)
	}
	return c, now
}

// Chains of many short calls are late at short queues, in which a target is not overloaded. Routes that
// need more of the service must be refused before the window of those chains closes.
func TestWaitsOfChainsRaiseThePrice(t *testing.T) {
	for _, tc := range []struct {
		name    string
		share   float64
		refused bool
	}{
		{"shorter than windows act on", 0.4, false},
		{"as long as windows act on", 0.8, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			c, now := waiting(tc.share, 8*time.Second, small, small, large)
			share := c.Admit(now, Request{Route: large}).Probability
			g.Expect(share < 0.9).To(Equal(tc.refused), "%.2f", share)
			g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically(">=", share))
			g.Expect(c.Admit(now+waitExpiry+time.Millisecond, Request{Route: large}).Price).To(BeNumerically("<=", c.Admit(now, Request{Route: large}).Price))
		})
	}
}

// A route must not refuse more important ones for its own waits, however long they are.
func TestWaitsOfALessImportantRouteRefuseNoMoreImportantOne(t *testing.T) {
	g := NewWithT(t)
	c, now := waiting(20, time.Minute, large, urgent, large, small)
	g.Expect(c.Admit(now, Request{Route: large}).Probability).To(BeNumerically("<", 0.5))
	g.Expect(c.Admit(now, Request{Route: urgent}).Probability).To(Equal(1.0))
}

// The route that waits longest decides, and another one once its waits have ended.
func TestLongestWaitDecides(t *testing.T) {
	g := NewWithT(t)
	var w waitSignal
	now := time.Duration(0)
	observe := func(span time.Duration, shares map[string]float64) {
		for end := now + span; now < end; now += 20 * time.Millisecond {
			for route, share := range shares {
				w.observe(now, route, share)
			}
		}
	}
	observe(2*time.Second, map[string]float64{"short": 0.2, "long": 1.5})
	g.Expect(w.current(now)).To(BeNumerically("~", 1.5, 0.1))
	observe(2*time.Second, map[string]float64{"short": 0.8, "long": 0.1})
	g.Expect(w.current(now)).To(BeNumerically("~", 0.8, 0.1))
	g.Expect(w.current(now + waitExpiry + 1)).To(BeZero())
}

// Without reports of the service a wait says nothing of it, and a wait that is no number nothing at all.
func TestWaitsOfUnknownServicesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	c.ObserveWait(0, small, "deep", 9)
	g.Expect(c.services).To(BeEmpty())
}
