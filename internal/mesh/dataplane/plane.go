// Package dataplane forwards calls over HTTP: from outside clients (entry), from the local
// target (egress) and from other nodes to the local target (ingress). Admission, routing and
// retry decisions are made by the packages below internal/mesh/core.
package dataplane

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/connreset"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/core/drain"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// Side is the role of the node in a call.
type Side string

const (
	SideEntry   Side = "entry"
	SideEgress  Side = "egress"
	SideIngress Side = "ingress"
)

// ClaimStore grants the right to run at-most-once calls. Implementations must be safe for
// concurrent use.
type ClaimStore interface {
	// Lookup returns the local phase of a key without claiming it.
	Lookup(key string) (claim.Phase, *claim.Answer)
	// Begin claims the key; it may contact the voters of the service.
	Begin(ctx context.Context, key string) ClaimResult
	// Release releases the claim of a call that was not forwarded to the target.
	Release(key string)
	// MarkUnknown records that the outcome of the call is unknown.
	MarkUnknown(key string)
	// Complete stores the answer; a nil answer means that it was too large to store.
	Complete(key string, answer *claim.Answer)
}

// ClaimResult is the result of ClaimStore.Begin.
type ClaimResult struct {
	Granted      bool          // the caller may run the call
	StoredAnswer *claim.Answer // stored answer of an earlier run
	Executor     string        // node that holds the claim, if it is another one
	Outcome      outcome.Outcome
	Reason       outcome.Reason
	Numbers      []explain.Number
}

// Options configures a Plane.
type Options struct {
	Node           string
	Zone           string
	Target         string // IP:port of the local target; empty for an entry
	MaxConnections int    // maximum number of connections to the target
	Metrics        *telemetry.Metrics
	Recorder       *explain.Recorder
	Peers          *http.Transport // mutual TLS transport to other nodes
	Claims         ClaimStore      // nil for an entry
}

// Plane is the data plane of one node.
type Plane struct {
	node            string
	zone            string
	target          string
	maxConnections  int
	started         time.Time
	metrics         *telemetry.Metrics
	recorder        *explain.Recorder
	peers           *http.Transport
	atMostOncePeers *http.Transport // for at-most-once calls
	local           *http.Transport
	claims          ClaimStore
	index           atomic.Pointer[bundle.Index]
	service         atomic.Pointer[string]
	calls           *callTable
	router          *router
	gate            atomic.Pointer[gate]
	resends         *resendTable
	closing         atomic.Bool
	lastKeptAlive   atomic.Int64 // end of the last response that kept its connection open; ns since started
}

// New returns a Plane. It refuses calls until SetBundle is called.
func New(options Options) *Plane {
	plane := &Plane{
		node: options.Node, zone: options.Zone, target: options.Target, maxConnections: options.MaxConnections, started: time.Now(), metrics: options.Metrics,
		recorder: options.Recorder, peers: options.Peers, claims: options.Claims, calls: newCallTable(), resends: newResendTable(),
	}
	plane.atMostOncePeers = atMostOnceTransport(options.Peers)
	plane.router = newRouter(options.Node, options.Zone, plane.now)
	plane.service.Store(new(string))
	if options.Target != "" {
		plane.local = localTransport(options.MaxConnections)
	}
	return plane
}

func localTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return connreset.Detect(conn), nil
	}
	return &http.Transport{
		DialContext: dial, MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
}

// PeerTransport returns a transport to other nodes over a TLS dialer, with a limit on the
// connections per node.
func PeerTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialTLSContext: dial, MaxIdleConnsPerHost: maxPeerConnections, MaxConnsPerHost: maxPeerConnections,
		IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
}

const maxPeerConnections = 64

// DrainGrace is how long a stopping node keeps refusing calls as not run before it closes
// its connections.
const DrainGrace = drain.Grace

// atMostOnceIdleTimeout limits how long connections for at-most-once calls stay idle. It is
// shorter than DrainGrace, so a stopping node never closes an idle connection just as a
// peer sends a call on it, which would leave the outcome of the call unknown.
const atMostOnceIdleTimeout = DrainGrace / 2

