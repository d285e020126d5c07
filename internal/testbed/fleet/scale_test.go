package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/target"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// largePlan returns a deployment of many nodes without traffic. The store's rate per node is that of
// 300 machines on a store that serves 2,000 reads per second.
func largePlan(nodes int) deployment.Plan {
	plan := deployment.Plan{
		Zones: []string{"a", "b", "c", "d"}, Delay: time.Millisecond, Services: map[string]deployment.Service{},
		ReadsPerSecond: nodes * 2000 / 300,
	}
	const targets = 10
	for i := range nodes / targets {
		name := fmt.Sprintf("s%d", i)
		prefix := "/" + name + "/"
		plan.Services[name] = deployment.Service{Targets: targets, Slots: 10, Works: []target.Work{{Prefix: prefix, Time: 5 * time.Millisecond, Bytes: 100}}}
		plan.Routes = append(plan.Routes, deployment.Route{
			Prefix: prefix, Kind: deployment.Safe, Service: name, MaxAttempts: 2, Timeout: time.Second, Objective: time.Second / 2, Deadline: 2 * time.Second,
		})
	}
	return plan
}

// applyBound is how long a configuration may take to be applied.
const applyBound = 2 * time.Second

// Rapid configuration changes and mass restarts must stay below the store's rate limit, and the
// last change must be applied in time.
func TestStoreRateHoldsAtScale(t *testing.T) {
	const nodes = 60
	for _, tc := range []struct {
		name    string
		disturb func(mesh *testbed.Mesh, random *rand.Rand)
	}{
		{"rapid configuration changes", func(mesh *testbed.Mesh, random *rand.Rand) {
			for range 60 {
				trouble.AddUnusedRoute(mesh, random)
				time.Sleep(60 * time.Millisecond)
			}
		}},
		{"mass restart", func(mesh *testbed.Mesh, random *rand.Rand) {
			testbed.KillAndRestart(mesh.RandomMachines(random, 0.6))
			trouble.AddUnusedRoute(mesh, random)
		}},
		{"all restart in turn", func(mesh *testbed.Mesh, random *rand.Rand) {
			for _, m := range mesh.RandomMachines(random, 0.5) {
				testbed.KillAndRestart([]*testbed.Machine{m})
			}
			trouble.AddUnusedRoute(mesh, random)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(largePlan(nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				mesh.Store.Set(func(s *store.Store) { s.RejectedReads, s.Calls = 0, map[string]int{} })
				tc.disturb(mesh, rand.New(rand.NewPCG(1, 2)))
				time.Sleep(applyBound)
				mesh.Store.Set(func(s *store.Store) {
					t.Logf("calls %v, limited %d", s.Calls, s.RejectedReads)
					g.Expect(s.RejectedReads).To(BeZero())
				})
				for _, m := range mesh.Machines {
					g.Expect(m.Version()).To(Equal(uint64(mesh.Version())), m.IP)
				}
			})
		})
	}
}
