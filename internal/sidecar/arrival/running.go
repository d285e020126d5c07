package arrival

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/wire"
)

// Running is a request in progress at the target. Calls that the target makes on its behalf find it
// by its id.
type Running struct {
	ID         string
	Context    context.Context
	Importance int
	IsRetry    bool
	Tenant     string  // name of the owning tenant; may be empty
	RetryGrant float64 // share of the retry budgets left to its calls
	NeedClass  int     // need of its chain for a scarce service; see wire.SidecarCall
	Scarce     bool    // whether that service had a price when the chain began

	mutex sync.Mutex
	needs map[string]wire.Need
}

// AddNeeds adds the downstream demand of a call made by the target.
func (r *Running) AddNeeds(needs []wire.Need) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, need := range needs {
		sum := r.needs[need.Service]
		sum.Service = need.Service
		if calls := sum.Calls + need.Calls; calls > 0 {
			sum.SlotTime += need.SlotTime
			sum.Offered = meanLoad(sum.Offered, sum.Calls, need.Offered, need.Calls)
			sum.TenantLoad = meanLoad(sum.TenantLoad, sum.Calls, need.TenantLoad, need.Calls)
			sum.Wait = (sum.Wait*time.Duration(sum.Calls) + need.Wait*time.Duration(need.Calls)) / time.Duration(calls)
			sum.Calls = calls
		}
		if need.Occupancy >= 0 {
			sum.Occupancy = need.Occupancy // the latest value wins
		}
		r.needs[need.Service] = sum
	}
}

// meanLoad returns the mean of two loads, each over a number of calls; a load of 0 is unknown.
func meanLoad(a float64, callsA int, b float64, callsB int) float64 {
	switch {
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return (a*float64(callsA) + b*float64(callsB)) / float64(callsA+callsB)
}

func (r *Running) collectNeeds() []wire.Need {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	needs := make([]wire.Need, 0, len(r.needs)+1)
	for _, need := range r.needs {
		needs = append(needs, need)
	}
	return needs
}

// runningTable holds the requests in progress at the target by id.
type runningTable struct {
	mutex    sync.Mutex
	requests map[string]*Running
}

func (t *runningTable) add(id string, request *Running) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests[id] = request
}

func (t *runningTable) remove(id string, request *Running) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.requests[id] == request {
		delete(t.requests, id)
	}
}

func (t *runningTable) find(id string) *Running {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.requests[id]
}
