// Package overload decides where a chain of calls starts whether a request is let in.
// Every answer tells how long the request and its calls waited for slots, service by
// service, down the whole chain. A window for each route bounds the requests in flight
// from this node so that those waits stay bearable; the least important routes bear
// least, so that they are refused first. It is a state machine without locks, clocks or
// randomness of its own.
//
// Refusing at the start, not in the middle, and only what needs the scarce service, is
// what docs/design/sidecar.md measures against queues alone.
package overload

import (
	"math"
	"time"
)

// Config sets a controller.
type Config struct {
	// Bearable is the wait for slots along the whole chain, as a part of the time inside
	// which its answer is wanted, that the least important requests are held to; Step
	// is added for each priority above the least, up to BearableMost.
	Bearable, Step, BearableMost float64
	// Window sets the windows of the routes.
	Window WindowConfig
	// Smoothing is the time constant of the mean occupancy of a service.
	Smoothing time.Duration
}

// DefaultConfig gives the values that docs/design/rounds-of-policy.md was measured with.
func DefaultConfig() Config {
	return Config{Bearable: 0.3, Step: 0.15, BearableMost: 0.6, Window: DefaultWindow(), Smoothing: 250 * time.Millisecond}
}

// Need is what one request needs of a service: calls there, with all below it.
type Need struct {
	Service   string
	Calls     int
	Occupancy float64       // mean occupancy that was seen there; below 0: unknown
	Wait      time.Duration // of one call for a slot there, mean over the calls
}

// Controller holds the state of one node. It is not safe for concurrent use.
type Controller struct {
	config   Config
	services map[string]*pressure
	routes   map[string]*route
}

type pressure struct {
	occupancy float64
	seen      time.Duration
}

// route is what is known of the requests of one route.
type route struct {
	needs   map[string]float64 // mean calls by service
	window  *Window
	slowest string // service where the last one waited longest
}

// New makes a controller that admits everything.
func New(config Config) *Controller {
	return &Controller{config: config, services: map[string]*pressure{}, routes: map[string]*route{}}
}

func (c *Controller) route(now time.Duration, name string) *route {
	one := c.routes[name]
	if one == nil {
		one = &route{needs: map[string]float64{}, window: NewWindow(c.config.Window, now)}
		c.routes[name] = one
	}
	return one
}

// needWeight is the weight of one answer in a route's mean needs; needLeast is
// the mean below which a service does not count.
const (
	needWeight = 0.05
	needLeast  = 0.05
)

// Observe takes in the occupancy of a service.
func (c *Controller) Observe(now time.Duration, service string, occupancy float64) {
	if occupancy < 0 || math.IsNaN(occupancy) {
		return
	}
	p := c.services[service]
	if p == nil {
		c.services[service] = &pressure{occupancy: occupancy, seen: now}
		return
	}
	p.occupancy += weightOf(now-p.seen, c.config.Smoothing) * (occupancy - p.occupancy)
	p.seen = now
}

// weightOf is the weight of an observation some time after the one before.
func weightOf(elapsed, constant time.Duration) float64 {
	return max(1-math.Exp(-float64(elapsed)/float64(constant)), sampleWeight)
}

// sampleWeight is the least weight of one observation.
const sampleWeight = 0.02

// Learn takes in what a request of a route needed. One that was not served has
// made a part of its calls only: it can raise what is known, not lower it.
func (c *Controller) Learn(now time.Duration, route string, needs []Need, served bool) {
	means := c.route(now, route).needs
	if len(means) == 0 || !served {
		for _, need := range needs {
			means[need.Service] = max(means[need.Service], float64(need.Calls))
		}
		return
	}
	for service := range means {
		means[service] *= 1 - needWeight
	}
	for _, need := range needs {
		means[need.Service] += needWeight * float64(need.Calls)
	}
}

// Needs gives the mean number of calls that a request of the route makes to each
// service, itself included. The map is the caller's own.
func (c *Controller) Needs(route string) map[string]float64 {
	needs := map[string]float64{}
	c.EachNeed(route, func(service string, calls float64) { needs[service] = calls })
	return needs
}

// EachNeed calls f with the mean number of calls that a request of the route makes to
// each service, itself included.
func (c *Controller) EachNeed(route string, f func(service string, calls float64)) {
	one := c.routes[route]
	if one == nil {
		return
	}
	for service, calls := range one.needs {
		if calls >= needLeast {
			f(service, calls)
		}
	}
}

// Share gives the share of a route's requests that is let in now, and the service that
// decides it.
func (c *Controller) Share(now time.Duration, route string) (float64, string) {
	one := c.route(now, route)
	share := one.window.Share(now)
	if share >= 1 {
		return 1, ""
	}
	return share, one.slowest
}

// Window gives how many requests of the route are in flight and how many fit.
func (c *Controller) Window(now time.Duration, route string) (inFlight int, fits float64) {
	w := c.route(now, route).window
	return w.InFlight(), w.Limit()
}

// Begin notes that a request of the route was let in.
func (c *Controller) Begin(now time.Duration, route string) { c.route(now, route).window.Begin(now) }

// Leave notes that a request that was let in ended and says nothing of the chain.
func (c *Controller) Leave(now time.Duration, route string) { c.route(now, route).window.Leave() }

// Ended is the end of a request that was let in.
type Ended struct {
	Needs  []Need        // what it needed, with the waits
	Steps  int           // priorities that its route stands above the least important one
	Limit  time.Duration // time inside which its answer was wanted; 0: none
	Took   time.Duration
	Lacked bool // there was no room for it in time
}

// End notes that a request of the route ended that was let in.
func (c *Controller) End(now time.Duration, name string, ended Ended) {
	one := c.route(now, name)
	trip := Trip{Took: ended.Took, Lacked: ended.Lacked, Bearable: c.bearable(ended)}
	longest := time.Duration(0)
	for _, need := range ended.Needs {
		wait := time.Duration(need.Calls) * need.Wait
		trip.Waited += wait
		if wait > longest {
			longest, one.slowest = wait, need.Service
		}
	}
	one.window.End(now, trip)
}

// bearable is the wait along its chain that a request is held to.
func (c *Controller) bearable(ended Ended) time.Duration {
	share := min(c.config.Bearable+c.config.Step*float64(max(ended.Steps, 0)), c.config.BearableMost)
	return time.Duration(share * float64(ended.Limit))
}

// Occupancy gives the mean occupancy of a service; 0 when nothing is known.
func (c *Controller) Occupancy(service string) float64 {
	if p := c.services[service]; p != nil {
		return p.occupancy
	}
	return 0
}
