package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// withOverLimitTenant returns the small mesh with one tenant far above its limit and others below
// theirs.
func withOverLimitTenant() deployment.Plan {
	plan := deployment.ThreeTier()
	plan.Tenants = deployment.Tenants(4, 40, 20)
	plan.Tenants[0].Share = 6
	for index := range plan.Routes {
		plan.Routes[index].RequestsPerSecond /= 2
	}
	plan.Routes[3].RequestsPerSecond = 150
	return plan
}

// A tenant's limit must hold across all nodes without affecting other tenants.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runMesh(t, withOverLimitTenant(), 12*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	ran := mesh.Judge.RunsOf("tenant0")
	g.Expect(ran).To(BeNumerically(">", 0.9*40*12), "requests below the limit are admitted")
	for _, other := range []string{"tenant1", "tenant2", "tenant3"} {
		g.Expect(mesh.Judge.ServedShare(other)).To(BeNumerically(">", 0.97), other)
	}
}

// The limit must hold under every fault, also when shard owners change, and tenants below their
// limit must still be served.
func TestLimitHoldsInTrouble(t *testing.T) {
	for _, kind := range append(trouble.All(), trouble.Kind{Name: "all restart", Inject: func(mesh *testbed.Mesh, _ *rand.Rand) { testbed.KillAndRestart(mesh.Machines) }}) {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, withOverLimitTenant(), 12*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				kind.Inject(mesh, rand.New(rand.NewPCG(1, 2)))
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(mesh.Judge.ServedShare("tenant1")).To(BeNumerically(">", 0.5), "%v", mesh.Tally.Status)
		})
	}
}

// A limit lowered far below the tenant's request rate must take effect in time.
func TestLoweredLimitTakesEffect(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var from time.Time
	mesh := runMesh(t, withOverLimitTenant(), 14*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(3 * time.Second)
		mesh.UpdateTenants(func(tenants []deployment.Tenant) []deployment.Tenant {
			tenants[0].Rate, tenants[0].Burst = 10, 5
			return tenants
		})
		from = time.Now().Add(limitChangeBound)
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	inWindow, late := mesh.Judge.RunsSince("tenant0", from)
	g.Expect(inWindow).To(BeNumerically("<=", int((10*judge.QuotaWindow.Seconds()+5)*(1+judge.QuotaOvershoot)+judge.QuotaSlack)))
	g.Expect(late).To(BeNumerically(">", 50))
}

// limitChangeBound is how long a lowered limit may take to apply.
const limitChangeBound = 2500 * time.Millisecond

// Tenants must be served within two seconds of a restart of all nodes, also when some machines
// were removed before.
func TestLimitedTenantsAreServedSoonAfterARestartOfAll(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := largePlan(20)
	plan.Tenants = deployment.Tenants(6, 200, 100)
	for index := range plan.Routes {
		plan.Routes[index].RequestsPerSecond = 100
	}
	mesh := runMesh(t, plan, 20*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		for _, machine := range mesh.Machines[:3] {
			mesh.Network.SetIsolated(machine.IP, true)
			machine.RemoveFromRotation()
			machine.Kill()
		}
		time.Sleep(10 * time.Second)
		testbed.KillAndRestart(mesh.Machines[3:])
		time.Sleep(2 * time.Second)
		mesh.Tally.Reset()
		time.Sleep(2 * time.Second)
		served, asked := mesh.Tally.Totals()
		g.Expect(float64(served)/float64(asked)).To(BeNumerically(">", 0.9), "%v", mesh.Tally.Status)
		for _, machine := range mesh.Machines[:3] {
			mesh.Network.SetIsolated(machine.IP, false)
		}
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
}

// Shard owners whose lease expired locally during a store outage must resume when the store comes
// back with their leases, since no other node can take over until those expire.
func TestKeepersGoOnWhenTheStoreKeptTheirLeases(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := withTenants(4)
	mesh := runMesh(t, plan, 16*time.Second, func(mesh *testbed.Mesh) {
		const away = 8 * time.Second
		time.Sleep(2 * time.Second)
		mesh.Store.Set(func(s *store.Store) { s.Down = true })
		mesh.Store.ExtendLeases(away)
		time.Sleep(away)
		mesh.Store.Set(func(s *store.Store) { s.Down = false })
		time.Sleep(1500 * time.Millisecond)
		mesh.Tally.Reset()
		time.Sleep(2 * time.Second)
		served, asked := mesh.Tally.Totals()
		g.Expect(float64(served)/float64(asked)).To(BeNumerically(">", 0.9), "%v", mesh.Tally.Status)
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
}
