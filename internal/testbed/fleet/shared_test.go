package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// sharedPlan returns a deployment whose service "deep" is asked for load times its slots by a route of
// one long call with a long timeout, and by a more important one with four short calls.
func sharedPlan(load float64) deployment.Plan {
	return deployment.Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"front": {Targets: 6, Slots: 100, Works: []target.Work{{Prefix: "/book/", Time: 50 * time.Millisecond, Bytes: 500, Calls: []target.Call{{Host: deployment.Host, Path: "/deep/x", Times: 4}}}}},
			"deep":  {Targets: 4, Slots: 12, Speeds: []float64{0.7, 1, 1, 1.3}, Works: []target.Work{{Prefix: "/deep/", Time: 50 * time.Millisecond, Bytes: 200}, {Prefix: "/view/", Time: 600 * time.Millisecond, Bytes: 400}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/book/", Kind: deployment.Unsafe, Service: "front", Priority: 1, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Objective: 1500 * time.Millisecond, Deadline: 4 * time.Second, RequestsPerSecond: 120 * load, Body: 300},
			{Prefix: "/view/", Kind: deployment.Safe, Service: "deep", Priority: 2, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: 5 * time.Second, Deadline: 8 * time.Second, RequestsPerSecond: 35 * load},
			{Prefix: "/deep/", Kind: deployment.Safe, Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: 700 * time.Millisecond, Objective: 300 * time.Millisecond},
		},
	}
}

// A route of long calls with a long timeout must not displace a more important route of short calls
// from the service that both need: a window that closes at a share of its own route's timeout stays
// open longest for the former.
func TestLongCallsDoNotDisplaceMoreImportantChains(t *testing.T) {
	g := NewWithT(t)
	mesh := runMesh(t, sharedPlan(1.6), 12*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	book, view := mesh.Tally.Share("/book/"), mesh.Tally.Share("/view/")
	t.Logf("book %.2f, view %.2f, answers %v", book, view, mesh.Tally.Status)
	g.Expect(book).To(BeNumerically(">=", view-0.05))
	g.Expect(book).To(BeNumerically(">=", 0.8))
	g.Expect(view).To(BeNumerically(">=", 0.2), "starved")
}

// With free slots no price may refuse anything.
func TestSharedServiceWithRoomRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	mesh := runMesh(t, sharedPlan(0.6), 8*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/book/")).To(BeNumerically(">=", 0.99))
	g.Expect(mesh.Tally.Share("/view/")).To(BeNumerically(">=", 0.99))
}

// Among routes of one priority, chains of short calls must not be served less than single long calls
// that take more of the service that both need: the chains wait for each of their calls, so that their
// window closes first. Without prices for waits 0.55 of book and 0.74 of view were served.
func TestChainsOfShortCallsAreNotServedLess(t *testing.T) {
	g := NewWithT(t)
	plan := sharedPlan(1)
	plan.Services["deep"] = deployment.Service{Targets: 8, Slots: 12, Speeds: []float64{0.6, 1, 1.4}, Works: []target.Work{
		{Prefix: "/deep/", Time: 40 * time.Millisecond, Bytes: 200}, {Prefix: "/view/", Time: 540 * time.Millisecond, Bytes: 400},
	}}
	book, view := &plan.Routes[0], &plan.Routes[1]
	book.Kind, book.Priority, book.Timeout, book.RequestsPerSecond = deployment.Safe, 2, 1200*time.Millisecond, 320*1.8
	view.Objective, view.Timeout, view.RequestsPerSecond = 2*time.Second, 4*time.Second, 84*1.8
	mesh := runMesh(t, plan, 12*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	served, single := mesh.Tally.Share("/book/"), mesh.Tally.Share("/view/")
	t.Logf("book %.2f, view %.2f, answers %v", served, single, mesh.Tally.Status)
	g.Expect(served).To(BeNumerically(">=", single-0.05))
	g.Expect(single).To(BeNumerically(">=", 0.2), "starved")
}
