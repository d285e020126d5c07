// Package fairshare compares the tenants of a service: how much slot time each of them asks for by
// weight, relative to the mean of the others. A gate keeps a Meter of the calls that reach its target; a gate sees thousands of calls a second, whereas a node at the start of chains
// sees a given tenant every few seconds.
//
// The share is relative to what the others ask for, not to the capacity: nodes refuse requests at the
// start of their chains, so that what arrives comes down to the capacity, and a share of that would be
// exceeded by nobody while tenants are still refused for others. Tenants whose requests are refused in the
// order of their ratios until the rest fits get max-min fair shares.
//
// The package does no locking and uses no clock or randomness.
package fairshare

import (
	"math"
	"time"
)

const (
	// Window is the time constant of the moving sum of slot time: long enough for some calls of small
	// tenants, short enough to notice a burst of one tenant within seconds.
	Window = 2 * time.Second
	// MaxTenants bounds the tenants that a Meter distinguishes. The least active ones count as one.
	MaxTenants = 128
	// totalInterval is how often the sums over all tenants are computed.
	totalInterval = 100 * time.Millisecond
	// negligible is the slot time in ns below which a tenant is forgotten.
	negligible = float64(10 * time.Microsecond)
)

// Meter measures the slot time that tenants ask of one target. It is not safe for concurrent use.
type Meter struct {
	tenants map[string]*usage
	others  usage // tenants that made room for others, with the sum of their weights
	total   usage // of all tenants, as of the last refresh
	known   bool  // whether total was computed
}

// usage is what one tenant asks for.
type usage struct {
	slotTime float64 // ns, decaying with Window
	at       time.Duration
	weight   float64
}

// NewMeter returns a Meter that has seen nothing.
func NewMeter() *Meter { return &Meter{tenants: map[string]*usage{}} }

// Add records a call of a tenant that is expected to occupy a slot for slotTime. weight is the tenant's
// right to capacity relative to that of the others; values that are not positive and finite count as 1.
func (m *Meter) Add(now time.Duration, tenant string, weight float64, slotTime time.Duration) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	u := m.tenants[tenant]
	if u == nil {
		u = m.admit(now, tenant)
	}
	u.slotTime = u.current(now) + max(float64(slotTime), 0)
	u.at, u.weight = now, weight
}

// admit starts the usage of a tenant. If there are too many tenants, the least active one makes room, so
// that a tenant which begins to ask for much is distinguished however many small ones there are.
func (m *Meter) admit(now time.Duration, tenant string) *usage {
	if len(m.tenants) >= MaxTenants {
		m.refresh(now)
	}
	if len(m.tenants) >= MaxTenants {
		m.mergeLeastActive(now)
	}
	u := &usage{}
	m.tenants[tenant] = u
	return u
}

// mergeLeastActive adds the usage and the weight of the least active tenant to those of the others.
func (m *Meter) mergeLeastActive(now time.Duration) {
	least, lowest := "", math.Inf(1)
	for name, u := range m.tenants {
		if u.slotTime < lowest { // as of the last refresh or later
			least, lowest = name, u.slotTime
		}
	}
	u := m.tenants[least]
	m.others.decay(now)
	m.others.slotTime += u.current(now)
	m.others.weight += u.weight
	delete(m.tenants, least)
}

// Ratio returns the slot time that a tenant asks for relative to its fair share: above 1 it asks for
// more. For a tenant that is not distinguished it is the mean ratio of those. 0: unknown.
func (m *Meter) Ratio(now time.Duration, tenant string) float64 {
	return m.RatioBesides(now, tenant, now, 0)
}

// RatioBesides returns the ratio of a tenant without the share of one call, which was added at a time
// with slotTime. Results report it. Calls see the sum while they are part of it: a tenant with two calls in
// the window would seem to ask for half as much again as it does, a large one for what it does. The
// result is above 0 if the tenant is distinguished.
func (m *Meter) RatioBesides(now time.Duration, tenant string, addedAt, slotTime time.Duration) float64 {
	m.refresh(now)
	u, own := m.tenants[tenant], 0.0
	if u != nil {
		own = float64(slotTime) * math.Exp(-float64(max(now-addedAt, 0))/float64(Window))
	} else {
		u = &m.others
	}
	if u.weight <= 0 {
		return 0
	}
	asked := u.current(now)
	others, weight := max(m.total.current(now)-asked, 0), max(m.total.weight-u.weight, 0)
	if others < negligible || weight <= 0 {
		return 1 // there are no others
	}
	ratio := max(asked-own, 0) / u.weight / (others / weight)
	return min(max(ratio, minRatio), maxRatio)
}

const (
	// minRatio is the least ratio that is known, since 0 means unknown.
	minRatio = 0.001
	// maxRatio bounds a ratio: the share of a tenant whose weight is tiny beside those of the others.
	maxRatio = 100.0
)

// current returns the decayed slot time.
func (u *usage) current(now time.Duration) float64 {
	return u.slotTime * math.Exp(-float64(max(now-u.at, 0))/float64(Window))
}

// decay brings the slot time and the weight of the others to now.
func (u *usage) decay(now time.Duration) {
	if u.slotTime > 0 {
		decayed := u.current(now)
		u.weight *= decayed / u.slotTime
		u.slotTime = decayed
	}
	u.at = now
}

// refresh computes the sums anew if they are too old, and forgets tenants that were not seen lately.
func (m *Meter) refresh(now time.Duration) {
	if m.known && now-m.total.at < totalInterval {
		return
	}
	m.total, m.known = usage{at: now}, true
	for name, u := range m.tenants {
		if u.slotTime, u.at = u.current(now), now; u.slotTime < negligible {
			delete(m.tenants, name)
			continue
		}
		m.total.slotTime += u.slotTime
		m.total.weight += u.weight
	}
	if m.others.decay(now); m.others.slotTime < negligible {
		m.others = usage{at: now}
	}
	m.total.slotTime += m.others.slotTime
	m.total.weight += m.others.weight
}
