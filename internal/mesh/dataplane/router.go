package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/core/routing"
)

// RouteState is the state of a target in the balancer.
type RouteState = routing.State

// router holds the routes to services. Routes are created on the first call, so a node keeps
// no state for services it never calls.
type router struct {
	node     string
	zone     string
	now      func() time.Duration
	mutex    sync.RWMutex
	index    *bundle.Index
	leaving  map[string]bool
	services map[string]*serviceRoute
}

// serviceRoute is a routing.Route that is safe for concurrent use.
type serviceRoute struct {
	mutex sync.Mutex
	route *routing.Route
}

type globalRandom struct{}

func (globalRandom) IntN(n int) int { return rand.IntN(n) }

func newRouter(node, zone string, now func() time.Duration) *router {
	return &router{node: node, zone: zone, now: now, services: map[string]*serviceRoute{}}
}

// update applies a bundle and the names of nodes marked as leaving in the machine list.
func (r *router) update(index *bundle.Index, leaving map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.index, r.leaving = index, leaving
	for name, route := range r.services {
		service := index.Service(name)
		if service == nil {
			delete(r.services, name)
			continue
		}
		route.update(r.now(), service, leaving)
	}
}

// route returns the route to a service, or nil if it is not in the bundle.
func (r *router) route(name string) *serviceRoute {
	r.mutex.RLock()
	route := r.services[name]
	r.mutex.RUnlock()
	if route != nil {
		return route
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if route := r.services[name]; route != nil || r.index == nil {
		return route
	}
	service := r.index.Service(name)
	if service == nil {
		return nil
	}
	balancer := routing.New(routing.DefaultConfig(), r.node, r.zone, globalRandom{})
	route = &serviceRoute{route: routing.NewRoute(balancer, false)}
	route.update(r.now(), service, r.leaving)
	r.services[name] = route
	return route
}

func (s *serviceRoute) update(now time.Duration, service *bundle.Service, leaving map[string]bool) {
	targets := make([]routing.Target, 0, len(service.Targets))
	for _, node := range service.Targets {
		targets = append(targets, routing.Target{
			Node: node.Name, Address: node.Address, Zone: node.Zone, Joining: node.State == bundle.Joining,
			Leaving: node.State == bundle.Leaving || leaving[node.Name],
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.route.Balancer.Update(now, targets)
}

func (s *serviceRoute) pick(now time.Duration, class string, request routing.Request) (routing.Choice, outcome.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.route.Pick(now, class, request)
}

func (s *serviceRoute) finished(now time.Duration, class string, result routing.Result, pathCursor int) (ejected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.route.Finished(now, class, result, pathCursor)
}

func (s *serviceRoute) cursor(now time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.route.Cursor(now)
}

func (r *router) states(now time.Duration) map[string][]RouteState {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	states := map[string][]RouteState{}
	for name, route := range r.services {
		route.mutex.Lock()
		states[name] = route.route.Balancer.States(now)
		route.mutex.Unlock()
	}
	return states
}
