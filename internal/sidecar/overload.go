package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
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

// doorView is what decided whether a client's request was let in.
type doorView struct {
	share     float64 // chance with which it was
	decisive  string  // service for whose slots its chain waits most; empty: none is known to
	occupancy float64 // of that service
	inFlight  int     // of a refused one: requests of its route that were
	fits      float64 // and how many its window held
}

// Admit decides whether a client's request on the route is let in. end must follow when
// it is.
func (o *overloadControl) Admit(route *intent.Route) (admitted bool, view doorView) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.node.now()
	view.share = 1
	if o.node.policyOn(settings.Window) {
		view.share, view.decisive = o.core.Share(now, route.Name)
	}
	if view.decisive != "" {
		view.occupancy = o.core.Occupancy(view.decisive)
	}
	if view.share >= 1 || rand.Float64() < view.share {
		o.core.Begin(now, route.Name)
		return true, view
	}
	view.inFlight, view.fits = o.core.Window(now, route.Name)
	return false, view
}

// ending is how a client's request ended that was let in.
type ending struct {
	route  *intent.Route
	limit  time.Duration // inside which its answer was wanted
	took   time.Duration
	needs  []wire.Need // what its last sending needed
	lacked bool        // there was no room for it in time
	left   bool        // its client left, or nothing was learned of its chain
}

// End notes the end of a client's request.
func (o *overloadControl) End(one ending) {
	steps := o.stepsAboveLeast(one.route)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.node.now()
	if one.left {
		o.core.Leave(now, one.route.Name)
		return
	}
	o.core.End(now, one.route.Name, overload.Ended{Needs: needsOf(one.needs), Steps: steps, Limit: one.limit, Took: one.took, Lacked: one.lacked})
}

// stepsAboveLeast is how many priorities the route stands above the least
// important one that the configuration has.
func (o *overloadControl) stepsAboveLeast(route *intent.Route) int {
	current := o.node.configuration.Load()
	if current == nil {
		return 0
	}
	return current.LeastPriority() - route.Priority
}

// Needs gives the mean number of calls of a route's request to each service.
func (o *overloadControl) Needs(route *intent.Route) map[string]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.core.Needs(route.Name)
}

// EachNeed calls f for each service that the route's requests need. f must not ask the
// controller.
func (o *overloadControl) EachNeed(route *intent.Route, f func(service string, calls float64)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.core.EachNeed(route.Name, f)
}

// Learn takes in what a sending told; served tells that needs are those of a
// request that was served.
func (o *overloadControl) Learn(route *intent.Route, needs []wire.Need, served bool) {
	now := o.node.now()
	read := needsOf(needs)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, need := range read {
		o.core.Observe(now, need.Service, need.Occupancy)
	}
	o.core.Learn(now, route.Name, read, served)
}

// needsOf reads needs out of a message.
func needsOf(needs []wire.Need) []overload.Need {
	read := make([]overload.Need, 0, len(needs))
	for _, need := range needs {
		read = append(read, overload.Need{Service: need.Service, Calls: need.Calls, Occupancy: float64(need.Occupancy) / occupancyScale, Wait: need.Wait})
	}
	return read
}
