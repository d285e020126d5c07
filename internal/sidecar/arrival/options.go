// Package arrival takes the requests that other nodes, or the entry of this one, send for the
// target beside the node, and has the target run them.
//
// It owns the requests that are at the target now, which calls of the target find by their ids
// (Running), and the ones that may run at most once with their kept replies. A request goes
// through the gate of the target in a fixed order: the right instance and service, evidence
// that it ends targets, a slot, the right to run once, the target. What a run that brings no
// answer means for the target is decided here too: the target may have ended with it.
//
// It relies on package target for the gate and the connections, on heldback for the evidence
// and on core/fence for run-once; what an answer is worth is decided by core/outcome. All of
// it is safe for concurrent use.
package arrival

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// Target is the target beside the node.
type Target interface {
	// Current is its gate; nil: no target is known.
	Current() *target.Gate
	// Replaced notes that the target's address belongs to another instance.
	Replaced(instance string)
}

// HeldBack decides on requests that targets ended with.
type HeldBack interface {
	MaySend(r *heldback.Request) bool
	Suspected(r *heldback.Request) bool
	EndedWell(r *heldback.Request)
	TargetEnded(instance, service string, runs []heldback.Run)
}

// Options are what an ingress needs of the other parts of its node.
type Options struct {
	Incarnation string               // of the node's process
	Now         func() time.Duration // the clock that counts suspensions
	Headers     headers.Names
	Version     func() uint64 // of the configuration in force; 0: none is known
	Target      Target
	HeldBack    HeldBack
	Metrics     *metrics.Metrics
	Events      *eventlog.Log
	// Begin counts a request of another node as in flight until end is called; refused: the
	// node takes no more.
	Begin func(w http.ResponseWriter, r *http.Request) (answer *duplex.Writer, request *http.Request, end func(), refused bool)
}
