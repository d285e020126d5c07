package pricing

import (
	"math"
	"strconv"
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
	g.Expect(c.Admit(now, Request{Route: large})).To(Equal(Decision{Probability: 1, RelativeNeed: 1, NeedKnown: true}))
	g.Expect(c.Admit(now, Request{Route: Route{Name: "unknown"}}).Probability).To(Equal(1.0))
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
			g.Expect(c.Admit(now, Request{Route: large}).Probability).To(BeNumerically("<=", tc.large))
			g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<=", tc.small))
			g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically(">=", c.Admit(now, Request{Route: large}).Probability))
			g.Expect(c.Admit(now, Request{Route: urgent}).Probability).To(BeNumerically(">=", c.Admit(now, Request{Route: small}).Probability))
			g.Expect(c.Admit(now, Request{Route: urgent}).Probability).To(BeNumerically(">", tc.urgentAbove))
			g.Expect(c.Admit(now, Request{Route: large}).Service).To(Equal("deep"))
		})
	}
}

func TestRoutesThatDoNotNeedTheServiceAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(2, 5*time.Second, large)
	c.Observe(now, small, []Usage{{Service: "files", SlotTime: time.Second, Offered: 0.5}}, true)
	g.Expect(c.Admit(now, Request{Route: small}).Probability).To(Equal(1.0))
}

// A node that gets no more reports must return to the decision without prices.
func TestPricesExpire(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(2, 5*time.Second, large)
	before, _ := c.Price(now, "deep")
	held, _ := c.Price(now+time.Second, "deep")
	g.Expect(held).To(Equal(before))
	g.Expect(c.Admit(now+20*time.Second, Request{Route: large})).To(Equal(Decision{Probability: 1, RelativeNeed: 1, NeedKnown: true}))
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
	g.Expect(c.routes["large"].needs["deep"].slotTime).To(BeNumerically("~", float64(slotTimes["large"]), 1e7))
}

// A single request at a target that hangs must not change the order of the routes for long: its route
// may have few others that lower the mean again.
func TestFailedRequestHardlyRaisesNeeds(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(1, time.Second, small)
	c.Observe(now, small, []Usage{{Service: "deep", SlotTime: 10 * slotTimes["small"], Offered: 1}}, false)
	g.Expect(c.routes["small"].needs["deep"].slotTime).To(BeNumerically("<", 1.5*float64(slotTimes["small"])))
	for range 100 {
		c.Observe(now, small, []Usage{{Service: "deep", SlotTime: 10 * slotTimes["small"], Offered: 1}}, false)
	}
	g.Expect(c.routes["small"].needs["deep"].slotTime).To(BeNumerically(">", 9*float64(slotTimes["small"])), "all requests take longer")
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	for _, offered := range []float64{0, -1, math.NaN()} {
		c.Observe(0, large, []Usage{{Service: "deep", SlotTime: -time.Second, Offered: offered}}, true)
	}
	g.Expect(c.services).To(BeEmpty())
	g.Expect(c.Admit(0, Request{Route: large})).To(Equal(Decision{Probability: 1}))
}

// A request that was refused and returns in time must find room before new ones of its route, or it is
// refused again; it must not displace a more important route.
func TestReturningRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(1.3, 800*time.Millisecond, large, urgent)
	admit := func(route Route, deadline time.Duration) Decision {
		return c.Admit(now, Request{Route: route, Deadline: deadline})
	}
	fresh := admit(large, 5*time.Second)
	returning := admit(large, 4200*time.Millisecond)
	g.Expect(fresh.Returning).To(BeFalse())
	g.Expect(returning.Returning).To(BeTrue())
	g.Expect(fresh.Probability).To(BeNumerically("<", 0.6))
	g.Expect(returning.Probability - fresh.Probability).To(BeNumerically(">", 0.4))
	g.Expect(returning.Merit).To(BeNumerically("<", admit(urgent, 5*time.Second).Merit))
	g.Expect(admit(large, 4990*time.Millisecond).Returning).To(BeFalse(), "rounding")
	g.Expect(admit(large, 0).Returning).To(BeFalse(), "no deadline stated")
}

// When clients begin to state shorter deadlines, new requests must not count as returning for long.
func TestStartingDeadlineFollowsClients(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	admit := func(now, deadline time.Duration) bool {
		return c.Admit(now, Request{Route: large, Deadline: deadline}).Returning
	}
	g.Expect(admit(0, 5*time.Second)).To(BeFalse())
	g.Expect(admit(time.Second, 2*time.Second)).To(BeTrue())
	g.Expect(admit(11*time.Second, 2*time.Second)).To(BeFalse())
	g.Expect(admit(12*time.Second, 2*time.Second)).To(BeFalse())
}

