package sidecar

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

// In the order in which a gate sends them.
func TestImportanceOrdersByPriorityThenUrgencyThenWork(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	payout := importanceOf(route(0), nil, 800*time.Millisecond)
	report := importanceOf(route(2), nil, 250*time.Millisecond)
	status := importanceOf(route(2), nil, 1200*time.Millisecond)
	endless := importanceOf(route(2), nil, time.Hour)
	last := importanceOf(route(3), nil, 10*time.Millisecond)
	order := []int{importanceOfCall(payout), payout, importanceOfCall(report), report, importanceOfCall(status), status, importanceOfCall(endless), endless, last}
	for i := 1; i < len(order); i++ {
		g.Expect(order[i]).To(BeNumerically(">", order[i-1]), "place %d of %v", i, order)
	}
	g.Expect(importanceOfCall(importanceOfCall(status))).To(Equal(importanceOfCall(status)), "a call's call")
}

func TestTenantsOrderRequestsOfOnePriority(t *testing.T) {
	g := NewWithT(t)
	route := func(priority int) *intent.Route { return &intent.Route{Priority: priority} }
	tenant := func(priority int) *intent.Tenant { return &intent.Tenant{Priority: priority, Ranked: true} }
	first := importanceOf(route(1), tenant(0), time.Second)
	late := importanceOf(route(1), tenant(1), 25*time.Millisecond)
	last := importanceOf(route(1), tenant(100), time.Hour)
	other := importanceOf(route(2), nil, 0)
	g.Expect([]int{first, late, last}).To(HaveEach(BeNumerically("<", other)))
	g.Expect(first).To(BeNumerically("<", late))
	g.Expect(late).To(BeNumerically("<", last))
}
