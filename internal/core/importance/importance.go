// Package importance orders requests in the queues of all gates on their way. The order is
// one number, lower first, settled where a chain of calls begins and handed down with each
// call: by priority of the route, then by that of the tenant, then by how soon the answer is
// wanted where the chain begins, then calls of running work before fresh work.
//
// A tenant's priority put before the route's served kinds of requests less often than less
// urgent ones of the same service (docs/design/shifted.md). What is wanted soon is let past
// what can wait: a request with 250 ms behind calls of chains with more than a second is
// late for nothing gained.
//
// It relies on package intent for routes and tenants and keeps no state.
package importance

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// Steps of the number: what comes first in the order has the larger step.
const (
	Step     = 8 * rankStep // between two priorities of routes
	rankStep = 64           // between two tenants' priorities
	tierStep = 2            // between two tiers of one priority
	fresh    = 1
)

// Tiers of the time inside which an answer is wanted: two for each doubling.
const (
	tierFirst    = 25 * time.Millisecond // and less
	tiersPerFold = 2
	tierMost     = 30
)

// ranksMost is the least important of the tenants' priorities that are told apart.
const ranksMost = Step/rankStep - 1

// Of is the importance of a client's request on a route whose answer is wanted within a
// limit; 0: how soon is not told apart. tenant is nil for a request of none.
func Of(route *intent.Route, tenant *intent.Tenant, limit time.Duration) int {
	rank := 0
	if tenant != nil && tenant.Ranked {
		rank = min(max(tenant.Priority, 0), ranksMost)
	}
	tier := 0
	if limit > tierFirst {
		tier = min(int(math.Round(tiersPerFold*math.Log2(float64(limit)/float64(tierFirst)))), tierMost)
	}
	return route.Priority*Step + rank*rankStep + tier*tierStep + fresh
}

// OfCall is the importance of a call that is made for a request.
func OfCall(parent int) int { return parent &^ fresh }
