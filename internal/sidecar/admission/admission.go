// Package admission decides at a node whether a client's request is let in. It drives the
// controller of core/overload, which holds the rule, and owns its state: a window for each
// route, what the route's requests need of other services, and how full those are. It relies
// on its callers to note the end of each request that was let in, and what each sending told
// of the services down the chain. It is safe for concurrent use.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/wire"
)

// Control decides for one node. It is safe for concurrent use.
type Control struct {
	now           func() time.Duration
	configuration Configuration
	noWindow      bool

	mutex sync.Mutex
	core  *overload.Controller
}

// Configuration is the operators' configuration in force.
type Configuration interface {
	Load() *intent.Intent // nil: none is known
}

// New makes the control of a node that has let nothing in yet. noWindow lets
// everything in: the mechanism "window" is switched off.
func New(now func() time.Duration, configuration Configuration, noWindow bool) *Control {
	return &Control{now: now, configuration: configuration, noWindow: noWindow, core: overload.New(overload.DefaultConfig())}
}

// Decision is what decided whether a client's request was let in.
type Decision struct {
	Probability float64 // chance with which it was
	Bottleneck  string  // service for whose slots its chain waits most; empty: none is known to
	Occupancy   float64 // of that service
	InFlight    int     // of a refused one: requests of its route that were
	WindowSize  float64 // and how many its window held
}

// Admit decides whether a client's request on the route is let in. End must follow when it is.
func (o *Control) Admit(route *intent.Route) (admitted bool, view Decision) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	view.Probability = 1
	if !o.noWindow {
		view.Probability, view.Bottleneck = o.core.Share(now, route.Name)
	}
	if view.Bottleneck != "" {
		view.Occupancy = o.core.Occupancy(view.Bottleneck)
	}
	if view.Probability >= 1 || rand.Float64() < view.Probability {
		o.core.Begin(now, route.Name)
		return true, view
	}
	view.InFlight, view.WindowSize = o.core.Window(now, route.Name)
	return false, view
}

// Window returns how many requests of a route are in flight and how many its window holds.
func (o *Control) Window(route *intent.Route) (inFlight int, fits float64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.core.Window(o.now(), route.Name)
}

// Completion is how a client's request ended that was let in.
type Completion struct {
	Route         *intent.Route
	LatencyBudget time.Duration // inside which its answer was wanted
	Latency       time.Duration
	Needs         []wire.Need // what its last sending needed
	NoCapacity    bool        // there was no room for it in time
	Abandoned     bool        // its client left, or nothing was learned of its chain
}

// End notes the end of a client's request.
func (o *Control) End(one Completion) {
	steps := o.stepsAboveLeast(one.Route)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	if one.Abandoned {
		o.core.Leave(now, one.Route.Name)
		return
	}
	o.core.End(now, one.Route.Name, overload.Ended{Needs: needsOf(one.Needs), Steps: steps, Limit: one.LatencyBudget, Took: one.Latency, Lacked: one.NoCapacity})
}

// stepsAboveLeast is how many priorities the route stands above the least
// important one that the configuration has.
func (o *Control) stepsAboveLeast(route *intent.Route) int {
	current := o.configuration.Load()
	if current == nil {
		return 0
	}
	return current.LeastPriority() - route.Priority
}

// Needs returns the mean number of calls of a route's request to each service.
func (o *Control) Needs(route *intent.Route) map[string]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.core.Needs(route.Name)
}

// EachNeed calls f for each service that the route's requests need. f must not ask the
// controller.
func (o *Control) EachNeed(route *intent.Route, f func(service string, calls float64)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.core.EachNeed(route.Name, f)
}

// RecordNeeds notes what a sending needed of the services down the chain; served: the request was
// served, so that its needs are whole.
func (o *Control) RecordNeeds(route *intent.Route, needs []wire.Need, served bool) {
	now := o.now()
	read := needsOf(needs)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, need := range read {
		o.core.Observe(now, need.Service, need.Occupancy)
	}
	o.core.Learn(now, route.Name, read, served)
}

// needsOf decodes the needs of a message.
func needsOf(needs []wire.Need) []overload.Need {
	read := make([]overload.Need, 0, len(needs))
	for _, need := range needs {
		read = append(read, overload.Need{Service: need.Service, Calls: need.Calls, Occupancy: float64(need.Occupancy) / wire.OccupancyScale, Wait: need.Wait})
	}
	return read
}
