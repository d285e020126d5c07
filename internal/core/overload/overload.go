// Package overload decides where a chain of calls starts whether a request is
// let in. Every answer tells how full the services were that the request needed,
// down the whole chain; a request is refused with a probability that follows the
// fullest of them. The least important requests go first: each priority has an
// occupancy of its own from which it is refused. It is a state machine without
// locks, clocks or randomness of its own.
//
// Refusing at the start, not in the middle, and only what needs the scarce
// service, is what docs/PLATFORM.md measures against queues alone.
package overload

import (
	"math"
	"time"
)

// Config sets a controller.
type Config struct {
	// Start is the mean occupancy (requests at the targets and waiting, over
	// slots) at which the least important requests begin to be refused; Width
	// above it only Least of them are let in.
	Start, Width float64
	// Step is added to Start for each priority above the least.
	Step float64
	// LateStart is the wait along the whole chain, as a part of the route's objective,
	// at which the least important requests begin to be refused; LateWidth above it
	// only Least of them are let in. LateStep is added for each priority above.
	LateStart, LateWidth, LateStep float64
	// Smoothing is the time constant of the mean occupancy, WaitSmoothing that of the
	// mean wait.
	Smoothing, WaitSmoothing time.Duration
	// Least is the admitted share that always remains, so that news of the
	// service keeps coming.
	Least float64
	// Forget is the time constant with which an occupancy without news fades.
	Forget time.Duration
}

// DefaultConfig gives the values that docs/PLATFORM.md was measured with.
func DefaultConfig() Config {
	return Config{
		Start: 1.5, Width: 2, Step: 2.5, LateStart: 0.05, LateWidth: 0.15, LateStep: 1,
		Smoothing: 250 * time.Millisecond, WaitSmoothing: 100 * time.Millisecond, Least: 0.03, Forget: time.Second,
	}
}

// Need is what one request needs of a service: calls there, with all below it.
type Need struct {
	Service   string
	Calls     int
	Occupancy float64       // mean occupancy that was seen there; below 0: unknown
	Wait      time.Duration // mean wait for a slot that was seen there
}

// Controller holds the state of one node. It is not safe for concurrent use.
type Controller struct {
	config   Config
	services map[string]*pressure
	routes   map[string]map[string]float64 // mean calls by service, by route
}

type pressure struct {
	occupancy float64
	wait      float64 // ns
	seen      time.Duration
}

// faded tells what is left of a figure that was seen some time ago.
func (p *pressure) faded(now time.Duration, forget time.Duration, figure float64) float64 {
	if silence := now - p.seen; silence > forget {
		figure *= math.Exp(-float64(silence-forget) / float64(forget))
	}
	return figure
}

// New makes a controller that admits everything.
func New(config Config) *Controller {
	return &Controller{config: config, services: map[string]*pressure{}, routes: map[string]map[string]float64{}}
}

// needWeight is the weight of one answer in a route's mean needs; needLeast is
// the mean below which a service does not count.
const (
	needWeight = 0.05
	needLeast  = 0.05
)

// Observe takes in the occupancy of a service and the wait for a slot there.
func (c *Controller) Observe(now time.Duration, service string, occupancy float64, wait time.Duration) {
	if occupancy < 0 || math.IsNaN(occupancy) {
		return
	}
	p := c.services[service]
	if p == nil {
		c.services[service] = &pressure{occupancy: occupancy, wait: float64(wait), seen: now}
		return
	}
	elapsed := now - p.seen
	p.occupancy += weightOf(elapsed, c.config.Smoothing) * (occupancy - p.occupancy)
	p.wait += weightOf(elapsed, c.config.WaitSmoothing) * (float64(wait) - p.wait)
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
func (c *Controller) Learn(route string, needs []Need, served bool) {
	means := c.routes[route]
	if means == nil {
		means = map[string]float64{}
		c.routes[route] = means
	}
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
	needs := make(map[string]float64, len(c.routes[route]))
	for service, calls := range c.routes[route] {
		if calls >= needLeast {
			needs[service] = calls
		}
	}
	return needs
}

// Share gives the share of a route's requests that is admitted now, and the
// service that decides it. steps is how many priorities the route stands above
// the least important one, objective the time inside which its answers are wanted;
// 0: it has none.
func (c *Controller) Share(now time.Duration, route string, steps int, objective time.Duration) (float64, string) {
	lowest, decisive := 1.0, ""
	waits, longest, slowest := 0.0, 0.0, ""
	for service, calls := range c.routes[route] {
		p := c.services[service]
		if calls < needLeast || p == nil {
			continue
		}
		if admitted := c.admitted(p.faded(now, c.config.Forget, p.occupancy), steps); admitted < lowest {
			lowest, decisive = admitted, service
		}
		wait := calls * p.faded(now, c.config.Forget, p.wait)
		waits += wait
		if wait > longest {
			longest, slowest = wait, service
		}
	}
	if objective > 0 {
		if admitted := c.inTime(waits/float64(objective), steps); admitted < lowest {
			lowest, decisive = admitted, slowest
		}
	}
	return lowest, decisive
}

// Occupancy gives the mean occupancy of a service; 0 when nothing is known.
func (c *Controller) Occupancy(service string) float64 {
	if p := c.services[service]; p != nil {
		return p.occupancy
	}
	return 0
}

// admitted gives the share that the occupancy of one service leaves. Chains wait for
// their calls, so that the occupancy grows no faster than chains come: a share in
// proportion to it settles without memory of its own.
func (c *Controller) admitted(occupancy float64, steps int) float64 {
	excess := occupancy - c.config.Start - float64(steps)*c.config.Step
	return min(max(1-excess/c.config.Width, c.config.Least), 1)
}

// inTime gives the share that the waits along the chain leave. A chain of many calls
// in a row is late though each of its services has a short queue; its work is then
// done for nothing.
func (c *Controller) inTime(waits float64, steps int) float64 {
	excess := waits - c.config.LateStart - float64(steps)*c.config.LateStep
	return min(max(1-excess/c.config.LateWidth, c.config.Least), 1)
}
