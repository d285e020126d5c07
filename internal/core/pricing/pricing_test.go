package pricing

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const interval = 50 * time.Millisecond

// overloaded returns a controller that has seen a load of a service for a time, and the time.
func overloaded(load float64, span time.Duration, routes ...Route) (*Controller, time.Duration) {
	c := New(DefaultConfig())
	now := time.Duration(0)
	for ; now < span; now += interval {
		for _, route := range routes {
			c.Observe(now, route, []Usage{{Service: "deep", SlotTime: slotTimes[route.Name], Offered: load}}, true)
		}
	}
	return c, now
}

var slotTimes = map[string]time.Duration{"large": 800 * time.Millisecond, "small": 100 * time.Millisecond, "urgent": 400 * time.Millisecond}

var (
	large  = Route{Name: "large"}
	small  = Route{Name: "small"}
	urgent = Route{Name: "urgent", Rank: 2}
)

func TestNothingIsRefusedBelowTheSetpoint(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(0.9, 20*time.Second, large, small)
	g.Expect(c.Admit(now, large)).To(Equal(Decision{Probability: 1}))
	g.Expect(c.Admit(now, Route{Name: "unknown"}).Probability).To(Equal(1.0))
}

func TestRoutesAreRefusedInOrder(t *testing.T) {
	for _, tc := range []struct {
		name        string
		span        time.Duration
		large       float64 // most
		small       float64
		urgentAbove float64
	}{
		{"soon after the burst", 500 * time.Millisecond, 0.5, 1, 0.99},
		{"after some seconds", 12 * time.Second, 0.31, 0.7, 0.5},
		{"in a long overload", time.Minute, 0.31, 0.31, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			c, now := overloaded(1.3, tc.span, large, small, urgent)
			g.Expect(c.Admit(now, large).Probability).To(BeNumerically("<=", tc.large))
			g.Expect(c.Admit(now, small).Probability).To(BeNumerically("<=", tc.small))
			g.Expect(c.Admit(now, small).Probability).To(BeNumerically(">=", c.Admit(now, large).Probability))
			g.Expect(c.Admit(now, urgent).Probability).To(BeNumerically(">=", c.Admit(now, small).Probability))
			g.Expect(c.Admit(now, urgent).Probability).To(BeNumerically(">", tc.urgentAbove))
			g.Expect(c.Admit(now, large).Service).To(Equal("deep"))
		})
	}
}

func TestRoutesThatDoNotNeedTheServiceAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(2, 5*time.Second, large)
	c.Observe(now, small, []Usage{{Service: "files", SlotTime: time.Second, Offered: 0.5}}, true)
	g.Expect(c.Admit(now, small).Probability).To(Equal(1.0))
}

// A node that gets no more reports must return to the decision without prices.
func TestPricesExpire(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(2, 5*time.Second, large)
	before, _ := c.Price(now, "deep")
	held, _ := c.Price(now+time.Second, "deep")
	g.Expect(held).To(Equal(before))
	g.Expect(c.Admit(now+20*time.Second, large)).To(Equal(Decision{Probability: 1}))
}

// A load of a single report after a pause must not be extrapolated over the pause.
func TestPauseDoesNotMoveThePrice(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(0.5, time.Second, large)
	c.Observe(now+1900*time.Millisecond, large, []Usage{{Service: "deep", SlotTime: time.Second, Offered: 5}}, true)
	price, _ := c.Price(now+1900*time.Millisecond, "deep")
	g.Expect(price).To(BeNumerically("<=", DefaultConfig().Rise*maxStep.Seconds()+DefaultConfig().Surcharge))
}

// Calls of a request that was not served are incomplete and must not make it look cheap.
func TestUnservedRequestsDoNotLowerNeeds(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(1, time.Second, large)
	for range 100 {
		c.Observe(now, large, []Usage{{Service: "deep", SlotTime: time.Millisecond, Offered: 1}}, false)
	}
	g.Expect(c.routes["large"].needs["deep"]).To(BeNumerically("~", float64(slotTimes["large"]), 1e7))
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	for _, offered := range []float64{0, -1, math.NaN()} {
		c.Observe(0, large, []Usage{{Service: "deep", SlotTime: -time.Second, Offered: offered}}, true)
	}
	g.Expect(c.services).To(BeEmpty())
	g.Expect(c.Admit(0, large)).To(Equal(Decision{Probability: 1}))
}
