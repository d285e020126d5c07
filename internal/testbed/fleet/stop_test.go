package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// A stopping node must finish although clients keep sending to it. Guards against accepting work
// until the end of the grace period, which then cuts it.
func TestStoppingNodeEndsThoughClientsGoOn(t *testing.T) {
	g := NewWithT(t)
	var took time.Duration
	mesh := runMesh(t, deployment.ThreeTier(), 10*time.Second, func(mesh *testbed.Mesh) {
		machine, ended := mesh.Machines[0], make(chan struct{})
		go func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(5 * time.Millisecond):
					go mesh.Attempt(machine, mesh.Plan.Routes[0], mesh.Plan.Routes[0].Prefix+"x", time.Now().Add(3*time.Second))
				}
			}
		}()
		time.Sleep(time.Second)
		began := time.Now()
		machine.Stop()
		took = time.Since(began)
		close(ended)
		_ = machine.Start()
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(took).To(BeNumerically("<", 4*time.Second))
}

// The target of a stopping node must stay reachable until shortly before the node stops accepting
// requests. Guards against rolling restarts that take several targets out of service at once.
func TestTargetIsReachedWhileItsNodeStops(t *testing.T) {
	g := NewWithT(t)
	plan := deployment.ThreeTier()
	deep := plan.Services["deep"]
	deep.Targets, deep.Slots, deep.Speeds = 1, 24, nil
	plan.Services["deep"] = deep
	mesh := runMesh(t, plan, 8*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		for _, machine := range mesh.Machines {
			if machine.Target.Service == "deep" {
				machine.Stop()
				_ = machine.Start()
			}
		}
	})
	t.Logf("served %.3f, answers %v", mesh.Tally.Share("/front/"), mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">=", 0.88), "the target must stay reachable while its node stops")
}
