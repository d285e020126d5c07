package sidecar

import (
	"net/http"
	"time"

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

// arrivalOptions are what an ingress needs of the other parts of its node.
type arrivalOptions struct {
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
	Begin func(w http.ResponseWriter) (end func(), refused bool)
}
