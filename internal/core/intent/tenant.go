package intent

import (
	"math"
	"strings"
	"unicode"

	"github.com/landingmast/landingmast/internal/failure"
)

// Tenant is a customer whose requests carry one of its API keys.
type Tenant struct {
	Name        string
	Keys        []string // unique to the tenant; must not be logged
	Priority    int      // 0 is the highest priority; ignored unless HasPriority
	HasPriority bool     // the operators set Priority
	Rate        float64  // requests per second over all nodes; 0: no limit
	Burst       float64  // requests above the rate

	shareWeight float64
}

// ShareWeight returns the tenant's right to a scarce service relative to that of the other tenants; it is
// above 0 once the configuration is sealed. It is the rate limit, or the mean limit if the tenant has
// none, times priorityWeight for each priority above the lowest one that is set.
func (t *Tenant) ShareWeight() float64 { return t.shareWeight }

// priorityWeight is the factor by which a priority of a tenant raises its share: enough to matter in a
// shortage, without refusing the tenants below it entirely.
const priorityWeight = 2.0

// maxPrioritySteps bounds the factor, so that a priority number far above the others leaves the weights
// finite and the shares of its tenants above 0.
const maxPrioritySteps = 10

// HasRateLimit reports whether the tenant has a rate limit.
func (t *Tenant) HasRateLimit() bool { return t.Rate > 0 }

// tenantIndex finds tenants by key and by name.
type tenantIndex struct {
	byKey     map[string]*Tenant
	byName    map[string]*Tenant
	hasLimits bool // some tenant has a rate limit
}

// build validates the tenants and fills the index. Errors never contain keys.
func (t *tenantIndex) build(tenants []*Tenant) error {
	t.byKey = make(map[string]*Tenant, len(tenants))
	t.byName = make(map[string]*Tenant, len(tenants))
	for _, tenant := range tenants {
		if err := tenant.validate(); err != nil {
			return err
		}
		if t.byName[tenant.Name] != nil {
			return failure.New(failure.BadInput, "give each tenant a unique name", "tenant %s is listed twice", tenant.Name)
		}
		t.byName[tenant.Name] = tenant
		t.hasLimits = t.hasLimits || tenant.HasRateLimit()
		for _, key := range tenant.Keys {
			if other := t.byKey[key]; other != nil {
				return failure.New(failure.BadInput, "assign each key to only one tenant", "tenants %s and %s have the same key", other.Name, tenant.Name)
			}
			t.byKey[key] = tenant
		}
	}
	setShareWeights(tenants)
	return nil
}

// setShareWeights sets the weights of all tenants.
func setShareWeights(tenants []*Tenant) {
	sum, limited, lowest := 0.0, 0, 0
	for _, tenant := range tenants {
		if tenant.HasRateLimit() {
			sum, limited = sum+tenant.Rate, limited+1
		}
		if tenant.HasPriority {
			lowest = max(lowest, tenant.Priority)
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = sum / float64(limited)
	}
	for _, tenant := range tenants {
		tenant.shareWeight = mean
		if tenant.HasRateLimit() {
			tenant.shareWeight = tenant.Rate
		}
		if tenant.HasPriority {
			tenant.shareWeight *= math.Pow(priorityWeight, float64(min(lowest-tenant.Priority, maxPrioritySteps)))
		}
	}
}

func (t *Tenant) validate() error {
	bad := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "tenant "+t.Name+": "+format, arguments...)
	}
	if t.Name == "" {
		return bad("name each tenant", "name is missing")
	}
	// The name is sent in a header field.
	if strings.ContainsFunc(t.Name, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }) {
		return bad("use printable ASCII without spaces", "name %q is not usable", t.Name)
	}
	for _, key := range t.Keys {
		if key == "" {
			return bad("remove the entry or set a key", "a key is empty")
		}
	}
	if !isFiniteNonNegative(t.Rate) {
		return bad("use 0 (no limit) or a positive number of requests per second", "rate %g is negative or not finite", t.Rate)
	}
	if !isFiniteNonNegative(t.Burst) {
		return bad("use 0 or more requests", "burst %g is negative or not finite", t.Burst)
	}
	return nil
}

func isFiniteNonNegative(number float64) bool {
	return number >= 0 && !math.IsInf(number, 0) && !math.IsNaN(number)
}

// RequiresKey reports whether client requests on the route require a tenant's API key.
func (i *Intent) RequiresKey(route *Route) bool { return len(i.Tenants) > 0 && !route.Public }

// TenantByKey returns the tenant with an API key, or nil if there is none.
func (i *Intent) TenantByKey(key string) *Tenant { return i.tenants.byKey[key] }

// TenantByName returns the tenant with a name, or nil if there is none.
func (i *Intent) TenantByName(name string) *Tenant { return i.tenants.byName[name] }

// HasRateLimit reports whether any tenant has a rate limit.
func (i *Intent) HasRateLimits() bool { return i.tenants.hasLimits }
