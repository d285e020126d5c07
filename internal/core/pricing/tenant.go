package pricing

import (
	"math"
	"time"
)

// tenantRatio is the slot time that a tenant asks of a service relative to its fair share, as the gates
// report it (core/fairshare).
type tenantRatio struct {
	mean float64 // moving average
	at   time.Duration
}

const (
	// tenantScale is the merit that a request loses if its tenant asks for e times its share. With half of
	// it, a tenant with 5% of the usual rate that sends seven times that still gets 0.27 of its requests at
	// 1.3 of the capacity instead of 0.21, and the others 0.73 instead of 0.75 (trials).
	tenantScale = 2.0
	// tenantSmoothing is the time constant of the moving average over the reports on a tenant: some
	// requests of a tenant that a node sees, whose reports vary.
	tenantSmoothing = time.Second
	// minTenantWeight is the minimum weight of a report, for reports in quick succession.
	minTenantWeight = 0.05
	// maxTenants bounds the tenants of a service whose ratio is kept; the one that was reported the
	// longest ago makes room.
	maxTenants = 128
)

// ObserveTenant records a report on a tenant: the slot time that it asks of a service relative to its
// fair share. Reports on services far from scarce are of no use and are not kept.
func (c *Controller) ObserveTenant(now time.Duration, tenant, service string, ratio float64) {
	s := c.services[service]
	if s == nil || s.offered < needOrderLoad || !(ratio > 0) {
		return
	}
	known := s.tenants[tenant]
	if known == nil || now-known.at > c.config.Expiry {
		s.setTenant(tenant, &tenantRatio{mean: ratio, at: now})
		return
	}
	elapsed := max(now-known.at, 0)
	known.mean += max(1-math.Exp(-float64(elapsed)/float64(tenantSmoothing)), minTenantWeight) * (ratio - known.mean)
	known.at += elapsed
}

// setTenant adds or replaces a ratio.
func (s *service) setTenant(name string, ratio *tenantRatio) {
	if s.tenants == nil {
		s.tenants = map[string]*tenantRatio{}
	}
	if len(s.tenants) >= maxTenants && s.tenants[name] == nil {
		oldest, at := "", ratio.at
		for other, r := range s.tenants {
			if r.at <= at {
				oldest, at = other, r.at
			}
		}
		delete(s.tenants, oldest)
	}
	s.tenants[name] = ratio
}

// tenantRatio returns by how much a tenant exceeds its share of the service, or 1 if it does not or
// nothing is known. Without reports it decays to 1.
func (s *service) tenantRatio(now time.Duration, tenant string, config *Config) float64 {
	known := s.tenants[tenant]
	if known == nil || known.mean <= 1 {
		return 1
	}
	if age := now - known.at; age > config.Expiry {
		return math.Pow(known.mean, math.Exp(-float64(age-config.Expiry)/float64(config.Decay)))
	}
	return known.mean
}

// tenantMerit returns the merit of a request whose tenant asks for ratio times its share of a service.
// It does not fall below the merits of requests of less important routes that need the service and, like
// this one, are new or returning.
func (c *Controller) tenantMerit(service string, rank int, merit, ratio float64, returning bool) float64 {
	lowest := math.Inf(-1)
	for _, r := range c.routes {
		n := r.needs[service]
		if r.rank >= rank || n == nil || n.slotTime <= 0 {
			continue
		}
		standing := n.standingOf(r.rank)
		if !n.counts(standing.negligible) {
			continue
		}
		other := standing.merit(n.slotTime)
		if returning {
			other += returningMerit
		}
		lowest = max(lowest, other)
	}
	return min(max(merit-tenantScale*math.Log(ratio), lowest), merit)
}
