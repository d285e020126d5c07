package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// weightedSplitter distributes the requests of a route over its services by weight.
type weightedSplitter struct {
	mutex  sync.Mutex
	credit map[string][]float64 // keyed by route name
}

// choose returns the service for the next request. Each request credits every service with its
// share of the total weight; the one with the most credit is chosen and pays for the request.
func (s *weightedSplitter) choose(route *intent.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	total := 0
	for _, part := range route.Backends {
		total += part.Weight
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credit := s.credit[route.Name]
	if len(credit) != len(route.Backends) {
		credit = make([]float64, len(route.Backends))
		for index := range credit {
			credit[index] = rand.Float64()
		}
		s.credit[route.Name] = credit
	}
	best := -1
	for index, part := range route.Backends {
		if part.Weight == 0 {
			continue
		}
		credit[index] += float64(part.Weight) / float64(total)
		if best < 0 || credit[index] > credit[best] {
			best = index
		}
	}
	credit[best]--
	return route.Backends[best].Service
}
