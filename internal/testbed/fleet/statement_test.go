package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// targetsOf returns the machines whose targets belong to a service.
func targetsOf(mesh *testbed.Mesh, service string) (found []*testbed.Machine) {
	for _, machine := range mesh.Machines {
		if machine.Target.Service == service {
			found = append(found, machine)
		}
	}
	return found
}

// A target that states a rate limit must get no more than that from all nodes together. Guards
// against passing the statement on to clients without reading it.
func TestTargetGetsNoMoreThanItsStatedRate(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service string
		rate    float64
	}{
		{"called by targets", "deep", 5},
		{"called by clients", "front", 3.6},
		{"requests that may run at most once", "middle", 8.9},
		{"a fraction of a request a second", "deep", 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, deployment.ThreeTier(), 12*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				targetsOf(mesh, tc.service)[0].Target.StateRate(tc.rate)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// A target that states in its responses that it leaves must get no new requests, also while its
// heartbeats say nothing. Guards against passing the statement on to clients without reading it.
func TestTargetThatStatesThatItLeavesGetsNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	mesh := runMesh(t, deployment.ThreeTier(), 10*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		targetsOf(mesh, "deep")[0].Target.Leave(5 * time.Second)
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
}
