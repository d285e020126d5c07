// Package startqueue decides which client requests start their call chains while a congestion price
// admits only a share of them (core/pricing).
//
// Each arrival of a route adds its admission probability to the credit of the route, and a request that
// is admitted takes 1. The share admitted is therefore that of a random draw, without its variance. A
// request that finds too little credit waits for a short time, and credit goes to the waiting requests
// in the order of Request.before. One whose turn cannot come in its time is refused as soon as that is
// known.
//
// The package does no locking and uses no clock or randomness; callers pass random numbers.
// docs/design/fair-admission.md, part B, is its specification.
package startqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the requests that wait at a node.
	MaxWaiting = 256
	// maxCredit bounds the credit of a route, and with it the requests that it admits at once.
	maxCredit = 2.0
	// roundUpFrom is the credit from which on a waiting request is admitted when the price restricts its
	// route no longer. Rounding to the nearest keeps the share admitted of all nodes together.
	roundUpFrom = 0.5
	// rateWindow is the time constant of the moving average of a route's credit per second.
	rateWindow = 2 * time.Second
	// rateKnownAfter is how long a route must have accrued credit before its rate counts: the first few
	// arrivals say little about the next ones.
	rateKnownAfter = 500 * time.Millisecond
	// stateExpiry is how long the credit of a route without arrivals is kept.
	stateExpiry = 10 * time.Second
)

// Request is a client request whose admission a price decides.
type Request struct {
	ID          uint64
	Route       string
	Probability float64 // admission probability at its arrival
	// Returning reports that the request was refused before.
	Returning bool
	// OverShare reports that the tenant of the request takes more than its share.
	OverShare bool
	// Deadline is when the request times out, WaitUntil how long it may wait at most.
	Deadline, WaitUntil time.Duration
	// Draw is a random number in [0, 1). It is the first credit of a route, so that the nodes of a
	// deployment together admit the right share of their first requests.
	Draw float64
}

// before reports whether r gets credit before other: a returning request has waited already, tenants
// within their share go before others, then the request with the least time left.
func (r *Request) before(other *Request) bool {
	switch {
	case r.Returning != other.Returning:
		return r.Returning
	case r.OverShare != other.OverShare:
		return other.OverShare
	case r.Deadline != other.Deadline:
		return r.Deadline < other.Deadline
	default:
		return r.ID < other.ID
	}
}

// Decision is the decision on a request.
type Decision struct {
	ID       uint64
	Admitted bool
}

// Queue holds the waiting requests of one node. It is not safe for concurrent use.
type Queue struct {
	routes    map[string]*route
	waiting   int
	sweptAt   time.Duration
	decisions []Decision // buffer of the results
}

// route holds the credit and the waiting requests of a route.
type route struct {
	credit  float64
	waiting []Request // in the order in which they get credit
	// accrued is the sum of the credit, decayed with rateWindow since updatedAt.
	accrued              float64
	startedAt, updatedAt time.Duration
	// decideAt is when a waiting request has to be decided if no other arrives before.
	decideAt time.Duration
}

// New returns an empty queue.
func New() *Queue { return &Queue{routes: map[string]*route{}} }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Arrive adds a request and returns the decisions that follow, on this request or on others. A request
// without a decision waits. The result is valid until the next call.
func (q *Queue) Arrive(now time.Duration, request Request) []Decision {
	q.decisions = q.decisions[:0]
	q.sweep(now)
	r := q.route(now, &request)
	q.refuseExpired(now, r)
	if request.Probability >= 1 {
		q.decide(request.ID, true)
		q.roundUp(r)
		q.schedule(now, r)
		return q.decisions
	}
	r.accrue(now, request.Probability)
	if request.Deadline <= now {
		q.decide(request.ID, false)
	} else {
		q.insert(r, request)
	}
	q.grant(r)
	q.refuseUnreachable(now, r)
	q.refuseExcess(r)
	q.schedule(now, r)
	return q.decisions
}

// Expire refuses the waiting requests whose time is over or whose turn cannot come any more. It is to be
// called at the time that NextDecision returns.
func (q *Queue) Expire(now time.Duration) []Decision {
	q.decisions = q.decisions[:0]
	for _, r := range q.routes {
		if len(r.waiting) > 0 {
			q.refuseUnreachable(now, r)
			q.schedule(now, r)
		}
	}
	return q.decisions
}

// ArriveUnrestricted records a request of a route that no price restricts now, and returns the decisions
// on those that wait.
func (q *Queue) ArriveUnrestricted(now time.Duration, name string) []Decision {
	q.decisions = q.decisions[:0]
	r := q.routes[name]
	if r == nil {
		return nil
	}
	q.refuseExpired(now, r)
	q.roundUp(r)
	q.schedule(now, r)
	return q.decisions
}

// Remove removes a waiting request whose client has disconnected. It reports whether the request waited.
func (q *Queue) Remove(now time.Duration, name string, id uint64) bool {
	r := q.routes[name]
	if r == nil {
		return false
	}
	index := slices.IndexFunc(r.waiting, func(w Request) bool { return w.ID == id })
	if index < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, index, index+1)
	q.waiting--
	q.schedule(now, r)
	return true
}

