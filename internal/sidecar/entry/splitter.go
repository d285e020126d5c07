package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/landingmast/landingmast/internal/core/intent"
)

// splitter keeps the shares of a route's parts close to their weights.
type splitter struct {
	mutex  sync.Mutex
	credit map[string][]float64 // by route
}

// choose gives the service that a request of the route goes to: each part gains
// its weight's share of credit with each request, the richest is taken.
func (s *splitter) choose(route *intent.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	total := 0
	for _, part := range route.Parts {
		total += part.Weight
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credit := s.credit[route.Name]
	if len(credit) != len(route.Parts) {
		credit = make([]float64, len(route.Parts))
		for index := range credit {
			credit[index] = rand.Float64()
		}
		s.credit[route.Name] = credit
	}
	best := -1
	for index, part := range route.Parts {
		if part.Weight == 0 {
			continue
		}
		credit[index] += float64(part.Weight) / float64(total)
		if best < 0 || credit[index] > credit[best] {
			best = index
		}
	}
	credit[best]--
	return route.Parts[best].Service
}
