package admission

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

type fixedConfiguration struct{ intent *intent.Intent }

func (f fixedConfiguration) Load() *intent.Intent { return f.intent }

// A node beside a target sees the calls of that target. Their routes must not change the order of the
// routes that clients ask for, or nodes disagree about it; their loads count.
func TestRoutesOfCallsTakeNoPartInTheOrder(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	c := New(Options{Now: func() time.Duration { return now }, Configuration: fixedConfiguration{&intent.Intent{}}})
	entered, inner := &intent.Route{Name: "entered"}, &intent.Route{Name: "inner"}
	needs := func(slotTime time.Duration) []wire.Need {
		return []wire.Need{{Service: "deep", Calls: 1, SlotTime: slotTime, Offered: 1.5}}
	}
	c.RecordNeeds(entered, needs(100*time.Millisecond), true, false)
	for ; now < time.Second; now += 50 * time.Millisecond {
		c.RecordNeeds(inner, needs(time.Second), true, true)
	}
	_, decision := c.Admit(entered, "", time.Second)
	g.Expect(decision.Price).To(BeNumerically(">", 1), "of the loads of calls")
	g.Expect(decision.Merit).To(BeZero())
}

// Either mechanism must be able to refuse, and a switch in the policy must leave the other one alone.
func TestLesserProbabilityAdmits(t *testing.T) {
	const timeout = time.Second
	route := &intent.Route{Name: "read"}
	for _, tc := range []struct {
		name                           string
		offered                        float64 // of the service that the route needs
		inFlight                       int     // requests in flight; the window holds 8 at first
		windowDisabled, pricesDisabled bool
		probability                    float64 // most
		bottleneck                     string
		price                          bool
	}{
		{"room", 0.5, 0, false, false, 1, "", false},
		{"price, window open", 2, 0, false, false, 0.3, "deep", true},
		{"window full, no price", 0.5, 8, false, false, 0, "", false},
		{"window full, price", 2, 8, false, false, 0, "", false},
		{"window disabled", 2, 8, true, false, 0.3, "deep", true},
		{"prices disabled", 2, 0, false, true, 1, "", false},
		{"both disabled", 2, 8, true, true, 1, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			c := New(Options{Now: func() time.Duration { return now }, Configuration: fixedConfiguration{&intent.Intent{}}, WindowDisabled: tc.windowDisabled, PricesDisabled: tc.pricesDisabled})
			for range tc.inFlight {
				c.core.Begin(now, route.Name)
			}
			for ; now < time.Second; now += 50 * time.Millisecond {
				c.RecordNeeds(route, []wire.Need{{Service: "deep", Calls: 1, SlotTime: 100 * time.Millisecond, Offered: tc.offered}}, true, false)
			}
			_, decision := c.Admit(route, "", timeout)
			g.Expect(decision.Probability).To(BeNumerically("<=", tc.probability))
			if tc.probability == 1 {
				g.Expect(decision.Probability).To(Equal(1.0))
			}
			g.Expect(decision.Bottleneck).To(Equal(tc.bottleneck))
			g.Expect(decision.Price > 0).To(Equal(tc.price))
		})
	}
}
