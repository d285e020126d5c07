package peer

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/wire"
)

// A node with requests in flight is pinged after silenceThreshold without a sign of life, and
// counts as unresponsive if no ping is answered within PingTimeout.
const (
	silenceThreshold = 150 * time.Millisecond
	PingTimeout      = 350 * time.Millisecond
	secondPingDelay  = 120 * time.Millisecond
)

// PingPath is answered as soon as the node's process is running.
const PingPath = "/ping"

// errUnresponsive stands for the failed pings that made a node unresponsive.
const errUnresponsive = errors.ConstError("node is unresponsive")

// Liveness detects unresponsive nodes among those with requests in flight. A request without a
// response proves nothing, since it may take long, so the node is pinged; a failed ping marks it as
// unresponsive. An unresponsive node is pinged until it answers, so that no client request has to
// probe it.
type Liveness struct {
	now    func() time.Duration
	ping   func(ctx context.Context, address string) error
	events Events
	closed chan struct{} // closed by Close
	mutex  sync.Mutex
	peers  map[string]*peerState // keyed by node
}

// Events holds the callbacks of Liveness. They are called without holding locks.
type Events struct {
	Unresponsive func(node string) // a node became unresponsive
	PingFailed   func(node string) // another ping to an unresponsive node failed
	Recovered    func(node string) // a node responds again
}

type peerState struct {
	lastHeard  time.Duration
	probing    bool
	recovering bool
	watches    map[*watch]bool
}

// watch observes one request in flight to another node.
type watch struct {
	liveness *Liveness
	node     string
	address  string
	abort    *Abort // nil if the request must not be abandoned
	timer    *time.Timer
}

func NewLiveness(now func() time.Duration, ping func(ctx context.Context, address string) error, events Events) *Liveness {
	return &Liveness{now: now, ping: ping, events: events, closed: make(chan struct{}), peers: map[string]*peerState{}}
}

// Close stops pinging unresponsive nodes.
func (l *Liveness) Close() { close(l.closed) }

// An unresponsive node is pinged often enough to remain suspected between two pings. After
// maxRecoveryPings the pings stop, and client requests probe the node.
const (
	RecoveryPingInterval = 250 * time.Millisecond
	maxRecoveryPings     = 100
)

// StartRecovery pings an unresponsive node until it answers.
func (l *Liveness) StartRecovery(node, address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if peer := l.peer(node); !peer.recovering {
		peer.recovering = true
		go l.pingUntilRecovered(node, address)
	}
}

func (l *Liveness) pingUntilRecovered(node, address string) {
	var err error = errUnresponsive
	for tries := 0; err != nil && tries < maxRecoveryPings; tries++ {
		select {
		case <-l.closed:
			return
		case <-time.After(RecoveryPingInterval):
		}
		if err = l.pingOnce(address); err != nil {
			l.events.PingFailed(node)
		}
	}
	l.mutex.Lock()
	peer := l.peer(node)
	peer.recovering = false
	if err == nil {
		peer.lastHeard = l.now()
	}
	l.mutex.Unlock()
	if err == nil {
		l.events.Recovered(node)
	}
}

func (l *Liveness) pingOnce(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), PingTimeout)
	defer cancel()
	return l.ping(ctx, address)
}

// Watch starts observing a request; End must be called when it finishes. abort ends the request if the
// node becomes unresponsive; it is nil for a request that cannot be sent elsewhere.
func (l *Liveness) Watch(node, address string, abort *Abort) *watch {
	w := &watch{liveness: l, node: node, address: address, abort: abort}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peer(node).watches[w] = true
	w.timer = time.AfterFunc(silenceThreshold, w.checkSilence)
	return w
}

func (l *Liveness) peer(node string) *peerState {
	peer := l.peers[node]
	if peer == nil {
		peer = &peerState{lastHeard: -time.Hour, watches: map[*watch]bool{}}
		l.peers[node] = peer
	}
	return peer
}

// End stops observing the request. responded reports that the node sent a reply.
func (w *watch) End(responded bool) {
	w.timer.Stop()
	l := w.liveness
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peer(w.node)
	delete(peer.watches, w)
	if responded {
		peer.lastHeard = l.now()
	}
}

// checkSilence starts a probe unless the node was heard from recently.
func (w *watch) checkSilence() {
	l := w.liveness
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peer(w.node)
	if !peer.watches[w] {
		return
	}
	silence := l.now() - peer.lastHeard
	if silence < silenceThreshold {
		w.timer.Reset(silenceThreshold - silence + time.Millisecond)
		return
	}
	w.timer.Reset(silenceThreshold + PingTimeout)
	if !peer.probing {
		peer.probing = true
		go l.probe(w.node, w.address)
	}
}

// probe sends two pings, so that a single lost packet does not mark the node as unresponsive.
func (l *Liveness) probe(node, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), PingTimeout)
	defer cancel()
	results := make(chan error, 2)
	ping := func() { results <- l.ping(ctx, address) }
	go ping()
	second := time.AfterFunc(secondPingDelay, ping)
	defer second.Stop()
	err := <-results
	if err != nil && ctx.Err() == nil {
		err = <-results
	}
	l.mutex.Lock()
	peer := l.peer(node)
	peer.probing = false
	if err == nil {
		peer.lastHeard = l.now()
		l.mutex.Unlock()
		return
	}
	watches := make([]*watch, 0, len(peer.watches))
	for w := range peer.watches {
		watches = append(watches, w)
	}
	l.mutex.Unlock()
	l.events.Unresponsive(node)
	l.StartRecovery(node, address)
	for _, w := range watches {
		if w.abort != nil {
			w.abort.Do()
		}
	}
}

// Unresponsive reports whether a node is considered unresponsive.
func (l *Liveness) Unresponsive(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peers[node]
	return peer != nil && peer.recovering
}

// InFlight returns the addresses of the nodes with requests in flight, by node.
func (l *Liveness) InFlight() map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	addresses := map[string]string{}
	for node, peer := range l.peers {
		for w := range peer.watches {
			addresses[node] = w.address
			break
		}
	}
	return addresses
}

// Identify requests a node's identity and whether it is connected to the store.
func (c *Client) Identify(ctx context.Context, address string) (*wire.Pong, error) {
	response, err := c.ping(ctx, address)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return wire.PongCodec.DecodeHeader(response.Header.Get(wire.HeaderSidecarPong))
}

// PingPeer checks that a node responds.
func (c *Client) PingPeer(ctx context.Context, address string) error {
	response, err := c.ping(ctx, address)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *Client) ping(ctx context.Context, address string) (*http.Response, error) {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: PingPath}, Host: address, Header: http.Header{}}
	return c.roundTrip(request.WithContext(ctx))
}
