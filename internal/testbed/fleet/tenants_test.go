package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// TenantPlan is one tenant of a mesh.
type TenantPlan struct {
	Name  string
	Keys  []string
	Rate  float64 // limit over all nodes; 0: none
	Burst float64
	Share float64 // part of the clients' requests, as a weight
}

// Bounds of keys and quotas in a mesh; those of the users' pages.
const (
	revokeBound    = settings.DefaultRevoke
	quotaWindow    = settings.DefaultQuotaWindow
	quotaOvershoot = settings.DefaultQuotaOvershoot
	quotaSlack     = settings.DefaultQuotaSlack
	keyScheme      = "Bearer "
)

// someTenants gives so many tenants with two keys each and so much of a limit.
func someTenants(count int, rate, burst float64) []TenantPlan {
	tenants := make([]TenantPlan, count)
	for index := range tenants {
		name := fmt.Sprintf("tenant%d", index)
		tenants[index] = TenantPlan{Name: name, Keys: []string{"key-" + name + "-a", "key-" + name + "-b"}, Rate: rate, Burst: burst, Share: 1}
	}
	return tenants
}

// tenantForms gives the tenants as the configuration has them.
func tenantForms(tenants []TenantPlan) []map[string]any {
	forms := []map[string]any{}
	for _, one := range tenants {
		forms = append(forms, map[string]any{"name": one.Name, "api_keys": one.Keys, "priority": 1, "rate_per_s": one.Rate, "burst": one.Burst})
	}
	return forms
}

// Retenant writes a configuration with changed tenants. The judge counts from the time at
// which the store has it.
func (m *Mesh) Retenant(change func(tenants []TenantPlan) []TenantPlan) {
	m.mutex.Lock()
	before := m.Plan.Tenants
	after := make([]TenantPlan, len(before))
	copy(after, before)
	m.Plan.Tenants = change(after)
	m.mutex.Unlock()
	m.Configure(nil)
	m.Judge.tenants(before, m.Plan.Tenants)
}

// TakeKey takes a key of a tenant away.
func (m *Mesh) TakeKey(tenant int, key int) {
	m.Retenant(func(tenants []TenantPlan) []TenantPlan {
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

// sign gives a request the key and a tenant that nobody may claim.
func sign(request *http.Request, key string) {
	if key == "" {
		return
	}
	request.Header.Set("Authorization", keyScheme+key)
	request.Header.Set("X-Tenant", "claimed")
	request.Header["x_tenant"] = []string{"claimed"}
}

// tenancy is what the judge knows of tenants.
type tenancy struct {
	taken  map[string]time.Time // when a key was taken away
	limits map[string]quotaLimit
	runs   map[string][]quotaRun
}

type quotaLimit struct{ rate, burst float64 }

type quotaRun struct{ sent, ran time.Time }

// tenants takes in changed tenants.
func (j *Judge) tenants(before, after []TenantPlan) {
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

// signed tells of the key that a client's request carries.
func (j *Judge) signed(id, tenant, key string) {
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
	if at, taken := j.tenancy.taken[one.key]; taken && one.sent.Sub(at) > revokeBound {
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
		allowed := (limit.rate*quotaWindow.Seconds()+limit.burst)*(1+quotaOvershoot) + quotaSlack
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
			if one.sent.Sub(runs[from].sent) >= quotaWindow {
				break
			}
			if one.ran.Sub(runs[from].sent) < quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// statusOf sends one request with a key and gives the status.
func (m *Mesh) statusOf(machine *Machine, uri, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+machine.IP+":"+portOutbound+uri, nil)
	if err != nil {
		return 0
	}
	id := strconv.FormatUint(rand.Uint64(), 16)
	request.Host = Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1000")
	if key != "" {
		request.Header.Set("Authorization", keyScheme+key)
	}
	m.Judge.asked(id, machine.IP, machine.Target.Service)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.Network.Dialer(machine.IP)}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