// Results are recorded by concurrent requests. A sample that is recorded late must neither move the
// price backward nor make the next one count twice.
func TestSamplesOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(1.5, time.Second, large)
	before := *c.services["deep"]
	c.Observe(now-500*time.Millisecond, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.5}}, true)
	g.Expect(c.services["deep"].price).To(Equal(before.price))
	g.Expect(c.services["deep"].sampledAt).To(Equal(before.sampledAt))
}

// A route whose requests do not call a service any more must not be refused by its price.
func TestServicesNoLongerCalledAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c, now := overloaded(1.3, time.Second, large, small)
	for end := now + time.Minute; now < end; now += interval {
		c.Observe(now, small, []Usage{{Service: "deep", SlotTime: slotTimes["small"], Offered: 1.3}}, true)
		c.Observe(now, large, []Usage{{Service: "files", SlotTime: slotTimes["large"], Offered: 0.5}}, true)
	}
	g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<", 0.5))
	g.Expect(c.Admit(now, Request{Route: large})).To(Equal(Decision{Probability: 1}))
}

// Routes and services that vanish from the configuration must not accumulate, also without overload.
func TestVanishedRoutesAndServicesAreRemoved(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	now := time.Duration(0)
	for generation := range 1000 {
		name := strconv.Itoa(generation)
		c.Observe(now, Route{Name: name}, []Usage{{Service: name, SlotTime: time.Second, Offered: 0.5}}, true)
		c.Observe(now, small, []Usage{{Service: name, SlotTime: time.Second, Offered: 0.5}}, true)
		now += time.Second
	}
	const kept = 35 // those of the last 30 s, and a few until the next check
	g.Expect(len(c.routes)).To(BeNumerically("<=", kept))
	g.Expect(len(c.services)).To(BeNumerically("<=", kept))
	g.Expect(len(c.routes["small"].needs)).To(BeNumerically("<=", kept))
}

// Of several services with a price, the scarcest one must decide, also if the request is admitted by all:
// the order of its calls and the log follow the decision.
func TestScarcestServiceDecides(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	route := Route{Name: "urgent", Rank: 5}
	now := time.Duration(0)
	for ; now < time.Second; now += interval {
		c.Observe(now, route, []Usage{
			{Service: "files", SlotTime: 100 * time.Millisecond, Offered: 1.05},
			{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.5},
			{Service: "mail", SlotTime: 100 * time.Millisecond, Offered: 1.1},
		}, true)
	}
	for range 50 { // the order of a map varies
		decision := c.Admit(now, Request{Route: route})
		g.Expect(decision.Probability).To(Equal(1.0))
		g.Expect(decision.Service).To(Equal("deep"))
	}
}

// A client with an unusually long deadline must not make the requests of all others look returning.
func TestSingleLongDeadline(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	returning := 0
	for request := range 1000 {
		deadline := 4 * time.Second
		if request%500 == 0 {
			deadline = time.Hour
		}
		if c.Admit(time.Duration(request)*20*time.Millisecond, Request{Route: large, Deadline: deadline}).Returning {
			returning++
		}
	}
	g.Expect(returning).To(BeNumerically("<", 250))
}

// Nodes come to a price at different times. Those that have none yet must name the needs of their
// chains as the others do, for the service that becomes scarce.
func TestNeedsAreKnownBeforeThereIsAPrice(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	now := time.Duration(0)
	observe := func(load float64) {
		for range 100 {
			now += interval
			c.Observe(now, small, []Usage{{Service: "deep", SlotTime: slotTimes["small"], Offered: load}, {Service: "files", SlotTime: time.Second, Offered: 0.2}}, true)
			c.Observe(now, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: load}}, true)
		}
	}
	observe(0.5)
	g.Expect(c.Admit(now, Request{Route: small}).NeedKnown).To(BeFalse(), "no service is near its capacity")
	observe(0.8)
	before := c.Admit(now, Request{Route: small})
	g.Expect(before.NeedKnown).To(BeTrue())
	g.Expect(before.Service).To(BeEmpty())
	observe(1.2)
	with := c.Admit(now, Request{Route: small})
	g.Expect(with.Service).To(Equal("deep"))
	g.Expect(with.RelativeNeed).To(BeNumerically("~", before.RelativeNeed, 0.01))
	now += 10 * time.Second
	g.Expect(c.Admit(now, Request{Route: small}).NeedKnown).To(BeTrue(), "a node that refuses nearly all gets no reports")
}
