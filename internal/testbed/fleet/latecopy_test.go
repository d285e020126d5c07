package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// Guards against running a request twice, or refusing one that has run, because a late copy of the
// response that declined it is taken for the response to its repetition.
func TestLateCopiesOfDeclinesDoNotRepeatRequests(t *testing.T) {
	for _, tc := range []struct {
		name        string
		maxAttempts int
	}{
		{"at the target that declined", 1},
		{"at any target", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.Plan{
				Zones: []string{"a", "b"}, Delay: time.Millisecond,
				Services: map[string]deployment.Service{"pay": {Targets: 2, Slots: 20, Works: []target.Work{{Prefix: "/order/", Time: 40 * time.Millisecond, Bytes: 300}}}},
				Routes: []deployment.Route{{
					Prefix: "/order/", Kind: deployment.Unsafe, Service: "pay", MaxAttempts: tc.maxAttempts, Timeout: time.Second, Objective: 500 * time.Millisecond,
					Deadline: 2 * time.Second, RequestsPerSecond: 100, Body: 200,
				}},
			}
			mesh := runMesh(t, plan, 5*time.Second, func(mesh *testbed.Mesh) {
				for _, machine := range mesh.Machines {
					machine.Target.SetFaults(target.Faults{RejectRequest: 0.3, DuplicateResponse: 0.3})
				}
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">", 0.8), "answers %v", mesh.Tally.Status)
		})
	}
}
