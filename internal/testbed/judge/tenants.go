package judge

import (
	"net/http"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Default limits for key revocation and quotas.
const (
	RevokeBound    = settings.DefaultMaxConfigurationAge
	QuotaWindow    = settings.DefaultQuotaWindow
	QuotaOvershoot = settings.DefaultQuotaOvershoot
	QuotaSlack     = settings.DefaultQuotaSlack
)

// Tenant is a tenant with its keys and rate limit.
type Tenant struct {
	Name  string
	Keys  []string
	Rate  float64 // requests per second over all nodes; 0: unlimited
	Burst float64
}

// tenancy holds the tenants' limits, revoked keys and request times.
type tenancy struct {
	revoked map[string]time.Time  // revocation time, by key
	limits  map[string]quotaLimit // by tenant
	runs    map[string][]quotaRun // by tenant
}

// quotaLimit is a rate in requests per second with its burst.
type quotaLimit struct{ rate, burst float64 }

// quotaRun is the first run of an authenticated request.
type quotaRun struct{ sent, ran time.Time }

// SetTenants records that the store has a configuration with changed tenants.
func (j *Judge) SetTenants(before, after []Tenant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	current := map[string]bool{}
	for _, tenant := range after {
		for _, key := range tenant.Keys {
			current[key] = true
		}
		// checkQuota covers a whole run, so the highest limit of the run applies.
		limit := j.tenancy.limits[tenant.Name]
		j.tenancy.limits[tenant.Name] = quotaLimit{max(limit.rate, tenant.Rate), max(limit.burst, tenant.Burst)}
	}
	for _, tenant := range before {
		for _, key := range tenant.Keys {
			if !current[key] {
				j.tenancy.revoked[key] = time.Now()
			}
		}
	}
}

// Authenticated records the key that a client's request carries.
func (j *Judge) Authenticated(id, tenant, key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req := j.requests[id]
	req.tenant, req.key, req.sent = tenant, key, time.Now()
}

// checkTenant checks a run against the rules for keys and tenants. Callers hold mu.
func (j *Judge) checkTenant(req *request, r *http.Request, now time.Time) {
	if r.Header.Get("Authorization") != "" {
		j.violate("UNASKED", "request %s reaches a target with the client's key", req.id)
	}
	for name := range r.Header {
		if name != "X-Tenant" && len(name) == len("X-Tenant") && name[1] == '_' {
			j.violate("UNASKED", "request %s reaches a target with %s", req.id, name)
		}
	}
	if len(j.tenancy.limits) > 0 && req.key != "" && r.Header.Get("X-Tenant") != req.tenant {
		j.violate("UNASKED", "request %s of tenant %s runs with tenant %q", req.id, req.tenant, r.Header.Get("X-Tenant"))
	}
	if at, taken := j.tenancy.revoked[req.key]; taken && req.sent.Sub(at) > RevokeBound {
		j.violate("CONFIG", "request %s was sent %s after its key was revoked", req.id, req.sent.Sub(at))
	}
	if req.key != "" && len(req.runs) == 1 {
		j.tenancy.runs[req.tenant] = append(j.tenancy.runs[req.tenant], quotaRun{sent: req.sent, ran: now})
	}
}

// checkQuota checks each tenant's limit in every quota window. Callers hold mu.
func (j *Judge) checkQuota() {
	for tenant, runs := range j.tenancy.runs {
		limit := j.tenancy.limits[tenant]
		if limit.rate <= 0 {
			continue
		}
		allowed := (limit.rate*QuotaWindow.Seconds()+limit.burst)*(1+QuotaOvershoot) + QuotaSlack
		if most := maxInWindow(runs); float64(most) > allowed {
			j.violate("QUOTA", "%d requests of %s ran in a window, at most %.0f allowed", most, tenant, allowed)
		}
	}
}

// maxInWindow returns the highest number of requests that were both sent and run within one window.
func maxInWindow(runs []quotaRun) (most int) {
	sort.Slice(runs, func(a, b int) bool { return runs[a].sent.Before(runs[b].sent) })
	for from := range runs {
		count := 0
		for _, run := range runs[from:] {
			if run.sent.Sub(runs[from].sent) >= QuotaWindow {
				break
			}
			if run.ran.Sub(runs[from].sent) < QuotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// RunsOf returns the number of requests of a tenant that ran.
func (j *Judge) RunsOf(tenant string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.tenancy.runs[tenant])
}

// ServedShare returns the share of a tenant's requests that ran.
func (j *Judge) ServedShare(tenant string) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	sent, ran := 0, 0
	for _, req := range j.requests {
		if req.tenant != tenant || req.key == "" {
			continue
		}
		sent++
		if len(req.runs) > 0 {
			ran++
		}
	}
	return float64(ran) / float64(max(sent, 1))
}

// RunsSince considers the requests of a tenant that were sent after a time and ran. It returns the
// highest number of them in one window and their total.
func (j *Judge) RunsSince(tenant string, from time.Time) (inWindow, all int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var late []quotaRun
	for _, run := range j.tenancy.runs[tenant] {
		if run.sent.After(from) {
			late = append(late, run)
		}
	}
	return maxInWindow(late), len(late)
}
