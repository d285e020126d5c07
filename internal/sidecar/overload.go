package sidecar

import (
	"math/rand/v2"
	"sync"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/wire"
)

// occupancyScale is the factor of occupancies in messages.
const occupancyScale = 1000

// overloadControl drives the overload controller. It is safe for concurrent use.
type overloadControl struct {
	node  *Node
	mutex sync.Mutex
	core  *overload.Controller
}

func newOverloadControl(node *Node) *overloadControl {
	return &overloadControl{node: node, core: overload.New(overload.DefaultConfig())}
}

// admit decides whether a client's request on the route is let in, and tells the
// share that is, the service that decides it and that service's occupancy.
func (o *overloadControl) admit(route *intent.Route) (admitted bool, share float64, decisive string, occupancy float64) {
	o.mutex.Lock()
	share, decisive = o.core.Share(o.node.now(), route.Name, o.stepsAboveLeast(route), route.Objective)
	if decisive != "" {
		occupancy = o.core.Occupancy(decisive)
	}
	o.mutex.Unlock()
	return share >= 1 || rand.Float64() < share, share, decisive, occupancy
}

// stepsAboveLeast is how many priorities the route stands above the least
// important one that the configuration has.
func (o *overloadControl) stepsAboveLeast(route *intent.Route) int {
	current := o.node.intent.Load()
	if current == nil {
		return 0
	}
	return current.LeastPriority() - route.Priority
}

// needs gives the mean number of calls of a route's request to each service.
func (o *overloadControl) needs(route *intent.Route) map[string]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.core.Needs(route.Name)
}

// learn takes in what a sending told; served tells that needs are those of a
// request that was served.
func (o *overloadControl) learn(route *intent.Route, needs []wire.Need, served bool) {
	now := o.node.now()
	read := make([]overload.Need, 0, len(needs))
	for _, need := range needs {
		read = append(read, overload.Need{Service: need.Service, Calls: need.Calls, Occupancy: float64(need.Occupancy) / occupancyScale, Wait: need.Wait})
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, need := range read {
		o.core.Observe(now, need.Service, need.Occupancy, need.Wait)
	}
	o.core.Learn(route.Name, read, served)
}
