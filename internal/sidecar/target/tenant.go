package target

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/fairshare"
)

// RecordTenant counts a call of a tenant, whose fair share has a weight, with the time that calls of its
// class are expected to occupy a slot.
func (g *Gate) RecordTenant(tenant string, weight float64, class string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tenants == nil {
		g.tenants = fairshare.NewMeter()
	}
	now := g.now()
	g.tenants.Add(now, tenant, weight, g.core.ExpectedSlotTime(now, class))
}

// TenantLoad returns the slot time that a tenant asks for relative to its fair share, without one call
// of a class that was submitted at a time; 0: unknown.
func (g *Gate) TenantLoad(tenant, class string, submittedAt time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tenants == nil {
		return 0
	}
	now := g.now()
	return g.tenants.RatioBesides(now, tenant, submittedAt, g.core.ExpectedSlotTime(now, class))
}
