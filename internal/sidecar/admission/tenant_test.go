package admission

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// The share of a tenant must lower the probability of its requests while a service has a price, and only
// if the mechanism is enabled. What calls of running requests report counts like the results of requests.
func TestShareOfATenantLowersItsProbability(t *testing.T) {
	route := &intent.Route{Name: "read"}
	for _, tc := range []struct {
		name     string
		offered  float64
		disabled bool
		lowered  bool
	}{
		{"price", 1.15, false, true},
		{"no price", 0.8, false, false},
		{"disabled", 1.15, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			c := New(Options{Now: func() time.Duration { return now }, Configuration: fixedConfiguration{&intent.Intent{}}, WindowDisabled: true, TenantsDisabled: tc.disabled})
			needs := []wire.Need{{Service: "deep", Calls: 1, SlotTime: 100 * time.Millisecond, Offered: tc.offered, TenantLoad: 4}}
			for ; now < time.Second; now += 50 * time.Millisecond {
				c.RecordNeeds(route, needs, true, false)
				c.RecordTenant("hot", needs)
			}
			_, plain := c.Admit(route, "", time.Second)
			_, other := c.Admit(route, "other", time.Second)
			g.Expect(other).To(Equal(plain))
			for range 200 {
				admitted, decision := c.Admit(route, "hot", time.Second)
				if !tc.lowered {
					g.Expect(decision.Probability).To(Equal(plain.Probability))
					g.Expect(decision.OverShare).To(BeFalse())
					continue
				}
				g.Expect(decision.Probability).To(BeNumerically("<", plain.Probability-0.2))
				g.Expect(decision.TenantRatio).To(BeNumerically("~", 4, 0.01))
				g.Expect(admitted && decision.OverShare).To(BeFalse())
			}
		})
	}
}
