package deployment

import (
	"encoding/json"
	"strconv"
)

// Configuration returns the deployment's configuration as stored in the metadata store.
func (p Plan) Configuration(version int) []byte {
	services := []map[string]any{}
	for _, name := range p.ServiceNames() {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 400})
	}
	routes := []map[string]any{}
	for _, route := range p.Routes {
		routes = append(routes, map[string]any{
			"name": "r" + route.Prefix, "path_prefix": route.Prefix, "kind": route.Kind, "service": route.Service, "priority": route.Priority,
			"max_attempts": route.MaxAttempts, "timeout": route.Timeout.String(), "slo": route.Objective.String(), "public": route.Public,
		})
	}
	data, _ := json.Marshal(map[string]any{ // cannot fail: only strings and finite numbers
		"version": "r" + strconv.Itoa(version), "services": services, "tenants": tenantEntries(p.Tenants),
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"virtual_hosts": []map[string]any{{"host": Host, "path_routes": routes}},
	})
	return data
}

// tenantEntries returns the tenants in the configuration format.
func tenantEntries(tenants []Tenant) []map[string]any {
	entries := []map[string]any{}
	for _, tenant := range tenants {
		entries = append(entries, map[string]any{"name": tenant.Name, "api_keys": tenant.Keys, "priority": 1, "rate_per_s": tenant.Rate, "burst": tenant.Burst})
	}
	return entries
}
