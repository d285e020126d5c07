package arrival

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// The demand of several calls is combined on the way to the start of the chain: a price is made of the
// mean load, and the order of routes of the total slot time.
func TestNeedsOfCallsAreCombined(t *testing.T) {
	g := NewWithT(t)
	r := &Running{needs: map[string]wire.Need{}}
	r.AddNeeds([]wire.Need{{Service: "deep", Calls: 1, SlotTime: 50 * time.Millisecond, Offered: 0.6, TenantLoad: 1, Wait: 40 * time.Millisecond}})
	r.AddNeeds([]wire.Need{{Service: "deep", Calls: 3, SlotTime: 150 * time.Millisecond, Offered: 1.4, TenantLoad: 3}, {Service: "files", Calls: 1}})
	r.AddNeeds([]wire.Need{{Service: "files", Calls: 1, SlotTime: 5 * time.Millisecond, Offered: 0.3}})
	needs := map[string]wire.Need{}
	for _, need := range r.collectNeeds() {
		needs[need.Service] = need
	}
	g.Expect(needs["deep"].Calls).To(Equal(4))
	g.Expect(needs["deep"].SlotTime).To(Equal(200 * time.Millisecond))
	g.Expect(needs["deep"].Offered).To(BeNumerically("~", 1.2, 1e-9))
	g.Expect(needs["deep"].TenantLoad).To(BeNumerically("~", 2.5, 1e-9))
	g.Expect(needs["deep"].Wait).To(Equal(10 * time.Millisecond))
	g.Expect(needs["files"].SlotTime).To(Equal(5 * time.Millisecond))
	g.Expect(needs["files"].Offered).To(Equal(0.3), "a call whose load is unknown does not count")
}
