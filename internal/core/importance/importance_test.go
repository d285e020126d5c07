package importance

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

func TestImportanceOrdersByPriorityThenUrgencyThenWork(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	payout := Of(route(0), nil, 800*time.Millisecond)
	report := Of(route(2), nil, 250*time.Millisecond)
	status := Of(route(2), nil, 1200*time.Millisecond)
	endless := Of(route(2), nil, time.Hour)
	last := Of(route(3), nil, 10*time.Millisecond)
	order := []int{OfCall(payout), payout, OfCall(report), report, OfCall(status), status, OfCall(endless), endless, last}
	for i := 1; i < len(order); i++ {
		g.Expect(order[i]).To(BeNumerically(">", order[i-1]), "place %d of %v", i, order)
	}
	g.Expect(OfCall(OfCall(status))).To(Equal(OfCall(status)), "nested call")
}

func TestTenantPriorityOrdersWithinARoutePriority(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	tenant := func(priority int) *intent.Tenant { return &intent.Tenant{Priority: priority, HasPriority: true} }
	first := Of(route(1), tenant(0), time.Second)
	late := Of(route(1), tenant(1), 25*time.Millisecond)
	last := Of(route(1), tenant(100), time.Hour)
	other := Of(route(2), nil, 0)
	g.Expect([]int{first, late, last}).To(HaveEach(BeNumerically("<", other)))
	g.Expect(first).To(BeNumerically("<", late))
	g.Expect(late).To(BeNumerically("<", last))
}

// Chains of many calls must not go before those of few when a service is scarce, and none may pass a
// more important one.
func TestWithNeedOrdersWithinPriorities(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	small := WithNeed(Of(route(1), nil, 2*time.Second), 10)
	large := WithNeed(Of(route(1), nil, 100*time.Millisecond), 31)
	g.Expect(small).To(BeNumerically("<", large))
	g.Expect(OfCall(small)).To(BeNumerically("<", small))
	g.Expect(large).To(BeNumerically("<", Of(route(2), nil, 0)))
	g.Expect(small).To(BeNumerically(">", Of(route(0), nil, time.Hour)))
	g.Expect(WithNeed(large, 99)).To(Equal(large), "out of range")
	g.Expect(WithNeed(Of(route(1), nil, 0), 0)).To(Equal(Of(route(1), nil, 0)), "unknown")
}
