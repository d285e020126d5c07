// Package fleet tests complete deployments of sidecar nodes in one process, in virtual time and
// over an in-memory network.
package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// runMesh runs a mesh in virtual time under load for a span, with disturb running concurrently.
func runMesh(t *testing.T, plan deployment.Plan, span time.Duration, disturb func(mesh *testbed.Mesh)) *testbed.Mesh {
	t.Helper()
	var result *testbed.Mesh
	synctest.Test(t, func(t *testing.T) {
		mesh, err := testbed.New(plan)
		if err != nil {
			t.Fatal(err)
		}
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if disturb != nil {
				disturb(mesh)
			}
		}()
		mesh.Load(span)
		<-done
		mesh.CheckFinal()
		result = mesh
	})
	return result
}

func TestAllServedWithoutFaults(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runMesh(t, deployment.ThreeTier(), 10*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	for _, prefix := range []string{"/front/", "/order/", "/deep/"} {
		g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">", 0.99), "%s: %v", prefix, mesh.Tally.Status)
	}
}

// Each fault in isolation must break no rule and keep the served share above its limit. The
// srv_grey_shed case also guards against routing that ignores declined requests; see
// docs/incidents/declining-target.md.
func TestEveryTroubleAlone(t *testing.T) {
	for _, kind := range slices.Concat(trouble.All(), trouble.Statements(), trouble.Departures(trouble.KillOrStop, trouble.MinServe)) {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, deployment.ThreeTier(), 10*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				kind.Inject(mesh, rand.New(rand.NewPCG(1, 2)))
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			for _, prefix := range []string{"/front/", "/order/"} {
				g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">=", kind.MinServedShare), "%s: %v", prefix, mesh.Tally.Status)
			}
		})
	}
}
