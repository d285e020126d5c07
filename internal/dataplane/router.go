package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/admission"
	"github.com/landingmast/landingmast/internal/core/bundle"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/routing"
)

// RouteState is one target as routing sees it.
type RouteState = routing.State

// router holds a balancer for each service and what is known of whole paths.
type router struct {
	node     string
	zone     string
	mutex    sync.RWMutex
	services map[string]*serviceRoute
}

type serviceRoute struct {
	mutex    sync.Mutex
	balancer *routing.Balancer
	paths    map[string]*admission.View // by class: the lowest cursor below
	leaving  map[string]bool            // nodes whose own answer said that they drain
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
			route = &serviceRoute{balancer: balancer, paths: map[string]*admission.View{}, leaving: map[string]bool{}}
		}
		targets := make([]routing.Target, 0, len(service.Targets))
		for _, node := range service.Targets {
			targets = append(targets, routing.Target{
				Node: node.Name, Address: node.Address, Zone: node.Zone, Joining: node.State == bundle.Joining,
				Leaving: node.State == bundle.Leaving || leaving[node.Name],
			})
		}
		route.mutex.Lock()
		route.balancer.Update(now, targets)
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

// pick chooses a target and counts the call as started there.
func (s *serviceRoute) pick(now time.Duration, class string, request routing.Request) (routing.Choice, outcome.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if view := s.paths[class]; view != nil && !view.Admit(now, request.Rank) {
		return routing.Choice{}, outcome.ReasonOverloadCursor
	}
	choice, reason := s.balancer.Pick(now, request)
	if reason == outcome.ReasonNone {
		s.balancer.Started(choice.Target.Node)
	}
	return choice, reason
}

// finished feeds back what an attempt showed; pathCursor is the lowest cursor
// below the target for the class.
func (s *serviceRoute) finished(now time.Duration, class string, result routing.Result, pathCursor int, answered bool) (ejected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered && pathCursor >= 0 {
		view := s.paths[class]
		if view == nil {
			view = &admission.View{}
			s.paths[class] = view
		}
		view.Observe(now, admission.Rank(pathCursor))
	}
	return s.balancer.Finished(now, result)
}

// cursor is the highest rank that any target of the service is known to admit;
// -1 while at least one is not known to be shedding.
func (s *serviceRoute) cursor(now time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	highest := -1
	for _, state := range s.balancer.States(now) {
		if state.State == "leaving" || state.State == "ejected" {
			continue
		}
		if !state.Known {
			return -1
		}
		highest = max(highest, int(state.Cursor))
	}
	return highest
}

func (r *router) states(now time.Duration) map[string][]RouteState {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	states := map[string][]RouteState{}
	for name, route := range r.services {
		route.mutex.Lock()
		states[name] = route.balancer.States(now)
		route.mutex.Unlock()
	}
	return states
}
