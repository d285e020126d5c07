package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/reply"
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