// NextDecision returns when Expire has to be called; waiting is false if no request waits.
func (q *Queue) NextDecision() (at time.Duration, waiting bool) {
	for _, r := range q.routes {
		if len(r.waiting) > 0 && (!waiting || r.decideAt < at) {
			at, waiting = r.decideAt, true
		}
	}
	return at, waiting
}

func (q *Queue) route(now time.Duration, request *Request) *route {
	r := q.routes[request.Route]
	if r == nil {
		r = &route{credit: request.Draw, startedAt: now, updatedAt: now}
		q.routes[request.Route] = r
	}
	return r
}

// sweep removes the state of routes that have no arrivals any more.
func (q *Queue) sweep(now time.Duration) {
	if now-q.sweptAt < stateExpiry {
		return
	}
	q.sweptAt = now
	for name, r := range q.routes {
		if len(r.waiting) == 0 && now-r.updatedAt > stateExpiry {
			delete(q.routes, name)
		}
	}
}

// accrue adds credit. An average that is older than its window starts anew.
func (r *route) accrue(now time.Duration, credit float64) {
	if now-r.updatedAt > rateWindow {
		r.accrued, r.startedAt = 0, now
	}
	r.accrued = r.decayed(now) + credit
	r.updatedAt = now
	r.credit = min(r.credit+credit, maxCredit)
}

func (r *route) decayed(now time.Duration) float64 {
	return r.accrued * math.Exp(-float64(now-r.updatedAt)/float64(rateWindow))
}

// rate returns the recent credit per second, if it is known.
func (r *route) rate(now time.Duration) (perSecond float64, known bool) {
	age := now - r.startedAt
	if age < rateKnownAfter {
		return 0, false
	}
	weight := 1 - math.Exp(-float64(age)/float64(rateWindow))
	return r.decayed(now) / (weight * rateWindow.Seconds()), true
}

func (q *Queue) decide(id uint64, admitted bool) {
	q.decisions = append(q.decisions, Decision{ID: id, Admitted: admitted})
}

func (q *Queue) insert(r *route, request Request) {
	index, _ := slices.BinarySearchFunc(r.waiting, &request, func(w Request, target *Request) int {
		if w.before(target) {
			return -1
		}
		return 1
	})
	r.waiting = slices.Insert(r.waiting, index, request)
	q.waiting++
}

func (q *Queue) admitFirst(r *route) {
	q.decide(r.waiting[0].ID, true)
	r.waiting = slices.Delete(r.waiting, 0, 1)
	q.waiting--
}

// grant admits waiting requests while there is credit.
func (q *Queue) grant(r *route) {
	for len(r.waiting) > 0 && r.credit >= 1 {
		r.credit--
		q.admitFirst(r)
	}
}

// roundUp admits the first waiting request when all are admitted that arrive now, if half of its credit is
// there. The rest is charged to later ones, since the price may pass the merit of the route again. The
// others wait on: with all of them admitted at each such time, a route whose price is about its merit had
// 5 of 100 requests admitted too many.
func (q *Queue) roundUp(r *route) {
	if len(r.waiting) > 0 && r.credit >= roundUpFrom {
		r.credit--
		q.admitFirst(r)
	}
}

// refuseExpired refuses requests whose time to wait is over. Credit that comes later must not go to
// them: after a suspension of the machine their clients have gone.
func (q *Queue) refuseExpired(now time.Duration, r *route) {
	q.refuse(r, func(w *Request, _ int) bool { return now >= w.WaitUntil })
}

// refuseUnreachable refuses requests whose position gets no credit in their time at the recent rate.
func (q *Queue) refuseUnreachable(now time.Duration, r *route) {
	rate, known := r.rate(now)
	q.refuse(r, func(w *Request, position int) bool {
		left := w.WaitUntil - now
		return left <= 0 || known && r.missing(position) > rate*left.Seconds()
	})
}

// missing returns the credit that has to accrue until the request at a position is admitted.
func (r *route) missing(position int) float64 { return float64(position+1) - r.credit }

// refuse refuses the waiting requests that match, given their positions among those that remain.
func (q *Queue) refuse(r *route, matches func(w *Request, position int) bool) {
	kept := r.waiting[:0]
	for i := range r.waiting {
		w := &r.waiting[i]
		if matches(w, len(kept)) {
			q.decide(w.ID, false)
			q.waiting--
			continue
		}
		kept = append(kept, *w)
	}
	r.waiting = kept
}

// refuseExcess refuses the last request of the route when too many wait.
func (q *Queue) refuseExcess(r *route) {
	if q.waiting <= MaxWaiting {
		return
	}
	last := len(r.waiting) - 1
	q.decide(r.waiting[last].ID, false)
	r.waiting = r.waiting[:last]
	q.waiting--
}

// schedule computes when the next waiting request of the route cannot be reached any more, if no credit
// accrues until then.
func (q *Queue) schedule(now time.Duration, r *route) {
	rate, known := r.rate(now)
	for position := range r.waiting {
		at := r.waiting[position].WaitUntil
		switch {
		case known && rate > 0:
			at -= time.Duration(r.missing(position) / rate * float64(time.Second))
		case !known:
			at = min(at, r.startedAt+rateKnownAfter)
		}
		if position == 0 || at < r.decideAt {
			r.decideAt = at
		}
	}
}
