// Package overload implements admission control at the node where a call chain starts.
// Responses report how long a request and its downstream calls queued for slots at each
// service. Each route has a window that bounds its requests in flight from this node so that
// the total queueing time stays within a budget. Less important routes have smaller budgets
// and are refused first. The controller does no locking and uses no clock or randomness.
//
// docs/design/sidecar.md compares refusal at the start of the chain with queues alone.
package overload

import (
	"math"
	"time"
)

// Config configures a Controller.
type Config struct {
	// WaitShare is the queueing time along the whole chain, as a fraction of the timeout, that
	// requests of the least important priority may incur. Each priority above it adds
	// WaitShareStep, up to MaxWaitShare.
	WaitShare, WaitShareStep, MaxWaitShare float64
	// Window configures the windows of all routes.
	Window WindowConfig
	// Smoothing is the time constant of the moving average of a service's occupancy.
	Smoothing time.Duration
}

// DefaultConfig returns the values measured in docs/design/rounds-of-policy.md.
func DefaultConfig() Config {
	return Config{WaitShare: 0.3, WaitShareStep: 0.15, MaxWaitShare: 0.6, Window: DefaultWindow(), Smoothing: 250 * time.Millisecond}
}

// Need is what one request requires of a service, including all calls further downstream.
type Need struct {
	Service   string
	Calls     int
	Occupancy float64       // mean occupancy of the service; negative: unknown
	Wait      time.Duration // mean queueing time of one call
}

// Controller holds the admission state of one node. It is not safe for concurrent use.
type Controller struct {
	config   Config
	services map[string]*serviceOccupancy
	routes   map[string]*route
}

// serviceOccupancy is the moving average of a service's occupancy.
type serviceOccupancy struct {
	mean      float64
	updatedAt time.Duration
}

// route holds the state of one route.
type route struct {
	meanCalls  map[string]float64 // by service
	window     *Window
	bottleneck string // service with the longest queueing time of the last completed request
}

// New returns a Controller without samples.
func New(config Config) *Controller {
	return &Controller{config: config, services: map[string]*serviceOccupancy{}, routes: map[string]*route{}}
}

func (c *Controller) route(now time.Duration, name string) *route {
	r := c.routes[name]
	if r == nil {
		r = &route{meanCalls: map[string]float64{}, window: NewWindow(c.config.Window, now)}
		c.routes[name] = r
	}
	return r
}

// callsWeight is the weight of one response in the mean calls of a route. Services with fewer
// mean calls than minMeanCalls are ignored.
const (
	callsWeight  = 0.05
	minMeanCalls = 0.05
)

// Observe records an occupancy sample of a service. Negative and NaN values are ignored.
func (c *Controller) Observe(now time.Duration, service string, occupancy float64) {
	if occupancy < 0 || math.IsNaN(occupancy) {
		return
	}
	p := c.services[service]
	if p == nil {
		c.services[service] = &serviceOccupancy{mean: occupancy, updatedAt: now}
		return
	}
	p.mean += sampleWeightAfter(now-p.updatedAt, c.config.Smoothing) * (occupancy - p.mean)
	p.updatedAt = now
}

// sampleWeightAfter returns the weight of a sample taken a time after the previous one.
func sampleWeightAfter(elapsed, timeConstant time.Duration) float64 {
	return max(1-math.Exp(-float64(elapsed)/float64(timeConstant)), minSampleWeight)
}

// minSampleWeight is the minimum weight of a sample, for samples in quick succession.
const minSampleWeight = 0.02

// ObserveCalls records the calls made for a request of a route. A request that was not served may
// have made only some of its calls, so it can raise the means but not lower them.
func (c *Controller) ObserveCalls(now time.Duration, route string, needs []Need, served bool) {
	means := c.route(now, route).meanCalls
	if len(means) == 0 || !served {
		for _, need := range needs {
			means[need.Service] = max(means[need.Service], float64(need.Calls))
		}
		return
	}
	for service := range means {
		means[service] *= 1 - callsWeight
	}
	for _, need := range needs {
		means[need.Service] += callsWeight * float64(need.Calls)
	}
}

// MeanCalls returns a new map with the mean number of calls to each service that a request of the
// route causes, the request itself included.
func (c *Controller) MeanCalls(route string) map[string]float64 {
	needs := map[string]float64{}
	c.ForEachService(route, func(service string, calls float64) { needs[service] = calls })
	return needs
}

// ForEachService calls f for each service with the mean number of calls that a request of the route
// causes there, the request itself included.
func (c *Controller) ForEachService(route string, f func(service string, calls float64)) {
	r := c.routes[route]
	if r == nil {
		return
	}
	for service, calls := range r.meanCalls {
		if calls >= minMeanCalls {
			f(service, calls)
		}
	}
}

// AdmitProbability returns the probability of admitting the next request of a route and, if it is below
// 1, the service that limits it.
func (c *Controller) AdmitProbability(now time.Duration, route string) (float64, string) {
	r := c.route(now, route)
	share := r.window.AdmitProbability(now)
	if share >= 1 {
		return 1, ""
	}
	return share, r.bottleneck
}

// Window returns the route's requests in flight and its current limit.
func (c *Controller) Window(now time.Duration, route string) (inFlight int, fits float64) {
	w := c.route(now, route).window
	return w.InFlight(), w.Limit()
}

// Begin records that a request of the route was admitted.
func (c *Controller) Begin(now time.Duration, route string) { c.route(now, route).window.Begin(now) }

// Discard records the end of an admitted request whose timing is not a valid sample.
func (c *Controller) Discard(now time.Duration, route string) { c.route(now, route).window.Discard() }

// Completion describes the completion of an admitted request.
type Completion struct {
	Needs         []Need        // calls made, with their queueing times
	PrioritySteps int           // priorities between the least important one and the route's
	LatencyBudget time.Duration // timeout of the request; 0: none
	Latency       time.Duration
	Overloaded    bool // refused for lack of capacity, or timed out
}

// End records the completion of an admitted request of the route.
func (c *Controller) End(now time.Duration, name string, ended Completion) {
	r := c.route(now, name)
	sample := Sample{Latency: ended.Latency, Overloaded: ended.Overloaded, WaitBudget: c.WaitBudget(ended)}
	longest := time.Duration(0)
	for _, need := range ended.Needs {
		wait := time.Duration(need.Calls) * need.Wait
		sample.QueueWait += wait
		if wait > longest {
			longest, r.bottleneck = wait, need.Service
		}
	}
	r.window.End(now, sample)
}

// WaitBudget returns the queueing time that the request was allowed along its chain.
func (c *Controller) WaitBudget(ended Completion) time.Duration {
	share := min(c.config.WaitShare+c.config.WaitShareStep*float64(max(ended.PrioritySteps, 0)), c.config.MaxWaitShare)
	return time.Duration(share * float64(ended.LatencyBudget))
}

// Occupancy returns the mean occupancy of a service, or 0 if it is unknown.
func (c *Controller) Occupancy(service string) float64 {
	if p := c.services[service]; p != nil {
		return p.mean
	}
	return 0
}
