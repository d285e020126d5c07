// Package services holds the node's view of each service: its targets and its retry budget.
//
// The package owns a balancer and a retry budget for each service, the node's share of the global
// retry allowance, and the share of the retry budgets that the node retains for its own requests.
// The algorithms are in core/balancer and core/retrybudget; core/outcome classifies the result of an
// attempt. Callers supply the targets (Update), the number of nodes (Count) and the downstream
// demand of routes. All exported types are safe for concurrent use.
package services

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Services holds the node's view of all services. It is safe for concurrent use.
type Services struct {
	node   string
	zone   string
	now    func() time.Duration
	config retrybudget.Config

	mutex     sync.Mutex
	byName    map[string]*Service
	allowance *retrybudget.AllowanceShare // the node's share of the global retry allowance
	retention retrybudget.Reserve         // the share of retry budgets that the node retains
	policy    settings.Policy
	rank      func(instance string) (rank, senders int)
}

// Service is the node's view of one service.
type Service struct {
	mutex    sync.Mutex
	balancer *balancer.Balancer
	budget   *retrybudget.Budget
	ration   retrybudget.RankLimiter // decides which chains may retry; guarded by Services.mutex
}

// globalRandom implements balancer.Random.
type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// Options configures Services.
type Options struct {
	Node, Zone string
	Now        func() time.Duration
	Budget     retrybudget.Config
	FirstStart bool // whether this is the first process of the node
	Policy     settings.Policy
	// Rank returns the place of the node among all nodes for an instance, and their number; nil: it is
	// the only one.
	Rank func(instance string) (rank, senders int)
}

// New returns Services without targets.
func New(o Options) *Services {
	return &Services{
		node: o.Node, zone: o.Zone, now: o.Now, config: o.Budget, policy: o.Policy, rank: o.Rank,
		byName: map[string]*Service{}, allowance: retrybudget.NewAllowanceShare(o.Budget.Window, o.FirstStart),
	}
}

// Get returns a service, creating it if it is unknown.
func (s *Services) Get(name string) *Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.getLocked(name)
}

func (s *Services) getLocked(name string) *Service {
	service := s.byName[name]
	if service == nil {
		service = &Service{
			balancer: balancer.New(s.balancerConfig(), s.node, s.zone, globalRandom{}),
			budget:   retrybudget.New(s.config),
		}
		s.byName[name] = service
	}
	return service
}

// balancerConfig returns the balancer configuration under the current policy.
func (s *Services) balancerConfig() balancer.Config {
	config := balancer.DefaultConfig()
	config.Rank = s.rank
	config.NoSamples = !s.policy.Enabled(settings.Samples)
	config.NoZones = !s.policy.Enabled(settings.Zones)
	config.NoLosses = !s.policy.Enabled(settings.Losses)
	config.NoPace = !s.policy.Enabled(settings.Pace)
	return config
}

// SetTargets replaces the targets of all services.
func (s *Services) SetTargets(targets map[string][]balancer.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name := range targets {
		s.getLocked(name)
	}
	for name, service := range s.byName {
		service.mutex.Lock()
		service.balancer.Update(targets[name])
		service.mutex.Unlock()
	}
}

// SetNodeCount sets the number of nodes, including this one.
func (s *Services) SetNodeCount(members int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allowance.SetMembers(s.now(), members)
}

// Choice is the target chosen for an attempt.
type Choice struct {
	Service  *Service
	class    string
	sentAt   time.Duration
	endpoint *balancer.Endpoint
	Node     string
	Address  string
	Instance string               // of the target, as listed in the membership
	State    *outcome.TargetState // what the instance is known to state; nil: nothing
}

// Pick chooses a target and counts an attempt to it as in flight. It returns nil if there is none.
func (s *Service) Pick(now time.Duration, requirement balancer.Requirement, excluded map[string]bool) *Choice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	endpoint := s.balancer.Pick(now, requirement, excluded, true)
	if endpoint == nil {
		return nil
	}
	s.balancer.Sent(now, endpoint)
	return &Choice{
		Service: s, class: requirement.Class, sentAt: now, endpoint: endpoint, Node: endpoint.Node, Address: endpoint.Address,
		Instance: endpoint.Instance, State: s.balancer.State(endpoint.Instance),
	}
}

// Done records the result of the attempt.
func (c *Choice) Done(now time.Duration, response *reply.Reply) {
	s := c.Service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Done(c.endpoint)
	if response.Load.Slots > 0 {
		s.balancer.Report(now, c.endpoint, response.Load)
	}
	switch {
	case outcome.ResponseLost(response.Outcome, response.Reason):
		s.balancer.Lost(now, c.endpoint)
	case response.Reason.Declined():
		s.balancer.Declined(now, c.endpoint)
	case response.Outcome == outcome.Answered:
		latency := response.ServiceTime(now - c.sentAt)
		latency = s.balancer.AtUsualPace(c.class, latency, response.RunPace, response.PaceShare(latency))
		s.balancer.Answered(now, c.endpoint, c.class, response.Bytes(), latency)
	}
	switch {
	case response.Reason.NodeUnreachable():
		s.balancer.Suspect(now, c.endpoint)
	case response.Reason.TargetUnavailable():
		s.balancer.Refused(now, c.endpoint)
	}
}

// ObserveState records what an instance states in the response to the attempt. gated means that the
// node of the target keeps the stated rate.
func (c *Choice) ObserveState(now time.Duration, state outcome.TargetState, gated bool) {
	if !state.Stated() && c.State == nil {
		return // the usual case; a state learned since the attempt began is newer
	}
	s := c.Service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.ObserveState(now, c.sentAt, state, gated)
}

// OverShare reports whether targets are left out only because the node has used its share of the
// rates that they state.
func (s *Service) OverShare(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.balancer.OverShare(now)
}

// Suspect stops sending to the target of an unresponsive node.
func (s *Services) Suspect(node string) {
	if !s.policy.Enabled(settings.Suspicion) {
		return
	}
	s.forEachEndpoint(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.Suspect(s.now(), e) })
}

// ClearSuspicion resumes sending to the target of a node.
func (s *Services) ClearSuspicion(node string) {
	s.forEachEndpoint(node, func(b *balancer.Balancer, e *balancer.Endpoint) { b.ClearSuspicion(e) })
}

// forEachEndpoint calls f for the target of a node in every service that includes it.
func (s *Services) forEachEndpoint(node string, f func(b *balancer.Balancer, e *balancer.Endpoint)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, service := range s.byName {
		service.mutex.Lock()
		if endpoint := service.balancer.Endpoint(node); endpoint != nil {
			f(service.balancer, endpoint)
		}
		service.mutex.Unlock()
	}
}

// Pressure returns the load of the service, or false if it is unknown.
func (s *Service) Pressure(now time.Duration) (balancer.ServiceLoad, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.balancer.ServiceLoad(now)
}

func (s *Service) recordRequests(now time.Duration, requests float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.CountRequests(now, requests)
}
