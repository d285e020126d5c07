package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// tenantPlan returns sharedPlan at 1.3 times its slots without what the first of 85 tenants sends too
// much: seven times its usual rate. No tenant has a rate limit.
func tenantPlan(off ...settings.Mechanism) deployment.Plan {
	const count, factor, load = 85, 7, 1.4
	plan := sharedPlan(load * (count - 1 + factor) / count)
	plan.Tenants = deployment.Tenants(count, 0, 0)
	plan.Tenants[0].Share = factor
	plan.PolicyOff = off
	return plan
}

// meanServed returns the mean share served of the tenants but the first.
func meanServed(mesh *testbed.Mesh) (share float64) {
	others := mesh.Plan.Tenants[1:]
	for _, tenant := range others {
		share += mesh.Judge.ServedShare(tenant.Name) / float64(len(others))
	}
	return share
}

// A tenant that sends seven times its usual rate during a shortage must be refused before the others,
// also if some nodes restart meanwhile and measure anew. How little the others lose is tested in
// core/pricing: here the shares served of two runs without any excess differ by up to 0.1.
func TestTenantAboveItsShareIsRefusedBeforeOthers(t *testing.T) {
	const span = 12 * time.Second
	for _, tc := range []struct {
		name    string
		off     []settings.Mechanism
		restart bool
		shares  bool // whether the tenant is refused before others
	}{
		{"shares", nil, false, true},
		{"nodes restart", nil, true, true},
		{"disabled", []settings.Mechanism{settings.TenantShares}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, tenantPlan(tc.off...), span, func(mesh *testbed.Mesh) {
				if !tc.restart {
					return
				}
				time.Sleep(span / 3)
				testbed.KillAndRestart(mesh.Machines[:2])
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			others, hot := meanServed(mesh), mesh.Judge.ServedShare("tenant0")
			t.Logf("others %.3f, above its share %.3f; answers %v", others, hot, mesh.Tally.Status)
			if !tc.shares {
				g.Expect(hot).To(BeNumerically("~", others, 0.1))
				return
			}
			g.Expect(hot).To(BeNumerically("<", others-0.2))
			g.Expect(hot).To(BeNumerically(">", 0.1), "starved")
		})
	}
}
