package judge

import (
	"net/http"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Bounds of keys and limits, as nodes have them by default.
const (
	RevokeBound    = settings.DefaultRevoke
	QuotaWindow    = settings.DefaultQuotaWindow
	QuotaOvershoot = settings.DefaultQuotaOvershoot
	QuotaSlack     = settings.DefaultQuotaSlack
)

// Tenant is a tenant with its keys and its limit.
type Tenant struct {
	Name  string
	Keys  []string
	Rate  float64 // requests a second over all nodes; 0: no limit
	Burst float64
}

// tenancy is what is known of tenants and was seen of their requests.
type tenancy struct {
	taken  map[string]time.Time  // when a key was taken away, by key
	limits map[string]quotaLimit // by tenant
	runs   map[string][]quotaRun // by tenant
}

// quotaLimit is a rate in requests a second and the burst beyond it.
type quotaLimit struct{ rate, burst float64 }

// quotaRun is the first run of a request with a key.
type quotaRun struct{ sent, ran time.Time }

// SetTenants reports that the store has a configuration with changed tenants.
func (j *Judge) SetTenants(before, after []Tenant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	held := map[string]bool{}
	for _, tenant := range after {
		for _, key := range tenant.Keys {
			held[key] = true
		}
		// Of limits that change in a day the highest counts; checkQuota checks whole days.
		limit := j.tenancy.limits[tenant.Name]
		j.tenancy.limits[tenant.Name] = quotaLimit{max(limit.rate, tenant.Rate), max(limit.burst, tenant.Burst)}
	}
	for _, tenant := range before {
		for _, key := range tenant.Keys {
			if !held[key] {
				j.tenancy.taken[key] = time.Now()
			}
		}
	}
}

// Signed reports the key that a client's request carries.
func (j *Judge) Signed(id, tenant, key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req := j.requests[id]
	req.tenant, req.key, req.sent = tenant, key, time.Now()
}

// ranFor checks a run against the rules of keys and tenants; mu is held.
func (j *Judge) ranFor(req *request, r *http.Request, now time.Time) {
	if r.Header.Get("Authorization") != "" {
		j.breach("UNASKED", "request %s reaches a target with the client's key", req.id)
	}
	for name := range r.Header {
		if name != "X-Tenant" && len(name) == len("X-Tenant") && name[1] == '_' {
			j.breach("UNASKED", "request %s reaches a target with %s", req.id, name)
		}
	}
	if len(j.tenancy.limits) > 0 && req.key != "" && r.Header.Get("X-Tenant") != req.tenant {
		j.breach("UNASKED", "request %s of %s runs as of %q", req.id, req.tenant, r.Header.Get("X-Tenant"))
	}
	if at, taken := j.tenancy.taken[req.key]; taken && req.sent.Sub(at) > RevokeBound {
		j.breach("CONFIG", "request %s was sent %s after its key was taken away", req.id, req.sent.Sub(at))
	}
	if req.key != "" && len(req.runs) == 1 {
		j.tenancy.runs[req.tenant] = append(j.tenancy.runs[req.tenant], quotaRun{sent: req.sent, ran: now})
	}
}

// checkQuota slides the window of limits over what ran of each tenant; mu is held.
func (j *Judge) checkQuota() {
	for tenant, runs := range j.tenancy.runs {
		limit := j.tenancy.limits[tenant]
		if limit.rate <= 0 {
			continue
		}
		allowed := (limit.rate*QuotaWindow.Seconds()+limit.burst)*(1+QuotaOvershoot) + QuotaSlack
		if most := mostInWindow(runs); float64(most) > allowed {
			j.breach("QUOTA", "%d requests of %s ran in a window; allowed are %.0f", most, tenant, allowed)
		}
	}
}

// mostInWindow is the highest number of requests that were both sent and run in a window.
func mostInWindow(runs []quotaRun) (most int) {
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

// RanOf returns the number of requests of a tenant that ran.
func (j *Judge) RanOf(tenant string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.tenancy.runs[tenant])
}

// ShareOf returns the share of a tenant's attempts that ran.
func (j *Judge) ShareOf(tenant string) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	asked, ran := 0, 0
	for _, req := range j.requests {
		if req.tenant != tenant || req.key == "" {
			continue
		}
		asked++
		if len(req.runs) > 0 {
			ran++
		}
	}
	return float64(ran) / float64(max(asked, 1))
}

// RanSince returns the highest number of requests of a tenant in a window, of those that were
// sent after a time, and the number of all of these.
func (j *Judge) RanSince(tenant string, from time.Time) (inWindow, all int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var late []quotaRun
	for _, run := range j.tenancy.runs[tenant] {
		if run.sent.After(from) {
			late = append(late, run)
		}
	}
	return mostInWindow(late), len(late)
}
