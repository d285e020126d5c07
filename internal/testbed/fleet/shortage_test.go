package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// fanOutPlan returns a deployment with a bottleneck in its last service: each list makes ten calls
// in sequence to it, and it can serve 80 lists per second in addition to the orders.
func fanOutPlan(listsPerSecond float64) deployment.Plan {
	call := func(times int) []target.Call {
		return []target.Call{{Host: deployment.Host, Path: "/deep/x", Times: times}}
	}
	return deployment.Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"front":  {Targets: 6, Slots: 60, Works: []target.Work{{Prefix: "/list/", Time: 50 * time.Millisecond, Bytes: 1500, Calls: call(10)}}},
			"orders": {Targets: 2, Slots: 40, Works: []target.Work{{Prefix: "/order/", Time: 30 * time.Millisecond, Bytes: 500, Calls: call(2)}}},
			"deep":   {Targets: 4, Slots: 12, Speeds: []float64{0.7, 1, 1, 1.3}, Works: []target.Work{{Prefix: "/deep/", Time: 50 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/list/", Kind: deployment.Safe, Service: "front", Priority: 2, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: listsPerSecond},
			{Prefix: "/order/", Kind: deployment.Unsafe, Service: "orders", Priority: 0, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: 40, Body: 300},
			{Prefix: "/deep/", Kind: deployment.Safe, Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 300 * time.Millisecond},
		},
	}
}

// Under overload, admitted requests must complete, high-priority requests must be served and the
// rest refused at the entry node; below capacity almost none may be refused. Guards against
// admitting requests whose later calls fail.
func TestBackendOverloadIsRefusedAtTheEntryNode(t *testing.T) {
	for _, tc := range []struct {
		name            string
		lists           float64 // per second
		served, orders  float64 // minimum shares
		refused, failed float64 // maximum shares of all responses
	}{
		{"half of capacity", 40, 0.99, 0.99, 0.002, 0.01},
		{"twice the capacity", 160, 0.4, 0.97, 1, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, fanOutPlan(tc.lists), 12*time.Second, nil)
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			answers, refused := 0, mesh.Tally.Status[503]
			for _, count := range mesh.Tally.Status {
				answers += count
			}
			failed := answers - refused - mesh.Tally.Status[200]
			t.Logf("lists %.2f served, %d in time of %d, orders %.2f, answers %v", mesh.Tally.Share("/list/"), mesh.Tally.InTime["/list/"], mesh.Tally.Sent["/list/"], mesh.Tally.Share("/order/"), mesh.Tally.Status)
			g.Expect(mesh.Tally.Share("/list/")).To(BeNumerically(">=", tc.served))
			g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">=", tc.orders))
			g.Expect(float64(refused) / float64(answers)).To(BeNumerically("<=", tc.refused))
			g.Expect(float64(failed) / float64(answers)).To(BeNumerically("<=", tc.failed))
		})
	}
}

// When idle targets decline half of their calls, the retry budget must be spent on complete chains
// in order of priority, because a chain succeeds only if all of its calls do.
func TestDeclinedCallsAreRepeatedForSomeChainsWhole(t *testing.T) {
	g := NewWithT(t)
	plan := fanOutPlan(40)
	front := plan.Services["front"]
	front.Works[0].Calls[0].Times = 4
	front.Works = append(front.Works, target.Work{Prefix: "/order/", Time: 30 * time.Millisecond, Bytes: 500, Calls: front.Works[0].Calls})
	plan.Services["front"] = front
	plan.Routes[1].Service = "front"
	plan.Routes[0].RequestsPerSecond, plan.Routes[1].RequestsPerSecond = 80, 15
	mesh := runMesh(t, plan, 10*time.Second, func(mesh *testbed.Mesh) {
		for _, machine := range mesh.Machines {
			if machine.Target.Service == "deep" {
				machine.Target.SetFaults(target.Faults{RejectRequest: 0.55})
			}
		}
	})
	t.Logf("lists %.2f served, orders %.2f, answers %v", mesh.Tally.Share("/list/"), mesh.Tally.Share("/order/"), mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">=", 0.15), "retries must go to whole chains by priority")
}

// In a burst on a route whose timeout is shorter than its objective, chains that time out must not
// grow the concurrency window. Guards against admitting requests that then time out.
func TestChainsThatWouldTimeOutAreNotStarted(t *testing.T) {
	g := NewWithT(t)
	plan := fanOutPlan(100)
	front := plan.Services["front"]
	front.Works[0].Calls[0].Times = 4
	plan.Services["front"] = front
	plan.Routes[0].Timeout = 500 * time.Millisecond
	mesh := runMesh(t, plan, 5*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		mesh.Clients.SetRateFactor(3)
	})
	answers, refused := 0, mesh.Tally.Status[503]
	for _, count := range mesh.Tally.Status {
		answers += count
	}
	failed := answers - refused - mesh.Tally.Status[200]
	t.Logf("lists %.2f served, orders %.2f, answers %v", mesh.Tally.Share("/list/"), mesh.Tally.Share("/order/"), mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(float64(failed) / float64(answers)).To(BeNumerically("<=", 0.1))
}
