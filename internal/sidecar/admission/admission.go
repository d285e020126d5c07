// Package admission decides whether a client request is admitted: by the congestion prices of the
// services that it needs (core/pricing) or the window of its route (core/overload), whichever allows
// less. The package owns the state of both: prices, windows, the demand of a route's requests on
// other services, and the occupancy of those services. Callers must report the end of each admitted
// request and the demand observed by each attempt.
package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/core/pricing"
	"github.com/landingmast/landingmast/internal/core/startqueue"
	"github.com/landingmast/landingmast/internal/wire"
)

// Control is the admission control of one node. It is safe for concurrent use.
type Control struct {
	now             func() time.Duration
	configuration   Configuration
	windowDisabled  bool
	pricesDisabled  bool
	tenantsDisabled bool

	mutex  sync.Mutex
	core   *overload.Controller
	prices *pricing.Controller
	start  startQueue
	needs  []overload.Need // buffer of decodeNeeds
	usages []pricing.Usage // buffer of decodeUsages
}

// Configuration is the routing configuration in force.
type Configuration interface {
	Load() *intent.Intent // nil until a configuration is known
}

// Options configures a Control.
type Options struct {
	Now             func() time.Duration
	Configuration   Configuration
	WindowDisabled  bool // windows refuse nothing
	PricesDisabled  bool // there are no prices
	TenantsDisabled bool // requests are admitted without regard to the shares of tenants
}

// New returns a Control without requests in flight.
func New(o Options) *Control {
	return &Control{
		now: o.Now, configuration: o.Configuration, windowDisabled: o.WindowDisabled, pricesDisabled: o.PricesDisabled, tenantsDisabled: o.TenantsDisabled,
		core: overload.New(overload.DefaultConfig()), prices: pricing.New(pricing.DefaultConfig()),
		start: startQueue{core: startqueue.New(), waiters: map[uint64]*waiter{}},
	}
}

// Decision explains why a client request was admitted or rejected.
type Decision struct {
	Probability float64 // probability with which the request was admitted
	Bottleneck  string  // service with the decisive price, or the longest wait in the call chain; empty if unknown
	Occupancy   float64 // occupancy of Bottleneck
	Price       float64 // price of Bottleneck; 0: no price decided
	Merit       float64 // price up to which all requests of the route are admitted
	Offered     float64 // offered load of Bottleneck; set if there is a price
	Returning   bool    // whether the request was refused before; set if there is a price
	TenantRatio float64 // slot time that the tenant asks of Bottleneck relative to its fair share; 0: it did not lower Probability
	OverShare   bool    // whether the request was rejected because of TenantRatio
	NeedClass   int     // need of the route for the scarcest service that it needs, see wire.SidecarCall; 0: unknown
	Scarce      bool    // whether a service that the route needs has a price
	InFlight    int     // requests of the route in flight; set on rejection by the window
	WindowSize  float64 // size of the route's admission window; set on rejection by it
	// StartWait is how long the request waited at the start of its chain.
	StartWait time.Duration

	shareWithout float64 // Probability without TenantRatio
}

// Admit decides whether a client request on the route is admitted. deadline is how long its client still
// waits; 0: unknown. tenant may be empty. If the request is admitted, End must be called.
func (c *Control) Admit(route *intent.Route, tenant string, deadline time.Duration) (admitted bool, decision Decision) {
	rank := c.priorityAboveLowest(route)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	decision = c.decide(now, c.priced(route, rank, tenant, deadline))
	return c.draw(now, route, &decision), decision
}

// priced returns the request as the prices see it.
func (c *Control) priced(route *intent.Route, rank int, tenant string, deadline time.Duration) pricing.Request {
	if c.tenantsDisabled {
		tenant = ""
	}
	return pricing.Request{Route: pricing.Route{Name: route.Name, Rank: rank}, Deadline: deadline, Tenant: tenant}
}

// draw admits a request with the probability of the decision and completes the decision. mutex must be
// held.
func (c *Control) draw(now time.Duration, route *intent.Route, decision *Decision) bool {
	if decision.Bottleneck != "" {
		decision.Occupancy = c.core.Occupancy(decision.Bottleneck)
	}
	draw := rand.Float64()
	if decision.Probability >= 1 || draw < decision.Probability {
		c.core.Begin(now, route.Name)
		return true
	}
	decision.OverShare = decision.TenantRatio > 0 && draw < decision.shareWithout
	if decision.Price == 0 {
		decision.InFlight, decision.WindowSize = c.core.Window(now, route.Name)
	}
	return false
}

