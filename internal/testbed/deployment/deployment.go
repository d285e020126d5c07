// Package deployment describes the deployments that tests play: zones, services and their
// targets, routes and what clients send on them, tenants. It owns nothing that runs; it writes
// the configuration that the platform's store has of a deployment. Only tests import it.
package deployment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/target"
)

// Host is the host name of all routes.
const Host = "mesh.example"

// Kinds of routes.
const (
	Safe   = "safe"
	Unsafe = "unsafe" // a request may run at most once
)

// Route is a route and the requests that clients send on it.
type Route struct {
	Prefix      string        // of the path
	Kind        string        // Safe or Unsafe
	Service     string        // that runs its requests
	Priority    int           // 0 is the most important
	MaxAttempts int           // targets that a request may reach
	Timeout     time.Duration // of one request at the node
	Objective   time.Duration // within which an answer counts as in time
	Deadline    time.Duration // of the clients
	PerSecond   float64       // requests of all clients; 0: only targets call it
	Body        int           // bytes that clients send
	Public      bool          // needs no key
}

// Plan describes a deployment.
type Plan struct {
	Zones    []string
	Services map[string]Service
	Routes   []Route
	Tenants  []Tenant      // none: clients send no keys
	Delay    time.Duration // one way between zones; a fifth of it within a zone
	Output   io.Writer     // takes the logs of the nodes; nil: dropped
	// ReadsPerSecond limits the reading calls that the store serves to all nodes; 0: no limit.
	ReadsPerSecond int
}

// Service describes the targets of a service.
type Service struct {
	Targets int
	Slots   int       // of each target
	Speeds  []float64 // factors on the time of work, for the targets in turn; none: 1
	Works   []target.Work
}

// Tenant is a tenant with its keys, its limit and its part of the load.
type Tenant struct {
	Name  string
	Keys  []string
	Rate  float64 // requests a second over all nodes; 0: no limit
	Burst float64 // requests beyond the rate
	Share float64 // weight of its part of the clients' requests
}

// Tenants returns count tenants with two keys each and the same limit.
func Tenants(count int, rate, burst float64) []Tenant {
	tenants := make([]Tenant, count)
	for index := range tenants {
		name := fmt.Sprintf("tenant%d", index)
		tenants[index] = Tenant{Name: name, Keys: []string{"key-" + name + "-a", "key-" + name + "-b"}, Rate: rate, Burst: burst, Share: 1}
	}
	return tenants
}

// ServiceNames returns the names of the services, sorted.
func (p Plan) ServiceNames() []string { return slices.Sorted(maps.Keys(p.Services)) }

// Targets returns the number of targets of all services.
func (p Plan) Targets() (count int) {
	for _, service := range p.Services {
		count += service.Targets
	}
	return count
}
