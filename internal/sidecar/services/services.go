// Package services holds what a node knows of each service: the targets that its requests may
// go to, and the budgets for repeats.
//
// It owns a balancer and a budget for each service, the node's part of the allowance for
// repeats, and what the node keeps of the budgets of the requests that begin at it. The rules
// are those of packages core/balancer and core/repeats; what a sending's end means is decided
// by core/outcome. It relies on its callers for the records of targets (Update), for the
// number of nodes (Count) and for what a route's requests need of other services. All of it
// is safe for concurrent use.
package services

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Services holds what the node knows of each service: its targets and the budget
// for repeats. It is safe for concurrent use.
type Services struct {
	node   string
	zone   string
	now    func() time.Duration
	config repeats.Config

	mutex  sync.Mutex
	byName map[string]*Service
	share  *repeats.Share // the node's part of the allowance for repeats
	keep   repeats.Keep   // what it keeps of the budgets of its requests
	policy settings.Policy
}

// Service is one service as this node sees it.
type Service struct {
	mutex    sync.Mutex
	balancer *balancer.Balancer
	budget   *repeats.Budget
	ration   repeats.Ration // which chains may repeat; guarded by the mutex of Services
}

// globalRandom implements balancer.Random.
type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// Options are what services are made of.
type Options struct {
	Node, Zone string
	Now        func() time.Duration
	Budget     repeats.Config
	FirstStart bool // no process of the node ran before
	Policy     settings.Policy
}

// New makes the services of a process that starts now.
func New(o Options) *Services {
	return &Services{
		node: o.Node, zone: o.Zone, now: o.Now, config: o.Budget, policy: o.Policy,
		byName: map[string]*Service{}, share: repeats.NewShare(o.Budget.Window, o.FirstStart),
	}
}

// Get returns a service, also one without targets.
func (s *Services) Get(name string) *Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.getLocked(name)
}

func (s *Services) getLocked(name string) *Service {
	known := s.byName[name]
	if known == nil {
		known = &Service{
			balancer: balancer.New(s.balancing(), s.node, s.zone, globalRandom{}),
			budget:   repeats.New(s.config),
		}
		s.byName[name] = known
	}
	return known
}

// balancing sets the balancers as the policy says.
func (s *Services) balancing() balancer.Config {
	config := balancer.DefaultConfig()
	config.NoSamples = !s.policy.On(settings.Samples)
	config.NoZones = !s.policy.On(settings.Zones)
	config.NoLosses = !s.policy.On(settings.Losses)
	return config
}

// Update sets the targets of every service.
func (s *Services) Update(targets map[string][]balancer.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name := range targets {
		s.getLocked(name)
	}
	for name, known := range s.byName {
		known.mutex.Lock()
		known.balancer.Update(targets[name])
		known.mutex.Unlock()
	}
}

// Count sets the number of nodes, this one among them.
func (s *Services) Count(members int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.share.Count(s.now(), members)
}

// Choice is the target that a sending goes to.
type Choice struct {
	Service  *Service
	class    string
	sent     time.Duration
	endpoint *balancer.Endpoint
	Node     string
	Address  string
}

// Pick chooses a target; nil when there is none.
func (s *Service) Pick(now time.Duration, wish balancer.Requirement, excluded map[string]bool) *Choice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	endpoint := s.balancer.Pick(now, wish, excluded, true)
	if endpoint == nil {
		return nil
	}
	s.balancer.Sent(endpoint)
	return &Choice{Service: s, class: wish.Class, sent: now, endpoint: endpoint, Node: endpoint.Node, Address: endpoint.Address}
}

// Done notes what the sending came to.
func (c *Choice) Done(now time.Duration, answer *reply.Reply) {
	s := c.Service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Done(c.endpoint)
	if answer.Load.Slots > 0 {
		s.balancer.Report(now, c.endpoint, answer.Load)
	}
	switch {
	case outcome.Wasted(answer.Outcome, answer.Reason):
		s.balancer.Lost(now, c.endpoint)
	case answer.Reason.Declined():
		s.balancer.Declined(now, c.endpoint)
	case answer.Outcome == outcome.Answered:
		s.balancer.Answered(now, c.endpoint, c.class, answer.Bytes(), answer.ServiceTime(now-c.sent))
	}
	switch {
	case answer.Reason.Silent():
		s.balancer.Suspect(now, c.endpoint)
	case answer.Reason.TakesNoWork():
		s.balancer.Refused(now, c.endpoint)
	}
}

// Suspect leaves the target beside a node alone: the node gives no sign of life.
func (s *Services) Suspect(node string) {
	if !s.policy.On(settings.Suspicion) {
		return
	}
	s.each(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.Suspect(s.now(), e) })
}

// Trust ends the suspicion of the target beside a node.
func (s *Services) Trust(node string) {
	s.each(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.Trust(e) })
}

// each calls f for the target beside a node in every service that has it.
func (s *Services) each(node string, f func(b *balancer.Balancer, e *balancer.Endpoint)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.byName {
		known.mutex.Lock()
		if endpoint := known.balancer.Endpoint(node); endpoint != nil {
			f(known.balancer, endpoint)
		}
		known.mutex.Unlock()
	}
}

// Pressure returns how full the service is; false when it is not known.
func (s *Service) Pressure(now time.Duration) (balancer.Pressure, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.balancer.Pressure(now)
}

func (s *Service) count(now time.Duration, requests float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Request(now, requests)
}
