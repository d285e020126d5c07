package retryafter

import (
	"math"
	"time"
)

const (
	// returnSlot is the length of a time slot: returns that are closer together than a short request
	// takes are not told apart.
	returnSlot = 50 * time.Millisecond
	// returnShare is the part of a route's admitted requests that is promised to returning ones. They
	// go first, so new requests keep the rest.
	returnShare = 0.5
	// minReturn is the shortest delay: the queue that raised the price has hardly moved before.
	minReturn = 100 * time.Millisecond
	// admittedWindow is the time constant of the rate of admitted requests. A node sees some 5 to 15
	// requests of a route per second; a shorter one would follow their chance.
	admittedWindow = 2 * time.Second
	// minAdmitted is the number of requests within admittedWindow below which a route has no room to
	// promise. It bounds the room that one promise takes to admittedWindow / returnShare.
	minAdmitted = 1.0
	// meanTimeWeight is the weight of one request in the mean time of its route.
	meanTimeWeight = 0.05
	// maxReturnRoutes bounds the routes that are tracked.
	maxReturnRoutes = 4096
)

// Returns assigns time slots in which refused requests may return, so that they find capacity. A time
// slot of a route has room for returnShare of the requests that the node recently admitted in that
// time. A node that admits less than one such request per time slot carries the fraction on: a promise
// takes the room of the following time slots until it has one whole request. Time slots fill in order,
// so the state of a route is the time up to which its room is promised.
//
// It is not safe for concurrent use.
type Returns struct {
	routes map[string]*returnRoute
}

// returnRoute is the state of one route.
type returnRoute struct {
	admitted   float64       // requests admitted within admittedWindow, as a decaying sum
	admittedAt time.Duration // time of that sum
	promised   float64       // time in time slots up to which the room is promised
	meanTime   float64       // of served requests, in ns; 0: none yet
}

// NewReturns returns Returns without promises.
func NewReturns() *Returns { return &Returns{routes: map[string]*returnRoute{}} }

// Refusal is a request that is refused by the price of a service.
type Refusal struct {
	Route     string
	Timeout   time.Duration // time that the client still waits
	Objective time.Duration // of the route; 0: none
	Returning bool          // the request was refused before
}

// Return is when a refused request may return.
type Return struct {
	Range    Range // zero: the client has no time left for another attempt
	Promised bool  // a time slot with room is assigned
}

// Admit records that a request of a route is admitted.
func (r *Returns) Admit(now time.Duration, name string) {
	route := r.route(name)
	route.admitted = route.decayedAdmitted(now) + 1
	route.admittedAt = now
}

// Served records how long a served request of a route took.
func (r *Returns) Served(name string, took time.Duration) {
	route := r.route(name)
	if route.meanTime == 0 {
		route.meanTime = float64(took)
		return
	}
	route.meanTime += meanTimeWeight * (float64(took) - route.meanTime)
}

// Refuse assigns the earliest time slot with room that begins after minReturn and ends within the
// longest delay of ShedByPrice. If there is none, the delay is that of ShedByPrice. A returning request
// is assigned no time so late that a request of the route takes longer than its client then waits, and
// none at all if this is so after minReturn already.
func (r *Returns) Refuse(now time.Duration, refusal Refusal) Return {
	route := r.route(refusal.Route)
	longest := longestByPrice(refusal.Timeout, refusal.Objective)
	if refusal.Returning && route.meanTime > 0 {
		latest := refusal.Timeout - time.Duration(route.meanTime)
		if latest < minReturn {
			return Return{}
		}
		longest = min(longest, latest)
	}
	if delay, found := route.promise(now, longest); found {
		return Return{Range: delay, Promised: true}
	}
	return Return{Range: jittered(longest / 2)}
}

func (r *Returns) route(name string) *returnRoute {
	route := r.routes[name]
	if route == nil {
		if len(r.routes) >= maxReturnRoutes {
			clear(r.routes)
		}
		route = &returnRoute{}
		r.routes[name] = route
	}
	return route
}

// promise takes room for one request from the earliest time slots that have some.
func (r *returnRoute) promise(now, longest time.Duration) (delay Range, found bool) {
	room := r.room(now)
	if room == 0 {
		return Range{}, false
	}
	first := math.Ceil(float64(now+minReturn) / float64(returnSlot))
	position := max(r.promised, first)
	start := time.Duration(math.Floor(position)) * returnSlot
	if start+returnSlot > now+longest {
		return Range{}, false
	}
	r.promised = position + 1/room
	return Range{Min: start - now, Spread: returnSlot}, true
}

// room returns the number of returning requests that a time slot takes, which may be a fraction.
func (r *returnRoute) room(now time.Duration) float64 {
	admitted := r.decayedAdmitted(now)
	if admitted < minAdmitted {
		return 0
	}
	return returnShare * admitted * float64(returnSlot) / float64(admittedWindow)
}

// decayedAdmitted returns the sum of admitted requests as of now.
func (r *returnRoute) decayedAdmitted(now time.Duration) float64 {
	return r.admitted * math.Exp(-float64(now-r.admittedAt)/float64(admittedWindow))
}
