package entry

import (
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// returns assigns the times at which refused requests may return. It is safe for concurrent use.
type returns struct {
	mutex sync.Mutex
	core  *retryafter.Returns
}

func newReturns() *returns { return &returns{core: retryafter.NewReturns()} }

// recordAdmission counts an admitted request as room for returning ones of its route.
func (r *request) recordAdmission() {
	if !r.options.PolicyOn(settings.ReturnSlots) {
		return
	}
	r.returns.mutex.Lock()
	defer r.returns.mutex.Unlock()
	r.returns.core.Admit(r.options.Now(), r.route.Name)
}

// recordTime records how long a served request took.
func (r *request) recordTime(took time.Duration) {
	if r.parent != nil || !r.options.PolicyOn(settings.ReturnSlots) {
		return
	}
	r.returns.mutex.Lock()
	defer r.returns.mutex.Unlock()
	r.returns.core.Served(r.route.Name, took)
}

// assignReturn returns the delay after which a request that a price refused may return.
func (r *request) assignReturn() retryafter.Range {
	r.returns.mutex.Lock()
	defer r.returns.mutex.Unlock()
	now := r.options.Now()
	assigned := r.returns.core.Refuse(now, retryafter.Refusal{
		Route: r.route.Name, Timeout: max(r.clientTimeout()-(now-r.started), 0), Objective: r.route.Objective, Returning: r.decision.Returning,
	})
	r.returnIsPromised = assigned.Promised
	return assigned.Range
}

// Outcomes of returning requests that are counted apart from those of outcomeLabel.
const (
	returnedServed = "served"  // ok
	returnedNoTime = "no_time" // refused, and told that no time is left for another attempt
)

// recordReturning counts the outcome of a request that returned after a refusal.
func (r *request) recordReturning(label string, reason outcome.Reason, retryAfter time.Duration) {
	if !r.decision.Returning {
		return
	}
	switch {
	case label == "ok":
		label = returnedServed
	case label == "refused" && reason == outcome.ReasonOverload && retryAfter == 0:
		label = returnedNoTime
	}
	r.options.Metrics.Returning.WithLabelValues(r.route.Name, label).Inc()
}
