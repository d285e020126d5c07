package sidecar

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// The importance of a request orders the queues of all gates on its way: by priority of
// its route, then by that of its tenant, then by how soon its answer is wanted where the
// chain starts, then calls of running work before fresh work. A tenant's priority put
// before the route's serves kinds of requests less often than less urgent ones of the same
// service (docs/design/shifted.md). What is wanted soon is let past what can wait: a request with
// 250 ms behind calls of chains with more than a second is late for nothing gained.
const (
	importanceStep  = 8 * importanceRank // between two priorities
	importanceRank  = 64                 // between two tenants' priorities
	importanceTier  = 2                  // between two tiers of one priority
	importanceFresh = 1
)

// Tiers of the time inside which an answer is wanted: two for each doubling.
const (
	tierFirst    = 25 * time.Millisecond // and less
	tiersPerFold = 2
	tierMost     = 30
)

// ranksMost is the least important of the tenants' priorities that are told apart.
const ranksMost = importanceStep/importanceRank - 1

// importanceOf gives that of a request of a client on a route, whose answer is wanted
// inside a limit; tenant may be nil.
func importanceOf(route *intent.Route, tenant *intent.Tenant, limit time.Duration) int {
	rank := 0
	if tenant != nil && tenant.Ranked {
		rank = min(max(tenant.Priority, 0), ranksMost)
	}
	tier := 0
	if limit > tierFirst {
		tier = min(int(math.Round(tiersPerFold*math.Log2(float64(limit)/float64(tierFirst)))), tierMost)
	}
	return route.Priority*importanceStep + rank*importanceRank + tier*importanceTier + importanceFresh
}

// importanceOfCall gives that of a call made for a request.
func importanceOfCall(parent int) int { return parent &^ importanceFresh }
