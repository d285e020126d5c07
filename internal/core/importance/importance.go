// Package importance computes the queue priority of requests, used by all gates along a call
// chain. It is a single number, lower first, computed where the chain starts and passed on with
// each call. It orders by route priority, tenant priority, timeout at the start of the chain,
// and calls of running requests before new requests.
//
// The route's priority precedes the tenant's; otherwise urgent routes can be served less often
// than less urgent routes of the same service (docs/design/shifted.md). Short timeouts go first
// because requests with long timeouts can wait: one with 250 ms behind calls of chains with more than a
// second would be late for nothing gained. The package keeps no state.
package importance

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// Weights of the components of the number, highest first.
const (
	PriorityStep = 8 * tenantStep // between route priorities
	tenantStep   = 64             // between tenant priorities
	urgencyStep  = 2              // between tiers
	newWork      = 1              // added for a client's request, not for a call
)

// Timeouts are grouped into logarithmic tiers, two per doubling.
const (
	shortestTimeout  = 25 * time.Millisecond // in tier 0, as all shorter ones
	tiersPerDoubling = 2
	maxTier          = 30
)

// maxTenantRank is the lowest tenant priority that is distinguished.
const maxTenantRank = PriorityStep/tenantStep - 1

// Of returns the importance of a client's request on a route. A timeout of 0 counts as the
// shortest one. tenant is nil for a request without a tenant.
func Of(route *intent.Route, tenant *intent.Tenant, timeout time.Duration) int {
	rank := 0
	if tenant != nil && tenant.HasPriority {
		rank = min(max(tenant.Priority, 0), maxTenantRank)
	}
	tier := 0
	if timeout > shortestTimeout {
		tier = min(int(math.Round(tiersPerDoubling*math.Log2(float64(timeout)/float64(shortestTimeout)))), maxTier)
	}
	return route.Priority*PriorityStep + rank*tenantStep + tier*urgencyStep + newWork
}

// Priority returns the priorities of route and tenant that an importance contains, as one number.
func Priority(importance int) int { return importance / tenantStep }

// OfCall returns the importance of a call made for a request.
func OfCall(parent int) int { return parent &^ newWork }

// IsCall reports whether an importance is that of a call, not of a client's request.
func IsCall(importance int) bool { return importance&newWork == 0 }
