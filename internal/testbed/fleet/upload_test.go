package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// Uploads run at most once, whether their body is buffered or streamed: a target that runs one and
// drops the response must not make the node send it to another target.
func TestUploadsRunAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		body int
	}{
		{"buffered body", reply.MaxBuffered / 2},
		{"streamed body", 3 * reply.MaxBuffered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.Plan{
				Zones: []string{"a", "b"}, Delay: time.Millisecond,
				Services: map[string]deployment.Service{"files": {Targets: 4, Slots: 20, Works: []target.Work{{Prefix: "/file/", Time: 20 * time.Millisecond, Bytes: 300}}}},
				Routes: []deployment.Route{{
					Prefix: "/file/", Kind: deployment.Upload, Service: "files", MaxAttempts: 3, Timeout: time.Second, Objective: 500 * time.Millisecond,
					Deadline: 2 * time.Second, RequestsPerSecond: 30, Body: tc.body,
				}},
			}
			mesh := runMesh(t, plan, 4*time.Second, func(mesh *testbed.Mesh) {
				mesh.Machines[0].Target.SetFaults(target.Faults{DropResponse: 0.5})
				mesh.Machines[1].Target.SetFaults(target.Faults{RejectRequest: 0.3})
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(mesh.Tally.Share("/file/")).To(BeNumerically(">", 0.8), "answers %v", mesh.Tally.Status)
		})
	}
}

// Guards against a node that runs out of memory, and loses the requests in progress there, because the
// bodies that wait for a slow target are bounded by number only.
func TestUploadsToASlowTargetTakeBoundedMemory(t *testing.T) {
	g := NewWithT(t)
	const limit = settings.DefaultMemoryMB * 1_000_000 * 3 / 8
	plan := deployment.Plan{
		Zones: []string{"a"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"front": {Targets: 2, Slots: 20, Works: []target.Work{{Prefix: "/list/", Time: 20 * time.Millisecond, Bytes: 300}}},
			"store": {Targets: 1, Slots: 200, Works: []target.Work{{Prefix: "/file/", Time: 100 * time.Millisecond, Bytes: 300}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/file/", Kind: deployment.Upload, Service: "store", MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 800 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: 300, Body: 2 * reply.MaxBuffered},
			{Prefix: "/list/", Kind: deployment.Safe, Service: "front", MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 2 * time.Second, RequestsPerSecond: 50},
		},
	}
	var highest int64
	mesh := runMesh(t, plan, 5*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		store := mesh.Machines[2]
		store.Target.SetFaults(target.Faults{Slow: 24})
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			highest = max(highest, store.BodyBytes())
		}
	})
	t.Logf("at most %d MB, answers %v, lists served %.3f", highest/1_000_000, mesh.Tally.Status, mesh.Tally.Share("/list/"))
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(highest).To(BeNumerically("<=", limit))
	g.Expect(highest).To(BeNumerically(">", limit/3), "uploads must have waited")
	g.Expect(mesh.Tally.Share("/list/")).To(BeNumerically(">", 0.97))
}
