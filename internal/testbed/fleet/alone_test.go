// Package fleet tests whole fleets of sidecar nodes, which run in one process, in virtual time
// and over a network in memory.
package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// play runs a mesh in virtual time: load for a span, and beside it what disturb does.
func play(t *testing.T, plan deployment.Plan, span time.Duration, disturb func(mesh *testbed.Mesh)) *testbed.Mesh {
	t.Helper()
	var played *testbed.Mesh
	synctest.Test(t, func(t *testing.T) {
		mesh, err := testbed.New(plan)
		if err != nil {
			t.Fatal(err)
		}
		defer mesh.Close()
		time.Sleep(testbed.Settle)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if disturb != nil {
				disturb(mesh)
			}
		}()
		mesh.Load(span)
		<-done
		mesh.CheckEnd()
		played = mesh
	})
	return played
}

func TestQuietDayIsServed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := play(t, deployment.ThreeDeep(), 10*time.Second, nil)
	g.Expect(mesh.Judge.Broken()).To(BeEmpty())
	for _, prefix := range []string{"/front/", "/order/", "/deep/"} {
		g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">", 0.99), "%s: %v", prefix, mesh.Tally.Status)
	}
}

// Each kind of trouble comes alone, in the middle of a day: no rule is broken,
// what can be served is served, and all of it afterwards.
//
// srv_grey_shed, one of three targets of the deepest service declining 0.45 of its requests, came
// under its bound of 0.9 at times (0.8899 once in CI; 3 of 100 plays, mean 0.916). Routing did not
// count declined requests: the target's gate had free slots by them, so that it was chosen for
// most calls all the time, 85 of which it declined in each second, and the budget for repeats
// paid for few of them (206 of 209 calls that failed in one play had been sent once). Load has
// nothing to do with it: the order of goroutines differs from play to play.
// docs/incidents/declining-target.md.
func TestEveryTroubleAlone(t *testing.T) {
	for _, kind := range trouble.All() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := play(t, deployment.ThreeDeep(), 10*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				kind.Play(mesh, rand.New(rand.NewPCG(1, 2)))
			})
			g.Expect(mesh.Judge.Broken()).To(BeEmpty())
			for _, prefix := range []string{"/front/", "/order/"} {
				g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">=", kind.Least), "%s: %v", prefix, mesh.Tally.Status)
			}
		})
	}
}
