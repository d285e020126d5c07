// Package gate combines the overload protection of one target: an admission
// controller that refuses calls by rank, followed by a concurrency limiter with a
// queue, whose state feeds back into the controller. It is a deterministic state
// machine that does no I/O and reads no clock, so the data plane and the emulator
// share it.
package gate

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Config holds the parameters of a Gate.
type Config struct {
	Limiter   limiter.Config
	Admission admission.Config
	// DisableAdmission disables the admission controller, so that only the limiter refuses calls.
	DisableAdmission bool
}

// DefaultConfig returns the default parameters, which the results in
// docs/mesh/OVERLOAD.md apply to.
func DefaultConfig(levels int) Config {
	return Config{Limiter: limiter.DefaultConfig(), Admission: admission.DefaultConfig(levels)}
}

// Gate controls the calls to one target. It is not safe for concurrent use.
type Gate struct {
	config     Config
	limiter    *limiter.Limiter
	controller *admission.Controller
}

// New returns a gate for a target with no history.
func New(config Config) *Gate {
	return &Gate{config: config, limiter: limiter.New(config.Limiter), controller: admission.NewController(config.Admission)}
}

// Cursor returns the highest rank that is admitted.
func (g *Gate) Cursor() admission.Rank { return g.controller.Cursor() }

// Limit returns the current concurrency limit.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// Active returns the number of calls at the target.
func (g *Gate) Active() int { return g.limiter.Active() }

// Queued returns the number of calls in the queue.
func (g *Gate) Queued() int { return g.limiter.Queued() }

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.limiter.Draining() }

// Arrive refuses a call whose rank is above the cursor and passes any other on to
// the limiter. A draining limiter refuses all calls itself.
func (g *Gate) Arrive(now time.Duration, call limiter.Call, rank admission.Rank) []limiter.Action {
	if !g.controller.Admit(now, rank) && !g.config.DisableAdmission && !g.limiter.Draining() {
		return []limiter.Action{{
			Kind: limiter.Refuse, ID: call.ID, Reason: outcome.ReasonOverloadCursor, Limit: g.limiter.Limit(),
			Active: g.limiter.Active(), Queued: g.limiter.Queued(),
		}}
	}
	return g.observe(now, g.limiter.Arrive(now, call))
}

// Finish releases the slot of a call; see limiter.Limiter.Finish.
func (g *Gate) Finish(now time.Duration, id uint64, serviceTime time.Duration, complete, rejected bool) []limiter.Action {
	return g.observe(now, g.limiter.Finish(now, id, serviceTime, complete, rejected))
}

// Cancel removes a call from the queue.
func (g *Gate) Cancel(id uint64) { g.limiter.Cancel(id) }

// Tick handles timeouts and preemption; see limiter.Limiter.Tick.
func (g *Gate) Tick(now time.Duration) []limiter.Action { return g.observe(now, g.limiter.Tick(now)) }

// Drain refuses the queued calls and all later arrivals.
func (g *Gate) Drain(now time.Duration) []limiter.Action { return g.limiter.Drain(now) }

// observe updates the controller from the actions and the state of the limiter.
func (g *Gate) observe(now time.Duration, actions []limiter.Action) []limiter.Action {
	for _, action := range actions {
		switch {
		case action.Kind == limiter.Admit:
			g.controller.Served(now)
		case action.Reason == outcome.ReasonQueueFull, action.Reason == outcome.ReasonQueueTimeout:
			g.controller.QueueRefused(now)
		}
	}
	g.controller.SetServiceTime(g.limiter.MeanServiceTime())
	g.controller.SetQueueLength(now, g.limiter.Queued())
	return actions
}
