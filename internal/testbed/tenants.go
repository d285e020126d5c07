package testbed

import (
	"math/rand/v2"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// UpdateTenants publishes a configuration with changed tenants. The judge applies the new rate
// limits from then on.
func (m *Mesh) UpdateTenants(change func(tenants []deployment.Tenant) []deployment.Tenant) {
	m.mu.Lock()
	before := m.Plan.Tenants
	after := make([]deployment.Tenant, len(before))
	copy(after, before)
	m.Plan.Tenants = change(after)
	m.mu.Unlock()
	m.Configure(nil)
	m.Judge.SetTenants(judgeTenants(before), judgeTenants(m.Plan.Tenants))
}

// judgeTenants converts tenants for the judge.
func judgeTenants(tenants []deployment.Tenant) []judge.Tenant {
	judged := make([]judge.Tenant, 0, len(tenants))
	for _, tenant := range tenants {
		judged = append(judged, judge.Tenant{Name: tenant.Name, Keys: tenant.Keys, Rate: tenant.Rate, Burst: tenant.Burst})
	}
	return judged
}

// RevokeKey revokes an API key of a tenant; both are given by index.
func (m *Mesh) RevokeKey(tenant int, key int) {
	m.UpdateTenants(func(tenants []deployment.Tenant) []deployment.Tenant {
		keys := append([]string(nil), tenants[tenant].Keys...)
		tenants[tenant].Keys = append(keys[:key], keys[key+1:]...)
		return tenants
	})
}

// pickCredentials picks a tenant by its share of the load and one of its initial API keys,
// which may have been revoked.
func (m *Mesh) pickCredentials() (tenant, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0.0
	for _, tenant := range m.Plan.Tenants {
		total += tenant.Share
	}
	at := rand.Float64() * total
	for index, picked := range m.Plan.Tenants {
		if at -= picked.Share; at <= 0 {
			keys := m.initialKeys[index]
			return picked.Name, keys[rand.IntN(len(keys))]
		}
	}
	return "", ""
}
