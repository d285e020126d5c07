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

// Requests that only differ in their timeout, or in that one of them is a call, must have one priority,
// others in the order of route and tenant.
func TestPriorityIsThatOfRouteAndTenant(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	urgent, patient := Of(route(1), nil, 25*time.Millisecond), Of(route(1), nil, time.Hour)
	g.Expect(urgent).To(BeNumerically("<", patient))
	g.Expect(Priority(urgent)).To(Equal(Priority(patient)))
	g.Expect(Priority(OfCall(patient))).To(Equal(Priority(patient)))
	g.Expect(Priority(patient)).To(BeNumerically("<", Priority(Of(route(1), &intent.Tenant{Priority: 1, HasPriority: true}, 0))))
	g.Expect(Priority(Of(route(1), &intent.Tenant{Priority: 7, HasPriority: true}, time.Hour))).To(BeNumerically("<", Priority(Of(route(2), nil, 0))))
}
