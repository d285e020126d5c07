package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/bundle"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/routing"
)

// RouteState is one target as routing sees it.
type RouteState = routing.State

// router holds the route to each service.
type router struct {
	node     string
	zone     string
	mutex    sync.RWMutex
	services map[string]*serviceRoute
}

// serviceRoute guards a route against concurrent use.
type serviceRoute struct {
	mutex sync.Mutex
	route *routing.Route
}

type globalRandom struct{}

func (globalRandom) IntN(n int) int { return rand.IntN(n) }

func newRouter(node, zone string) *router {
	return &router{node: node, zone: zone, services: map[string]*serviceRoute{}}
}

func (r *router) update(now time.Duration, installed *bundle.Bundle, leaving map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := map[string]*serviceRoute{}
	for _, service := range installed.Services {
		route := r.services[service.Name]
		if route == nil {
			balancer := routing.New(routing.DefaultConfig(), r.node, r.zone, globalRandom{})
			route = &serviceRoute{route: routing.NewRoute(balancer, false)}
		}
		targets := make([]routing.Target, 0, len(service.Targets))
		for _, node := range service.Targets {
			targets = append(targets, routing.Target{
				Node: node.Name, Address: node.Address, Zone: node.Zone, Joining: node.State == bundle.Joining,
				Leaving: node.State == bundle.Leaving || leaving[node.Name],
			})
		}
		route.mutex.Lock()
		route.route.Balancer.Update(now, targets)
		route.mutex.Unlock()
		kept[service.Name] = route
	}
	r.services = kept
}

func (r *router) route(service string) *serviceRoute {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.services[service]
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
