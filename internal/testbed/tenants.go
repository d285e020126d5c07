package testbed

import (
	"math/rand/v2"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Retenant writes a configuration with changed tenants. The judge counts from the time at
// which the store has it.
func (m *Mesh) Retenant(change func(tenants []deployment.Tenant) []deployment.Tenant) {
	m.mutex.Lock()
	before := m.Plan.Tenants
	after := make([]deployment.Tenant, len(before))
	copy(after, before)
	m.Plan.Tenants = change(after)
	m.mutex.Unlock()
	m.Configure(nil)
	m.Judge.SetTenants(tenantsOf(before), tenantsOf(m.Plan.Tenants))
}

// tenantsOf gives what the judge knows of tenants.
func tenantsOf(plans []deployment.Tenant) []judge.Tenant {
	tenants := make([]judge.Tenant, 0, len(plans))
	for _, one := range plans {
		tenants = append(tenants, judge.Tenant{Name: one.Name, Keys: one.Keys, Rate: one.Rate, Burst: one.Burst})
	}
	return tenants
}

// TakeKey takes a key of a tenant away.
func (m *Mesh) TakeKey(tenant int, key int) {
	m.Retenant(func(tenants []deployment.Tenant) []deployment.Tenant {
		keys := append([]string(nil), tenants[tenant].Keys...)
		tenants[tenant].Keys = append(keys[:key], keys[key+1:]...)
		return tenants
	})
}

// caller picks the tenant of a request and one of the keys that it had at the start.
func (m *Mesh) caller() (tenant, key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := 0.0
	for _, one := range m.Plan.Tenants {
		total += one.Share
	}
	at := rand.Float64() * total
	for index, one := range m.Plan.Tenants {
		if at -= one.Share; at <= 0 {
			keys := m.firstKeys[index]
			return one.Name, keys[rand.IntN(len(keys))]
		}
	}
	return "", ""
}