// atMostOnceTransport derives the transport for at-most-once calls from peers; it returns
// nil if peers is nil.
func atMostOnceTransport(peers *http.Transport) *http.Transport {
	if peers == nil {
		return nil
	}
	transport := peers.Clone()
	transport.IdleConnTimeout = atMostOnceIdleTimeout
	return transport
}

// peerTransport selects the transport to other nodes.
func (p *Plane) peerTransport(atMostOnce bool) *http.Transport {
	if atMostOnce {
		return p.atMostOncePeers
	}
	return p.peers
}

// now returns the monotonic time since the plane was created.
func (p *Plane) now() time.Duration { return time.Since(p.started) }

// SetBundle activates a bundle. leaving holds the names of nodes marked as leaving in the
// machine list.
func (p *Plane) SetBundle(installed *bundle.Bundle, leaving map[string]bool) {
	_, service := installed.Node(p.node)
	p.service.Store(&service)
	if current := p.gate.Load(); p.target != "" && (current == nil || current.levels != len(installed.Levels)) {
		p.setGate(current, newGate(len(installed.Levels), p.maxConnections, p.now, p.metrics))
	}
	index := bundle.NewIndex(installed)
	p.router.update(index, leaving)
	p.index.Store(index)
}

func (p *Plane) setGate(old, gate *gate) {
	if old != nil && old.draining() {
		gate.drain()
	}
	p.gate.Store(gate)
}

// Drain makes the node refuse new calls; calls in flight continue.
func (p *Plane) Drain() {
	if gate := p.gate.Load(); gate != nil {
		gate.drain()
	}
}

// CloseConnections makes all further responses close their connection.
func (p *Plane) CloseConnections() { p.closing.Store(true) }

// begin counts a call as in flight until end is called. The returned writer and request
// support full duplex: the response may start before the request body has been read, which
// clients that wait for the first byte depend on.
func (p *Plane) begin(w http.ResponseWriter, r *http.Request) (answer *duplex.Writer, request *http.Request, end func()) {
	p.calls.incInFlight()
	answer, request = duplex.Begin(w, r, p.closing.Load)
	return answer, request, func() {
		if !answer.ClosesConnection() {
			p.lastKeptAlive.Store(int64(p.now()))
		}
		p.calls.decInFlight()
	}
}

// SinceKeepAlive returns the time since the last response that kept its connection open.
func (p *Plane) SinceKeepAlive() time.Duration {
	return p.now() - time.Duration(p.lastKeptAlive.Load())
}

// bodyReadGrace is how long a request body may still be read after the call deadline.
const bodyReadGrace = 50 * time.Millisecond

// setBodyReadDeadline limits the reading of the request body, so that a stalled client does
// not hold resources after the deadline.
func setBodyReadDeadline(w http.ResponseWriter, r *http.Request, remaining time.Duration) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(remaining + bodyReadGrace))
	}
}

// InFlight returns the number of calls in progress: entry, egress and ingress.
func (p *Plane) InFlight() int { return p.calls.inFlight() }

// GateState returns the concurrency limit, the active and queued calls and whether the gate
// is draining.
func (p *Plane) GateState() (limit, active, queued int, draining bool) {
	gate := p.gate.Load()
	if gate == nil {
		return 0, 0, 0, false
	}
	return gate.state()
}

// Routes returns the state of the targets by service.
func (p *Plane) Routes() map[string][]RouteState { return p.router.states(p.now()) }

// Close closes idle connections.
func (p *Plane) Close() {
	p.peers.CloseIdleConnections()
	p.atMostOncePeers.CloseIdleConnections()
	if p.local != nil {
		p.local.CloseIdleConnections()
	}
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 36) }

func (p *Plane) record(call *callContext, action explain.Action, reason, service, peer string, numbers ...explain.Number) {
	p.recorder.Add(call.requestID, explain.Decision{
		CallID: call.callID, Depth: call.depth, At: time.Now(), Action: action, Reason: reason, Service: service,
		Class: call.class, Level: call.levelName, Peer: peer, Numbers: numbers,
	})
}

func number(name string, value float64) explain.Number {
	return explain.Number{Name: name, Value: value}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// isCall reports whether a request on the peer port is a call, not a control message.
func isCall(r *http.Request) bool { return r.Header.Get(wire.HeaderCall) != "" }
