package intent

import (
	"math"
	"strings"
	"unicode"

	"github.com/landingmast/landingmast/internal/failure"
)

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name     string
	Keys     []string // each is held by one tenant; never to be logged
	Priority int      // 0 is the most important; meaningless unless Ranked
	Ranked   bool     // the operators gave the tenant a priority
	Rate     float64  // requests a second over all nodes; 0: no limit
	Burst    float64  // requests beyond the rate
}

// Limited tells whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// tenantIndex finds tenants by key and by name, each with one look-up.
type tenantIndex struct {
	byKey  map[string]*Tenant
	byName map[string]*Tenant
	limits bool // some tenant has a limit
}

// build checks the tenants and fills the index. Errors name tenants, never keys.
func (x *tenantIndex) build(tenants []*Tenant) error {
	x.byKey = make(map[string]*Tenant, len(tenants))
	x.byName = make(map[string]*Tenant, len(tenants))
	for _, one := range tenants {
		if err := one.check(); err != nil {
			return err
		}
		if x.byName[one.Name] != nil {
			return failure.New(failure.BadInput, "give each tenant a name of its own", "tenant %s is listed twice", one.Name)
		}
		x.byName[one.Name] = one
		x.limits = x.limits || one.Limited()
		for _, key := range one.Keys {
			if other := x.byKey[key]; other != nil {
				return failure.New(failure.BadInput, "give each key to one tenant", "tenants %s and %s hold the same key", other.Name, one.Name)
			}
			x.byKey[key] = one
		}
	}
	return nil
}

func (t *Tenant) check() error {
	bad := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "tenant "+t.Name+": "+format, arguments...)
	}
	if t.Name == "" {
		return bad("name each tenant", "name is missing")
	}
	// The name travels in a header field.
	if strings.ContainsFunc(t.Name, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }) {
		return bad("use printable ASCII without blanks", "name %q is not usable", t.Name)
	}
	for _, key := range t.Keys {
		if key == "" {
			return bad("remove the key or write it out", "a key is empty")
		}
	}
	if !usable(t.Rate) {
		return bad("use 0 (no limit) or more requests a second", "rate %g is not usable", t.Rate)
	}
	if !usable(t.Burst) {
		return bad("use 0 or more requests", "burst %g is not usable", t.Burst)
	}
	return nil
}

func usable(number float64) bool { return number >= 0 && !math.IsInf(number, 0) && !math.IsNaN(number) }

// NeedsKey tells whether a client's request on the route needs the key of a tenant.
func (i *Intent) NeedsKey(route *Route) bool { return len(i.Tenants) > 0 && !route.Public }

// Holder gives the tenant that holds a key, nil when none does.
func (i *Intent) Holder(key string) *Tenant { return i.tenants.byKey[key] }

// Tenant gives the tenant of a name, nil when there is none.
func (i *Intent) Tenant(name string) *Tenant { return i.tenants.byName[name] }

// Limited tells whether some tenant has a limit.
func (i *Intent) Limited() bool { return i.tenants.limits }
