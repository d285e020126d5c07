package sidecar

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// The importance of a request orders the queues of all gates on its way: by priority,
// then by how soon its answer is wanted where the chain starts, then calls of running
// work before fresh work. What is wanted soon is let past what can wait: a request with
// 250 ms behind calls of chains with more than a second is late for nothing gained.
const (
	importanceStep  = 64 // between two priorities
	importanceTier  = 2  // between two tiers of one priority
	importanceFresh = 1
)

// Tiers of the time inside which an answer is wanted: two for each doubling.
const (
	tierFirst    = 25 * time.Millisecond // and less
	tiersPerFold = 2
	tierMost     = 30
)

// importanceOf gives that of a request of a client on a route, whose answer is wanted
// inside a limit.
func importanceOf(route *intent.Route, limit time.Duration) int {
	tier := 0
	if limit > tierFirst {
		tier = min(int(math.Round(tiersPerFold*math.Log2(float64(limit)/float64(tierFirst)))), tierMost)
	}
	return route.Priority*importanceStep + tier*importanceTier + importanceFresh
}

// importanceOfCall gives that of a call made for a request.
func importanceOfCall(parent int) int { return parent &^ importanceFresh }
