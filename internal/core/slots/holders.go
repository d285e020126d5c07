package slots

import (
	"cmp"
	"slices"
)

// Holder is a route or a tenant with its requests at a target.
type Holder struct {
	Name    string // may be empty
	Running int    // requests that hold a slot
	Waiting int    // queued requests
	Rest    int    // number of further routes or tenants that this entry sums up; 0: it is the one of Name
}

// Holders returns the classes and the tenants with the most requests at the target, at most most of
// each. A further entry sums up the rest. The tenants are nil if no request has one.
func (g *Gate) Holders(most int) (classes, tenants []Holder) {
	byClass, byTenant := map[string]*Holder{}, map[string]*Holder{}
	for _, request := range g.running {
		holder(byClass, request.class).Running++
		holder(byTenant, request.tenant).Running++
	}
	for i := range g.queue {
		request := &g.queue[i].request
		holder(byClass, request.Class).Waiting++
		holder(byTenant, request.Tenant).Waiting++
	}
	if _, without := byTenant[""]; without && len(byTenant) == 1 {
		byTenant = nil
	}
	return largest(byClass, most), largest(byTenant, most)
}

func holder(holders map[string]*Holder, name string) *Holder {
	found := holders[name]
	if found == nil {
		found = &Holder{Name: name}
		holders[name] = found
	}
	return found
}

// largest returns the entries with the most requests, at most most, and one for the rest.
func largest(holders map[string]*Holder, most int) []Holder {
	var sorted []Holder
	for _, h := range holders {
		sorted = append(sorted, *h)
	}
	slices.SortFunc(sorted, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) <= most {
		return sorted
	}
	rest := Holder{Rest: len(sorted) - most}
	for _, h := range sorted[most:] {
		rest.Running += h.Running
		rest.Waiting += h.Waiting
	}
	return append(sorted[:most], rest)
}
