package target

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	. "github.com/onsi/gomega"
)

// The gate must compare tenants by the slot time that their calls ask for, and measure nothing as long as
// no call has a tenant.
func TestGateMeasuresTenants(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	gate := newGate(func() time.Duration { return now }, roster.Report{Instance: "i", Service: "s", Slots: 10}, nil)
	g.Expect(gate.TenantLoad("a", "route", 0)).To(BeZero())
	g.Expect(gate.tenants).To(BeNil())
	for ; now < 5*time.Second; now += 10 * time.Millisecond {
		gate.RecordTenant("a", 1, "route")
		gate.RecordTenant("b", 3, "route")
		gate.RecordTenant("hot", 1, "route")
		gate.RecordTenant("hot", 1, "route")
		gate.RecordTenant("hot", 1, "route")
	}
	g.Expect(gate.TenantLoad("hot", "route", now)).To(BeNumerically("~", 6, 0.1))
	g.Expect(gate.TenantLoad("a", "route", now)).To(BeNumerically("~", 1, 0.05))
	g.Expect(gate.TenantLoad("b", "route", now)).To(BeNumerically("~", 0.16, 0.05))
}
