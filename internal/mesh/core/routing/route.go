package routing

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Route selects targets of one service. Besides the balancer it caches, for each
// request class, the lowest cursor that responses reported from downstream of the
// service, so that calls that would be shed there are refused at once.
type Route struct {
	Balancer      *Balancer
	pathCursors   map[string]*admission.View
	ignoreCursors bool
}

// NewRoute returns a route. With ignoreCursors set, cursors in responses have
// no effect; the emulator uses this to measure their benefit.
func NewRoute(balancer *Balancer, ignoreCursors bool) *Route {
	return &Route{Balancer: balancer, pathCursors: map[string]*admission.View{}, ignoreCursors: ignoreCursors}
}

// Pick selects a target for a call of the class and counts the call as in flight
// there.
func (r *Route) Pick(now time.Duration, class string, request Request) (Choice, outcome.Reason) {
	if view := r.pathCursors[class]; view != nil && request.Node == "" && !view.Admit(now, request.Rank) {
		return Choice{}, outcome.ReasonOverloadCursor
	}
	choice, reason := r.Balancer.Pick(now, request)
	if reason == outcome.ReasonNone {
		r.Balancer.Started(choice.Target.Node)
	}
	return choice, reason
}

// Finished records the result of an attempt. pathCursor is the lowest cursor
// downstream of the target that its response reported, or -1 if it reported none.
func (r *Route) Finished(now time.Duration, class string, result Result, pathCursor int) (ejected bool) {
	if r.ignoreCursors {
		result.HasCursor = false
		return r.Balancer.Finished(now, result)
	}
	if pathCursor >= 0 {
		view := r.pathCursors[class]
		if view == nil {
			view = &admission.View{}
			r.pathCursors[class] = view
		}
		view.Observe(now, admission.Rank(pathCursor))
	}
	return r.Balancer.Finished(now, result)
}

// Cursor returns the highest rank that any available target of the service admits,
// or -1 if the cursor of one of them is not known or none is available.
func (r *Route) Cursor(now time.Duration) int {
	return r.Balancer.highestCursor(now)
}

func (b *Balancer) highestCursor(now time.Duration) int {
	highest := -1
	for _, ep := range b.subset {
		if now < ep.ejectedUntil {
			continue
		}
		cursor, fresh := ep.view.Cursor(now)
		if !fresh {
			return -1
		}
		highest = max(highest, int(cursor))
	}
	return highest
}
