package services

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// RecordRequest credits the retry budgets of a service and of its downstream services for a
// request. needs calls its function for each service in the call chain with the mean number of
// calls to it. granted is the share of the request's retry budget that upstream nodes left to this
// one; the result is the share left to downstream nodes. The retained share pays for retries of the
// request with all its calls. The shares of all nodes add up to one request.
func (s *Services) RecordRequest(service string, granted float64, needs func(f func(name string, calls float64))) float64 {
	now := s.now()
	retained := s.retainedShare(now)
	s.Get(service).recordRequests(now, granted)
	needs(func(name string, calls float64) {
		if name != service {
			s.Get(name).recordRequests(now, granted*retained*calls)
		}
	})
	return granted * (1 - retained)
}

// retainedShare returns the share of the retry budgets of downstream services that this node
// retains.
func (s *Services) retainedShare(now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.policy.Enabled(settings.Grants) {
		return wire.DefaultGrant
	}
	return s.retention.Fraction(now)
}

// TakeRetry deducts a retry of a request from the budgets of all services it would reach, since the
// calls of a retried run are retries as well. needs holds the mean number of calls to each service
// and is modified. It returns false and deducts nothing if any budget is exhausted, or if retries
// are scarce and reserved for chains of a higher rank. declined means that the target declined the
// previous attempt: it did no work, so the retry is only paced.
func (s *Services) TakeRetry(service string, needs map[string]float64, rank float64, declined bool) bool {
	needs[service] = max(needs[service], 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	target := s.getLocked(service)
	if s.policy.Enabled(settings.Ration) && !target.ration.Allows(now, rank) {
		return false
	}
	allowance := s.allowance.Part(now, s.config.Allowance)
	for name, calls := range needs {
		if !s.getLocked(name).allows(now, calls, s.config.Ratio, allowance, declined && name == service) {
			if name != service {
				s.retention.BudgetExhausted(now)
			}
			target.ration.Denied(now)
			return false
		}
	}
	for name, calls := range needs {
		s.getLocked(name).spend(now, calls)
	}
	return true
}

// allows reports whether the given number of retries fits the ratio and the node's allowance, or,
// if paced, the current pacing limit.
func (s *Service) allows(now time.Duration, calls, ratio, allowance float64, paced bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.SetBounds(ratio, allowance)
	if paced {
		return s.budget.AllowsPaced(now, calls)
	}
	return s.budget.Allows(now, calls)
}

func (s *Service) spend(now time.Duration, calls float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.CountRetries(now, calls)
}

// SetBudget changes the limits of retries.
func (s *Services) SetBudget(config retrybudget.Config) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.config = config
}
