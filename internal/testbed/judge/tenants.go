package judge

import (
	"net/http"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Bounds of keys and quotas in a mesh; those of the users' pages.
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

// tenancy is what the judge knows of tenants.
type tenancy struct {
	taken  map[string]time.Time // when a key was taken away
	limits map[string]quotaLimit
	runs   map[string][]quotaRun
}

type quotaLimit struct{ rate, burst float64 }

type quotaRun struct{ sent, ran time.Time }

// SetTenants takes in changed tenants.
func (j *Judge) SetTenants(before, after []Tenant) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	held := map[string]bool{}
	for _, one := range after {
		for _, key := range one.Keys {
			held[key] = true
		}
		// Of limits that change in a day the highest counts; checkQuota looks at whole days.
		limit := j.tenancy.limits[one.Name]
		j.tenancy.limits[one.Name] = quotaLimit{max(limit.rate, one.Rate), max(limit.burst, one.Burst)}
	}
	for _, one := range before {
		for _, key := range one.Keys {
			if !held[key] {
				j.tenancy.taken[key] = time.Now()
			}
		}
	}
}

// Signed tells of the key that a client's request carries.
func (j *Judge) Signed(id, tenant, key string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	one := j.requests[id]
	one.tenant, one.key, one.sent = tenant, key, time.Now()
}

// ranFor holds a run against the rules of keys and tenants; the mutex is held.
func (j *Judge) ranFor(one *request, r *http.Request, now time.Time) {
	if r.Header.Get("Authorization") != "" {
		j.breach("UNASKED", "request %s reaches a target with the client's key", one.id)
	}
	for name := range r.Header {
		if name != "X-Tenant" && len(name) == len("X-Tenant") && name[1] == '_' {
			j.breach("UNASKED", "request %s reaches a target with %s", one.id, name)
		}
	}
	if len(j.tenancy.limits) > 0 && one.key != "" && r.Header.Get("X-Tenant") != one.tenant {
		j.breach("UNASKED", "request %s of %s runs as of %q", one.id, one.tenant, r.Header.Get("X-Tenant"))
	}
	if at, taken := j.tenancy.taken[one.key]; taken && one.sent.Sub(at) > RevokeBound {
		j.breach("CONFIG", "request %s was sent %s after its key was taken away", one.id, one.sent.Sub(at))
	}
	if one.key != "" && len(one.runs) == 1 {
		j.tenancy.runs[one.tenant] = append(j.tenancy.runs[one.tenant], quotaRun{sent: one.sent, ran: now})
	}
}

// checkQuota slides the users' window over what ran of each tenant; the mutex is held.
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
		for _, one := range runs[from:] {
			if one.sent.Sub(runs[from].sent) >= QuotaWindow {
				break
			}
			if one.ran.Sub(runs[from].sent) < QuotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// RanOf counts the requests of a tenant that ran.
func (j *Judge) RanOf(tenant string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.tenancy.runs[tenant])
}

// ShareOf is the share of a tenant's attempts that ran.
func (j *Judge) ShareOf(tenant string) float64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	asked, ran := 0, 0
	for _, one := range j.requests {
		if one.tenant != tenant || one.key == "" {
			continue
		}
		asked++
		if len(one.runs) > 0 {
			ran++
		}
	}
	return float64(ran) / float64(max(asked, 1))
}

// RanSince gives the highest number of requests of a tenant in a window, of those that were
// sent after a time, and the number of all of these.
func (j *Judge) RanSince(tenant string, from time.Time) (inWindow, all int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var late []quotaRun
	for _, one := range j.tenancy.runs[tenant] {
		if one.sent.After(from) {
			late = append(late, one)
		}
	}
	return mostInWindow(late), len(late)
}
