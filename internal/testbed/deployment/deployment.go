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

// Host is the host that all routes of a mesh have.
const Host = "mesh.example"

// Route is one route of a mesh and the requests that clients send on it.
type Route struct {
	Prefix      string
	Kind        string
	Service     string
	Priority    int
	MaxAttempts int
	Timeout     time.Duration
	Objective   time.Duration
	Deadline    time.Duration // of the clients
	PerSecond   float64       // over all clients; 0: calls of targets only
	Body        int           // bytes that clients send
	Public      bool          // needs no key
}

// Plan describes a mesh.
type Plan struct {
	Zones    []string
	Services map[string]Service
	Routes   []Route
	Tenants  []Tenant      // none: clients send no keys
	Delay    time.Duration // between zones; a fifth of it within
	Output   io.Writer     // of the nodes' logs; nil: nowhere
	// ReadsPerSecond is the rate of the store that all nodes share; 0: unbounded.
	ReadsPerSecond int
}

// Service describes the targets of a service.
type Service struct {
	Targets int
	Slots   int
	Speeds  []float64
	Works   []target.Work
}

// Tenant is one tenant of a mesh.
type Tenant struct {
	Name  string
	Keys  []string
	Rate  float64 // limit over all nodes; 0: none
	Burst float64
	Share float64 // part of the clients' requests, as a weight
}

// Tenants gives so many tenants with two keys each and so much of a limit.
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
