package admission

import "github.com/landingmast/landingmast/internal/wire"

// RecordTenant records by how much the tenant of a request exceeds its fair share of the services that
// an attempt used, as their targets report it.
func (c *Control) RecordTenant(tenant string, needs []wire.Need) {
	if tenant == "" || c.pricesDisabled || c.tenantsDisabled {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for i := range needs {
		if need := &needs[i]; need.TenantLoad > 0 {
			c.prices.ObserveTenant(now, tenant, need.Service, need.TenantLoad)
		}
	}
}
