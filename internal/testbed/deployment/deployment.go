// Package deployment describes the deployments that tests simulate: zones, services and
// targets, routes with their client load, and tenants. It also generates the configuration
// stored in the metadata store. Only tests import it.
package deployment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/target"
)

// Host is the virtual host of all routes.
const Host = "mesh.example"

// Route kinds.
const (
	Safe   = "safe"
	Unsafe = "unsafe" // executed at most once
	Upload = "upload" // executed at most once, with a large body
)

// Route is a route and its client load.
type Route struct {
	Prefix            string        // path prefix
	Kind              string        // Safe, Unsafe or Upload
	Service           string        // service that handles the requests
	Priority          int           // 0 is the most important
	MaxAttempts       int           // maximum number of targets tried per request
	Timeout           time.Duration // per request, enforced by the node
	Objective         time.Duration // latency objective
	Deadline          time.Duration // client deadline
	RequestsPerSecond float64       // request rate of all clients; 0: only targets call the route
	Body              int           // request body size in bytes
	Public            bool          // requires no API key
}

// AtMostOnce reports whether a request of the route may run only once.
func (r Route) AtMostOnce() bool { return r.Kind != Safe }

// Plan describes a deployment.
type Plan struct {
	Zones     []string
	Services  map[string]Service
	Routes    []Route
	Tenants   []Tenant      // empty: clients send no API keys
	Delay     time.Duration // one-way latency between zones; within a zone it is a fifth of this
	LogOutput io.Writer     // destination of the node logs; nil discards them
	// ReadsPerSecond limits the read requests served by the store; 0 means no limit.
	ReadsPerSecond int
	// IgnoresState selects machines whose nodes do not follow what targets state, like those of an
	// earlier release, by index and service; nil: none.
	IgnoresState func(index int, service string) bool
	// PolicyOff lists mechanisms that are disabled at all nodes.
	PolicyOff []settings.Mechanism
}

// Service describes the targets of a service.
type Service struct {
	Targets int
	Slots   int       // concurrent requests per target
	Speeds  []float64 // multipliers of the service time, assigned to targets round-robin; empty means 1
	Works   []target.Work
}

// Tenant is a tenant with its API keys, rate limit and share of the load.
type Tenant struct {
	Name  string
	Keys  []string
	Rate  float64 // requests per second across all nodes; 0 means no limit
	Burst float64 // burst size of the rate limit
	Share float64 // weight in the distribution of client requests
}

// Tenants returns count tenants with two API keys each and the same rate limit.
func Tenants(count int, rate, burst float64) []Tenant {
	tenants := make([]Tenant, count)
	for index := range tenants {
		name := fmt.Sprintf("tenant%d", index)
		tenants[index] = Tenant{Name: name, Keys: []string{"key-" + name + "-a", "key-" + name + "-b"}, Rate: rate, Burst: burst, Share: 1}
	}
	return tenants
}

// ServiceNames returns the service names in sorted order.
func (p Plan) ServiceNames() []string { return slices.Sorted(maps.Keys(p.Services)) }

// Targets returns the total number of targets.
func (p Plan) Targets() (count int) {
	for _, service := range p.Services {
		count += service.Targets
	}
	return count
}