// decide returns the decision by price or by window, whichever allows less. A price keeps the waits
// short that windows act on; the window remains for chains that are late at short waits already, since
// they make many calls, and for targets that report no load.
func (c *Control) decide(now time.Duration, request pricing.Request) Decision {
	decision := Decision{Probability: 1}
	if !c.windowDisabled {
		decision.Probability, decision.Bottleneck = c.core.AdmitProbability(now, request.Name)
	}
	if c.pricesDisabled {
		return decision
	}
	price := c.prices.Admit(now, request)
	if price.NeedKnown {
		decision.NeedClass = 1 + int(math.Round(price.RelativeNeed*(wire.MaxNeedClass-1)))
	}
	if price.Service == "" {
		return decision
	}
	decision.Scarce, decision.Returning = true, price.Returning
	if price.Probability > decision.Probability {
		return decision
	}
	decision.TenantRatio, decision.shareWithout = price.TenantRatio, min(price.ShareWithout, decision.Probability)
	decision.Probability, decision.Bottleneck = price.Probability, price.Service
	decision.Price, decision.Merit, decision.Offered = price.Price, price.Merit, price.Offered
	return decision
}

// EachPrice calls f for each service with a price, with its offered load. f must not call methods of
// Control, which is locked meanwhile.
func (c *Control) EachPrice(f func(service string, price, offered float64)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prices.ForEachService(c.now(), f)
}

// Window returns the number of requests of a route in flight and the size of its admission window.
func (c *Control) Window(route *intent.Route) (inFlight int, size float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Window(c.now(), route.Name)
}

// Completion describes the end of an admitted client request.
type Completion struct {
	Route         *intent.Route
	LatencyBudget time.Duration // time within which a response was wanted
	Latency       time.Duration
	Needs         []wire.Need // demand observed by the last attempt
	NoCapacity    bool        // whether no capacity was available in time
	Abandoned     bool        // whether the client disconnected or nothing was learned about the call chain
}

// End records the end of an admitted client request.
func (c *Control) End(done Completion) {
	steps := c.priorityAboveLowest(done.Route)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if done.Abandoned {
		c.core.Discard(now, done.Route.Name)
		return
	}
	completion := overload.Completion{Needs: c.decodeNeeds(done.Needs), PrioritySteps: steps, LatencyBudget: done.LatencyBudget, Latency: done.Latency, Overloaded: done.NoCapacity}
	c.core.End(now, done.Route.Name, completion)
	if !c.pricesDisabled && !c.windowDisabled {
		c.priceWaits(now, pricing.Route{Name: done.Route.Name, Rank: steps}, completion)
	}
}

// priceWaits tells the prices what share of its bearable wait a request waited for each service. mutex
// must be held.
func (c *Control) priceWaits(now time.Duration, route pricing.Route, ended overload.Completion) {
	budget := c.core.WaitBudget(ended)
	if budget <= 0 {
		return
	}
	for _, need := range ended.Needs {
		wait := time.Duration(need.Calls) * need.Wait
		c.prices.ObserveWait(now, route, need.Service, float64(wait)/float64(budget))
	}
}

// priorityAboveLowest returns the number of priority levels between the route and the lowest
// configured priority.
func (c *Control) priorityAboveLowest(route *intent.Route) int {
	current := c.configuration.Load()
	if current == nil {
		return 0
	}
	return current.LowestPriority() - route.Priority
}

// Needs returns the mean number of calls to each service per request of the route.
func (c *Control) Needs(route *intent.Route) map[string]float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.MeanCalls(route.Name)
}

// EachNeed calls f for each service that the route's requests call. f must not call methods of
// Control, which is locked meanwhile.
func (c *Control) EachNeed(route *intent.Route, f func(service string, calls float64)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.ForEachService(route.Name, f)
}

// RecordNeeds records the demand of an attempt on downstream services. served reports that the
// request was served, which means that its needs are complete. isCall reports that a running request
// made it, so that it was not subject to admission.
func (c *Control) RecordNeeds(route *intent.Route, needs []wire.Need, served, isCall bool) {
	rank := c.priorityAboveLowest(route)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now() // under the lock: times in order
	decoded := c.decodeNeeds(needs)
	switch {
	case c.pricesDisabled:
	case isCall:
		c.prices.ObserveCall(now, c.decodeUsages(needs))
	default:
		c.prices.Observe(now, pricing.Route{Name: route.Name, Rank: rank}, c.decodeUsages(needs), served)
	}
	for _, need := range decoded {
		c.core.Observe(now, need.Service, need.Occupancy)
	}
	c.core.ObserveCalls(now, route.Name, decoded, served)
}

// decodeNeeds converts needs from their wire representation. The result is valid until the next call.
// mutex must be held.
func (c *Control) decodeNeeds(needs []wire.Need) []overload.Need {
	decoded := c.needs[:0]
	for i := range needs {
		need := &needs[i]
		decoded = append(decoded, overload.Need{Service: need.Service, Calls: need.Calls, Occupancy: float64(need.Occupancy) / wire.OccupancyScale, Wait: need.Wait})
	}
	c.needs = decoded
	return decoded
}

// decodeUsages returns the slot time that needs took, for those whose targets report their load. The
// result is valid until the next call. mutex must be held.
func (c *Control) decodeUsages(needs []wire.Need) []pricing.Usage {
	usages := c.usages[:0]
	for i := range needs {
		need := &needs[i]
		if need.Offered > 0 {
			usages = append(usages, pricing.Usage{Service: need.Service, SlotTime: need.SlotTime, Offered: need.Offered})
		}
	}
	c.usages = usages
	return usages
}
