// Package arrival implements the ingress of a node. It accepts requests for the local target from
// other nodes and from the egress of this one, and has the target execute them.
//
// The package owns the table of requests in progress at the target (Running), by which calls of the
// target find their parent, and the at-most-once requests with their cached replies. Each request
// passes the gate of the target in a fixed order: check of instance and service, check against
// contents that crash targets, slot, at-most-once claim, target. A run without a response is
// classified here, because the target may have crashed.
//
// Package target provides the gate and its connections, quarantine the crash evidence, core/fence the
// at-most-once ledger, and core/outcome the classification of responses. All exported types are
// safe for concurrent use.
package arrival

import (
	"context"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// Target is the local target.
type Target interface {
	// Current returns the gate of the target, or nil if no target is known.
	Current() *target.Gate
	// MarkReplaced reports that another instance now serves the target's address.
	MarkReplaced(instance string)
	// MarkLeaving reports that an instance states in its responses that it leaves. It returns whether
	// this was not known.
	MarkLeaving(instance string) bool
}

// StateReader reads what targets state in their responses.
type StateReader interface {
	// Enabled reports whether the node follows what targets state.
	Enabled() bool
	Read(instance, service string, status int, header http.Header) (state outcome.TargetState, rateValid bool)
	// Pace returns the factor of package pace that a response states, or false if it states none.
	Pace(status int, header http.Header) (factor float64, valid bool)
}

// Quarantine decides whether requests that may crash the target are sent, and collects the evidence.
type Quarantine interface {
	MaySend(r *quarantine.Request) bool
	IsSuspected(r *quarantine.Request) bool
	RecordSuccess(r *quarantine.Request)
	RecordCrash(instance, service string, runs []quarantine.Run)
	AwaitBroadcast(ctx context.Context)
}

// Options holds the dependencies of an Ingress.
type Options struct {
	Node        string               // name of this node
	Incarnation string               // id of this process of the node
	Now         func() time.Duration // monotonic clock that includes time spent suspended
	Headers     headers.Names
	Version     func() uint64 // version of the configuration in force; 0 if none is known
	// TenantWeight returns the weight of a tenant's fair share, or 0 if the tenant is unknown or shares
	// are not measured.
	TenantWeight func(tenant string) float64
	Target       Target
	States       StateReader
	Quarantine   Quarantine
	Bodies       *reply.Budget // of the bodies of other nodes' requests
	Metrics      *metrics.Metrics
	Events       *eventlog.Log
	// Begin counts a request of another node as in flight until end is called. draining reports
	// that the node accepts no more requests.
	Begin func(w http.ResponseWriter, r *http.Request) (writer *duplex.Writer, request *http.Request, end func(), draining bool)
}
