// Package gate is what stands in front of one target: the admission controller
// that refuses by rank, and behind it the limiter with its queue. What the queue
// shows steers the controller. Like all of internal/core it is a state machine
// without sockets or clocks; the data plane and the emulator drive the same one.
package gate

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Config sets a gate.
type Config struct {
	Limiter   limiter.Config
	Admission admission.Config
	// Open leaves the admission controller out; the queue alone refuses.
	Open bool
}

// DefaultConfig gives the values that docs/mesh/OVERLOAD.md was measured with.
func DefaultConfig(levels int) Config {
	return Config{Limiter: limiter.DefaultConfig(), Admission: admission.DefaultConfig(levels)}
}

// Gate is the state of one target. It is not safe for concurrent use.
type Gate struct {
	config     Config
	limiter    *limiter.Limiter
	controller *admission.Controller
}

// New makes the gate of a cold target.
func New(config Config) *Gate {
	return &Gate{config: config, limiter: limiter.New(config.Limiter), controller: admission.NewController(config.Admission)}
}

// Cursor gives the highest rank that is admitted now.
func (g *Gate) Cursor() admission.Rank { return g.controller.Cursor() }

// Limit, Active and Queued describe the limiter.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// Active gives the calls at the target.
func (g *Gate) Active() int { return g.limiter.Active() }

// Queued gives the calls that wait.
func (g *Gate) Queued() int { return g.limiter.Queued() }

// Draining tells whether Drain was called.
func (g *Gate) Draining() bool { return g.limiter.Draining() }

// Arrive takes in a call: one that the cursor refuses never reaches the queue.
func (g *Gate) Arrive(now time.Duration, call limiter.Call, rank admission.Rank) []limiter.Action {
	if !g.controller.Admit(now, rank) && !g.config.Open && !g.limiter.Draining() {
		return []limiter.Action{{
			Kind: limiter.Refuse, ID: call.ID, Reason: outcome.ReasonOverloadCursor, Limit: g.limiter.Limit(),
			Active: g.limiter.Active(), Queued: g.limiter.Queued(),
		}}
	}
	return g.note(now, g.limiter.Arrive(now, call))
}

// Finish takes the end of a call at the target; see limiter.Limiter.Finish.
func (g *Gate) Finish(now time.Duration, id uint64, own time.Duration, healthy, shed bool) []limiter.Action {
	return g.note(now, g.limiter.Finish(now, id, own, healthy, shed))
}

// Withdraw takes a call out of the queue.
func (g *Gate) Withdraw(id uint64) { g.limiter.Withdraw(id) }

// Tick drops what waited too long; see limiter.Limiter.Tick.
func (g *Gate) Tick(now time.Duration) []limiter.Action { return g.note(now, g.limiter.Tick(now)) }

// Drain refuses what waits and all that comes.
func (g *Gate) Drain(now time.Duration) []limiter.Action { return g.limiter.Drain(now) }

// note feeds what the queue shows back to the controller.
func (g *Gate) note(now time.Duration, actions []limiter.Action) []limiter.Action {
	for _, action := range actions {
		switch {
		case action.Kind == limiter.Admit:
			g.controller.Served(now)
		case action.Reason == outcome.ReasonQueueFull, action.Reason == outcome.ReasonQueueTimeout:
			g.controller.Overfull(now)
		}
	}
	g.controller.Typical(g.limiter.MeanServiceTime())
	g.controller.Queued(now, g.limiter.Queued())
	return actions
}
