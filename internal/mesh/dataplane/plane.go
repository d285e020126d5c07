// Package dataplane forwards calls: from outside callers (entry), from the
// target beside the node (egress) and from other nodes to that target
// (ingress). It asks the pure packages below internal/core what to do and
// carries it out over net/http.
package dataplane

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/core/drain"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// Side is the part that the node plays in a call.
type Side string

// The sides.
const (
	SideEntry   Side = "entry"
	SideEgress  Side = "egress"
	SideIngress Side = "ingress"
)

// Claims grants the right to run at-most-once requests. Its methods are called
// from the goroutines of the requests.
type Claims interface {
	// Lookup tells where a key stands at this node without claiming it.
	Lookup(key string) (claim.Phase, *claim.Answer)
	// Begin claims the key; it may talk to the voters of the service.
	Begin(ctx context.Context, key string) Claimed
	// NotStarted returns the right, because the call was provably not handed over.
	NotStarted(key string)
	// Lose notes that how the call ended is not known.
	Lose(key string)
	// Complete keeps the answer; nil when it was too large.
	Complete(key string, answer *claim.Answer)
}

// Claimed is the result of Claims.Begin.
type Claimed struct {
	Run      bool          // this call holds the right to run the key
	Kept     *claim.Answer // answer of the run that there was
	Executor string        // other node that holds the right
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	Numbers  []explain.Number
}

// Options are what a plane is made of.
type Options struct {
	Node        string
	Zone        string
	Target      string // IP:port of the back end; empty for an entry
	Connections int    // most connections to the target
	Metrics     *telemetry.Metrics
	Recorder    *explain.Recorder
	Peers       *http.Transport // mutual TLS to other nodes
	Claims      Claims          // nil for an entry
}

// Plane is the data plane of one node.
type Plane struct {
	node   string
	zone   string
	target string
	// connections is the most that the target takes.
	connections int
	started     time.Time
	metrics     *telemetry.Metrics
	recorder    *explain.Recorder
	peers       *http.Transport
	once        *http.Transport // to other nodes, for calls that may run at most once
	local       *http.Transport
	claims      Claims
	intent      atomic.Pointer[bundle.Index]
	service     atomic.Pointer[string]
	calls       *callTable
	router      *router
	gate        atomic.Pointer[gate]
	resends     *resendTable
	closing     atomic.Bool
	kept        atomic.Int64 // on the plane's clock, ns: end of the last answer whose connection stays
}

// New makes a plane; it serves once SetBundle was called.
func New(options Options) *Plane {
	plane := &Plane{
		node: options.Node, zone: options.Zone, target: options.Target, connections: options.Connections, started: time.Now(), metrics: options.Metrics,
		recorder: options.Recorder, peers: options.Peers, claims: options.Claims, calls: newCallTable(), resends: newResendTable(),
	}
	plane.once = onceTransport(options.Peers)
	plane.router = newRouter(options.Node, options.Zone, plane.now)
	plane.service.Store(new(string))
	if options.Target != "" {
		plane.local = localTransport(options.Connections)
	}
	return plane
}

func localTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
}

// PeerTransport makes the transport to other nodes, on top of a TLS dialer. It
// keeps the number of connections to one peer bounded.
func PeerTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialTLSContext: dial, MaxIdleConnsPerHost: maxPeerConnections, MaxConnsPerHost: maxPeerConnections,
		IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
}

const maxPeerConnections = 64

// DrainGrace is how long a stopping node goes on taking calls, to refuse them as not
// run, before it closes its connections.
const DrainGrace = drain.Grace

// onceIdle is how long a connection may rest that is used for calls that may run at
// most once. It is shorter than DrainGrace: a node that closes its connections at the
// end of a stop then holds none that rests and that a sender might take at that
// moment, when nobody could say any more whether the call has run.
const onceIdle = DrainGrace / 2

// onceTransport makes the transport for calls that may run at most once from that of
// all calls; nil gives nil.
func onceTransport(peers *http.Transport) *http.Transport {
	if peers == nil {
		return nil
	}
	once := peers.Clone()
	once.IdleConnTimeout = onceIdle
	return once
}

// peersFor gives the transport to other nodes for a call.
func (p *Plane) peersFor(atMostOnce bool) *http.Transport {
	if atMostOnce {
		return p.once
	}
	return p.peers
}

// now is the monotonic time since the start of the plane; the core's clock.
func (p *Plane) now() time.Duration { return time.Since(p.started) }

// SetBundle puts a bundle in force. leaving are nodes that the machine list
// calls leaving.
func (p *Plane) SetBundle(installed *bundle.Bundle, leaving map[string]bool) {
	_, service := installed.Node(p.node)
	p.service.Store(&service)
	if current := p.gate.Load(); p.target != "" && (current == nil || current.levels != len(installed.Levels)) {
		p.setGate(current, newGate(len(installed.Levels), p.connections, p.now, p.metrics))
	}
	intent := bundle.NewIndex(installed)
	p.router.update(intent, leaving)
	p.intent.Store(intent)
}

func (p *Plane) setGate(old, gate *gate) {
	if old != nil && old.draining() {
		gate.drain()
	}
	p.gate.Store(gate)
}

// Drain refuses new work from now on; what is in flight goes on.
func (p *Plane) Drain() {
	if gate := p.gate.Load(); gate != nil {
		gate.drain()
	}
}

// CloseConnections has every answer from now on ask to close its connection.
func (p *Plane) CloseConnections() { p.closing.Store(true) }

// begin counts a call as in flight until end is called. Its answer may begin before all of the
// request was read: a sender that waits for the first byte would otherwise never end. It gives
// the writer of the answer and the request to use.
func (p *Plane) begin(w http.ResponseWriter, r *http.Request) (answer *duplex.Writer, request *http.Request, end func()) {
	p.calls.enter()
	answer, request = duplex.Begin(w, r, p.closing.Load)
	return answer, request, func() {
		if !answer.Closes() {
			p.kept.Store(int64(p.now()))
		}
		p.calls.leave()
	}
}

// SinceKept gives the time since the last answer ended whose connection its sender may use again.
func (p *Plane) SinceKept() time.Duration { return p.now() - time.Duration(p.kept.Load()) }

// bodyGrace is how long after its deadline a request body may still be read.
const bodyGrace = 50 * time.Millisecond

// boundBody ends the reading of a request's body soon after the deadline, so that
// a sender that stalls holds nothing for longer.
func boundBody(w http.ResponseWriter, r *http.Request, remaining time.Duration) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(remaining + bodyGrace))
	}
}

// InFlight gives the calls that the node is serving, on all sides.
func (p *Plane) InFlight() int { return p.calls.inFlight() }

// GateState gives the numbers of the gate: limit, calls at the target and waiting.
func (p *Plane) GateState() (limit, active, queued int, draining bool) {
	gate := p.gate.Load()
	if gate == nil {
		return 0, 0, 0, false
	}
	return gate.state()
}

// Routes gives the targets as routing sees them, by service.
func (p *Plane) Routes() map[string][]RouteState { return p.router.states(p.now()) }

// Close ends idle connections.
func (p *Plane) Close() {
	p.peers.CloseIdleConnections()
	p.once.CloseIdleConnections()
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

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// isCall tells a call from a control message on the peer port.
func isCall(r *http.Request) bool { return r.Header.Get(wire.HeaderCall) != "" }
