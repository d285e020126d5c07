package services

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// RecordRequest counts a request to a service and the calls that will be made for it: needs
// calls its function for each service that the request's chain reaches, with the mean number
// of calls there. granted is the part of the request's budgets that the nodes above leave to
// this one; the result is the part that this one leaves to those below. What is kept here
// pays for repeats of the request with all its calls; the sum over all nodes is one request.
func (s *Services) RecordRequest(service string, granted float64, needs func(f func(name string, calls float64))) float64 {
	now := s.now()
	kept := s.kept(now)
	s.Get(service).count(now, granted)
	needs(func(name string, calls float64) {
		if name != service {
			s.Get(name).count(now, granted*kept*calls)
		}
	})
	return granted * (1 - kept)
}

// kept gives the part of the budgets down the chain that stays at this node.
func (s *Services) kept(now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.policy.On(settings.Grants) {
		return wire.GrantUnsaid
	}
	return s.keep.Of(now)
}

// TakeRetry takes a repeat of a request to a service out of the budgets of all services that
// it would reach: the calls of a run that is a repeat are repeats themselves. needs are the
// mean calls to each; the map is changed. It reports false, and takes nothing, when one of
// them has none left, or when repeats are short and go to chains of a lower rank. declined
// means that the target declined the sending before: it took no work, so that the repeat is
// only paced.
func (s *Services) TakeRetry(service string, needs map[string]float64, rank float64, declined bool) bool {
	needs[service] = max(needs[service], 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	called := s.getLocked(service)
	if s.policy.On(settings.Ration) && !called.ration.Allows(now, rank) {
		return false
	}
	part := s.share.Of(now, s.config.Allowance)
	for name, calls := range needs {
		if !s.getLocked(name).allows(now, calls, s.config.Ratio, part, declined && name == service) {
			if name != service {
				s.keep.Short(now)
			}
			called.ration.Denied(now)
			return false
		}
	}
	for name, calls := range needs {
		s.getLocked(name).spend(now, calls)
	}
	return true
}

// allows tells whether so many repeats fit into the ratio and the node's part of
// the allowance; paced, whether they fit into what may go now.
func (s *Service) allows(now time.Duration, calls, ratio, part float64, paced bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.SetBounds(ratio, part)
	if paced {
		return s.budget.AllowsPaced(now, calls)
	}
	return s.budget.Allows(now, calls)
}

func (s *Service) spend(now time.Duration, calls float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Spend(now, calls)
}

// SetBudget changes the bounds of repeats.
func (s *Services) SetBudget(config repeats.Config) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.config = config
}
