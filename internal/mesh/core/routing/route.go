package routing

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Route is one node's way to one service: its balancer, and for each request
// class the lowest cursor that answers reported from below the service, so that
// a call that would be shed deeper down is refused here.
type Route struct {
	Balancer *Balancer
	paths    map[string]*admission.View
	blind    bool
}

// NewRoute makes a route. blind leaves the cursors of answers unread, for
// measurements of what they bring.
func NewRoute(balancer *Balancer, blind bool) *Route {
	return &Route{Balancer: balancer, paths: map[string]*admission.View{}, blind: blind}
}

// Pick chooses a target for a call of the class and counts it as started there.
func (r *Route) Pick(now time.Duration, class string, request Request) (Choice, outcome.Reason) {
	if view := r.paths[class]; view != nil && request.Only == "" && !view.Admit(now, request.Rank) {
		return Choice{}, outcome.ReasonOverloadCursor
	}
	choice, reason := r.Balancer.Pick(now, request)
	if reason == outcome.ReasonNone {
		r.Balancer.Started(choice.Target.Node)
	}
	return choice, reason
}

// Finished feeds back what an attempt showed. pathCursor is the lowest cursor
// below the target as its answer reported it; -1 when it reported none.
func (r *Route) Finished(now time.Duration, class string, result Result, pathCursor int) (ejected bool) {
	if r.blind {
		result.HasCursor = false
		return r.Balancer.Finished(now, result)
	}
	if pathCursor >= 0 {
		view := r.paths[class]
		if view == nil {
			view = &admission.View{}
			r.paths[class] = view
		}
		view.Observe(now, admission.Rank(pathCursor))
	}
	return r.Balancer.Finished(now, result)
}

// Cursor is the highest rank that any usable target of the service is known to
// admit; -1 while one is not known to be shedding.
func (r *Route) Cursor(now time.Duration) int {
	return r.Balancer.highestCursor(now)
}

func (b *Balancer) highestCursor(now time.Duration) int {
	highest := -1
	for _, known := range b.subset {
		if now < known.ejectedUntil {
			continue
		}
		cursor, fresh := known.view.Cursor(now)
		if !fresh {
			return -1
		}
		highest = max(highest, int(cursor))
	}
	return highest
}
