package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// Guards against messages of a target that are no responses and reach clients, or whose fields are believed: a
// target of each service sends them in place of a third of its responses.
func TestMalformedResponsesDoNotReachClients(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	works := []target.Work{{Prefix: "/", Time: 20 * time.Millisecond, Bytes: 300}}
	plan := deployment.Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{"list": {Targets: 3, Slots: 20, Works: works}, "pay": {Targets: 3, Slots: 20, Works: works}},
		Routes: []deployment.Route{
			{Prefix: "/read/", Kind: deployment.Safe, Service: "list", MaxAttempts: 3, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 2 * time.Second, RequestsPerSecond: 60},
			{Prefix: "/order/", Kind: deployment.Unsafe, Service: "pay", MaxAttempts: 3, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 2 * time.Second, RequestsPerSecond: 60, Body: 200},
		},
	}
	mesh := runMesh(t, plan, 5*time.Second, func(mesh *testbed.Mesh) {
		seen := map[string]bool{}
		for _, machine := range mesh.Machines {
			if service := machine.Target.Service; !seen[service] {
				seen[service] = true
				machine.Target.SetFaults(target.Faults{MalformedResponse: 0.3})
			}
		}
	})
	t.Logf("answers %v, read %.3f, orders %.3f", mesh.Tally.Status, mesh.Tally.Share("/read/"), mesh.Tally.Share("/order/"))
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/read/")).To(BeNumerically(">", 0.97))
	g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">", 0.8))
}
