package sidecar

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

// services holds what the node knows of each service: its targets and the budget
// for repeats. It is safe for concurrent use.
type services struct {
	node   string
	zone   string
	now    func() time.Duration
	config repeats.Config

	mutex  sync.Mutex
	byName map[string]*service
	share  *repeats.Share // the node's part of the allowance for repeats
	keep   repeats.Keep   // what it keeps of the budgets of its requests
	policy settings.Policy
}

// service is one service as this node sees it.
type service struct {
	mutex    sync.Mutex
	balancer *balancer.Balancer
	budget   *repeats.Budget
	ration   repeats.Ration // which chains may repeat; guarded by the mutex of services
}

type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// servicesOptions are what services are made of.
type servicesOptions struct {
	Node, Zone string
	Now        func() time.Duration
	Budget     repeats.Config
	FirstStart bool // no process of the node ran before
	Policy     settings.Policy
}

// newServices makes the services of a process that starts now.
func newServices(o servicesOptions) *services {
	return &services{
		node: o.Node, zone: o.Zone, now: o.Now, config: o.Budget, policy: o.Policy,
		byName: map[string]*service{}, share: repeats.NewShare(o.Budget.Window, o.FirstStart),
	}
}

// Get gives a service, also one without targets.
func (s *services) Get(name string) *service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.getLocked(name)
}

func (s *services) getLocked(name string) *service {
	known := s.byName[name]
	if known == nil {
		known = &service{
			balancer: balancer.New(s.balancing(), s.node, s.zone, globalRandom{}),
			budget:   repeats.New(s.config),
		}
		s.byName[name] = known
	}
	return known
}

// balancing sets the balancers as the policy says.
func (s *services) balancing() balancer.Config {
	config := balancer.DefaultConfig()
	config.NoSamples = !s.policy.On(settings.Samples)
	config.NoZones = !s.policy.On(settings.Zones)
	config.NoLosses = !s.policy.On(settings.Losses)
	return config
}

// Update sets the targets of every service.
func (s *services) Update(targets map[string][]balancer.Target) {
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

// Count takes in how many nodes there are, this one among them.
func (s *services) Count(members int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.share.Count(s.now(), members)
}

// choice is the target that a sending goes to.
type choice struct {
	service  *service
	class    string
	sent     time.Duration
	endpoint *balancer.Endpoint
	node     string
	address  string
}

// pick chooses a target; nil when there is none.
func (s *service) pick(now time.Duration, wish balancer.Wish, excluded map[string]bool) *choice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	endpoint := s.balancer.Pick(now, wish, excluded, true)
	if endpoint == nil {
		return nil
	}
	s.balancer.Sent(endpoint)
	return &choice{service: s, class: wish.Class, sent: now, endpoint: endpoint, node: endpoint.Node, address: endpoint.Address}
}

// done takes in what became of a sending.
func (c *choice) done(now time.Duration, answer *reply.Reply) {
	s := c.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Done(c.endpoint)
	if answer.Load.Slots > 0 {
		s.balancer.Report(now, c.endpoint, answer.Load)
	}
	switch {
	case outcome.Wasted(answer.Outcome, answer.Reason):
		s.balancer.Lost(now, c.endpoint)
	case answer.Outcome == outcome.Answered:
		s.balancer.Answered(now, c.endpoint, c.class, answer.Bytes(), answer.Unwaited(now-c.sent))
	}
	switch {
	case answer.Reason.Silent():
		s.balancer.Suspect(now, c.endpoint)
	case answer.Reason.TakesNoWork():
		s.balancer.Refused(now, c.endpoint)
	}
}

// Suspect leaves the target beside a node alone that gives no sign of life.
func (s *services) Suspect(node string) {
	if !s.policy.On(settings.Suspicion) {
		return
	}
	s.each(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.Suspect(s.now(), e) })
}

// Trust has the target beside a node chosen again.
func (s *services) Trust(node string) {
	s.each(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.Trust(e) })
}

// each calls f for the target beside a node in every service that has it.
func (s *services) each(node string, f func(b *balancer.Balancer, e *balancer.Endpoint)) {
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

// pressure tells how full the service is; false when it is not known.
func (s *service) pressure(now time.Duration) (balancer.Pressure, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.balancer.Pressure(now)
}

func (s *service) count(now time.Duration, requests float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Request(now, requests)
}
