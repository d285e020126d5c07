// Package entry takes the requests of the clients on the machine and of the target there, and
// has each answered: it goes through the steps of steps.go, and is then sent to targets until
// one answers or nothing more can be tried.
//
// It owns a request from its arrival to its answer, and the shares of a route's parts. All else
// belongs to others: whether a request is let in to admission, core/overload and quotas, which
// target it goes to to services and core/balancer, whether it is sent again to core/resend, when
// a refused sender comes back to core/retryafter, in which order gates take requests to
// core/importance. It relies on package arrival for the requests that are at the target, since
// a call of the target belongs to one of them, and on package peer for the other nodes. All of
// it is safe for concurrent use.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// Arrivals are the requests at the target beside the node.
type Arrivals interface {
	// IsCall reports whether an id is that of a call of a request at the target.
	IsCall(id string) bool
	// Parent is the request at the target whose call has an id; nil: there is none.
	Parent(id string) *arrival.Running
	// Serve sends a request to the target.
	Serve(ctx context.Context, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply
}

// HeldBack decides on requests that targets ended with.
type HeldBack interface {
	AtStart(r *heldback.Request) heldback.Verdict
}

// Quotas keep tenants within their limits.
type Quotas interface {
	Admit(ctx context.Context, tenant *intent.Tenant, wait time.Duration) bool
	Refusal(tenant *intent.Tenant, most time.Duration) (limitReached bool, retryAfter time.Duration)
	GiveBack(tenant *intent.Tenant)
}

// Members are the records of the other nodes.
type Members interface {
	Incarnation(node string) string
	Restarted(node, incarnation string)
}

// Configuration is the operators' configuration in force.
type Configuration interface {
	Load() *intent.Intent // nil: none is known
	Version() uint64
}

// Options are what an egress needs of the other parts of its node.
type Options struct {
	Node          string               // the node's name
	Now           func() time.Duration // the clock that counts suspensions
	Headers       headers.Names
	Caller        func() string // service of the machine
	Configuration Configuration
	Fresh         func() bool // the configuration was confirmed lately enough for keys
	Arrivals      Arrivals
	HeldBack      HeldBack
	Quotas        Quotas
	Services      *services.Services
	Overload      *admission.Control
	Liveness      *peer.Liveness
	Peers         *peer.Client
	Members       Members
	Exchange      func(address string)            // with a node that knows nothing
	PolicyOn      func(m settings.Mechanism) bool // a mechanism is in use
	Metrics       *metrics.Metrics
	Events        *eventlog.Log
	// Begin counts a request as in flight until end is called; closing: the node takes no new
	// ones.
	Begin func(w http.ResponseWriter, r *http.Request) (answer *duplex.Writer, request *http.Request, end func(), closing bool)
	// CountClient counts a client's request until the function that it returns is called.
	CountClient func() (end func())
}
