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
