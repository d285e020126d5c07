// Package entry implements the egress proxy of a node. It accepts requests from local clients and
// from the local target, runs each through the pipeline in steps.go, and sends it to targets until
// one responds or no further attempt is allowed.
//
// The package owns a request from its arrival to its response, and the weighted split of a route
// across services. Policy lives in other packages: load shedding in admission and core/overload,
// rate limits in quotas, target selection in services and core/balancer, retries in core/retry,
// Retry-After values in core/retryafter and priorities in core/importance. Package arrival maps a
// call of the local target to the request that made it; package peer connects to other nodes. All
// exported types are safe for concurrent use.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// Arrivals gives access to the requests in progress at the local target.
type Arrivals interface {
	// IsCall reports whether id belongs to a call made by a request in progress at the target.
	IsCall(id string) bool
	// Parent returns the request at the target that made the call with this id, or nil.
	Parent(id string) *arrival.Running
	// Serve sends a request to the local target.
	Serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply
}

// Quarantine decides whether a request that crashed targets before may be sent again.
type Quarantine interface {
	CheckAtEntry(r *quarantine.Request) quarantine.Verdict
}

// Quotas enforces the rate limits of tenants.
type Quotas interface {
	Admit(ctx context.Context, tenant *intent.Tenant, wait time.Duration) bool
	Refusal(tenant *intent.Tenant, most time.Duration) (limitReached bool, retryAfter time.Duration)
	ReturnToken(tenant *intent.Tenant)
}

// StateReader reads what targets state in their responses.
type StateReader interface {
	Read(instance, service string, status int, header http.Header) (state outcome.TargetState, rateValid bool)
}

// Members tracks the process incarnations of the other nodes.
type Members interface {
	Incarnation(node string) string
	SetIncarnation(node, incarnation string)
}

// Configuration is the routing configuration in force.
type Configuration interface {
	Load() *intent.Intent // nil until a configuration is known
	Version() uint64
}

// Options holds the dependencies of an Egress.
type Options struct {
	Node          string               // name of this node
	Now           func() time.Duration // monotonic clock that includes time spent suspended
	Headers       headers.Names
	Caller        func() string // service name of the local target
	Configuration Configuration
	ConfigFresh   func() bool // whether the configuration was revalidated recently enough to trust client keys
	Ingress       Arrivals
	Quarantine    Quarantine
	Quotas        Quotas
	Services      *services.Services
	Admission     *admission.Control
	Liveness      *peer.Liveness
	PeerClient    *peer.Client
	Members       Members
	States        StateReader
	SyncWith      func(address string)            // synchronizes with a node that has no configuration
	PolicyOn      func(m settings.Mechanism) bool // whether a mechanism is enabled
	MaxWaitShare  func() float64                  // setting admission.max_wait_share
	Bodies        *reply.Budget                   // of the bodies of requests that begin here
	Metrics       *metrics.Metrics
	Events        *eventlog.Log
	// Begin counts a request as in flight until end is called. closing reports that the node is
	// shutting down and accepts no new requests.
	Begin func(w http.ResponseWriter, r *http.Request) (writer *duplex.Writer, request *http.Request, end func(), closing bool)
	// Closed reports that the node is shutting down and sends no client's request, or no call, any more.
	Closed func(isCall bool) bool
	// CountClient counts a client request until end is called.
	CountClient func() (end func())
}
