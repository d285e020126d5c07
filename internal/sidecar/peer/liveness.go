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

// Times after which a node is taken for dead that has requests and says nothing.
const (
	silenceBeforePing = 150 * time.Millisecond
	PingTimeout       = 350 * time.Millisecond
	secondPingAfter   = 120 * time.Millisecond
)

// PingPath answers as soon as the node there runs.
const PingPath = "/ping"

// ErrUnresponsive ends the sendings to a node that gives no sign of life.
const ErrUnresponsive = errors.ConstError("node gives no sign of life")

// Liveness watches the nodes that requests are at. A request that stays without
// an answer is no sign of death, since it may take long; a ping without an answer is.
// A node that is taken for dead is pinged until it answers, so that requests need
// not find out.
type Liveness struct {
	now    func() time.Duration
	ping   func(ctx context.Context, address string) error
	events Events
	ended  chan struct{} // closed by close
	mutex  sync.Mutex
	peers  map[string]*peerState // by node
}

// Events are called without locks.
type Events struct {
	Lost  func(node string) // a node is taken for dead
	Still func(node string) // it still does not answer
	Back  func(node string) // it answers again
}

type peerState struct {
	heard    time.Duration // last sign of life
	pinging  bool
	reviving bool
	waiting  map[*sending]bool
}

// sending is one request at another node.
type sending struct {
	liveness *Liveness
	node     string
	address  string
	abandon  context.CancelCauseFunc // nil: it is not abandoned
	timer    *time.Timer
}

func NewLiveness(now func() time.Duration, ping func(ctx context.Context, address string) error, events Events) *Liveness {
	return &Liveness{now: now, ping: ping, events: events, ended: make(chan struct{}), peers: map[string]*peerState{}}
}

// Close ends the pings of nodes that are taken for dead.
func (l *Liveness) Close() { close(l.ended) }

// Pings of a node that is taken for dead. They come often enough that it stays
// suspect between two, and end after some time: then requests find out.
const (
	RecoveryPingInterval = 250 * time.Millisecond
	reviveTries          = 100
)

// StartRecovery pings a node that is taken for dead until it answers.
func (l *Liveness) StartRecovery(node, address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if peer := l.peer(node); !peer.reviving {
		peer.reviving = true
		go l.pingUntilBack(node, address)
	}
}

func (l *Liveness) pingUntilBack(node, address string) {
	var err error = ErrUnresponsive
	for tries := 0; err != nil && tries < reviveTries; tries++ {
		select {
		case <-l.ended:
			return
		case <-time.After(RecoveryPingInterval):
		}
		if err = l.pingOnce(address); err != nil {
			l.events.Still(node)
		}
	}
	l.mutex.Lock()
	peer := l.peer(node)
	peer.reviving = false
	if err == nil {
		peer.heard = l.now()
	}
	l.mutex.Unlock()
	if err == nil {
		l.events.Back(node)
	}
}

func (l *Liveness) pingOnce(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), PingTimeout)
	defer cancel()
	return l.ping(ctx, address)
}

// Watch watches a request; end must follow. abandon is called when the node is
// taken for dead; nil for a request that cannot be sent elsewhere.
func (l *Liveness) Watch(node, address string, abandon context.CancelCauseFunc) *sending {
	one := &sending{liveness: l, node: node, address: address, abandon: abandon}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peer(node).waiting[one] = true
	one.timer = time.AfterFunc(silenceBeforePing, one.check)
	return one
}

func (l *Liveness) peer(node string) *peerState {
	peer := l.peers[node]
	if peer == nil {
		peer = &peerState{heard: -time.Hour, waiting: map[*sending]bool{}}
		l.peers[node] = peer
	}
	return peer
}

// End stops watching; heard tells that the node gave a sign of life.
func (s *sending) End(heard bool) {
	s.timer.Stop()
	l := s.liveness
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peer(s.node)
	delete(peer.waiting, s)
	if heard {
		peer.heard = l.now()
	}
}

// check pings the node unless it was heard of lately.
func (s *sending) check() {
	l := s.liveness
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peer(s.node)
	if !peer.waiting[s] {
		return
	}
	since := l.now() - peer.heard
	if since < silenceBeforePing {
		s.timer.Reset(silenceBeforePing - since + time.Millisecond)
		return
	}
	s.timer.Reset(silenceBeforePing + PingTimeout)
	if !peer.pinging {
		peer.pinging = true
		go l.probe(s.node, s.address)
	}
}

// probe sends two pings, so that one lost packet is not taken for a death.
func (l *Liveness) probe(node, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), PingTimeout)
	defer cancel()
	answers := make(chan error, 2)
	ask := func() { answers <- l.ping(ctx, address) }
	go ask()
	second := time.AfterFunc(secondPingAfter, ask)
	defer second.Stop()
	err := <-answers
	if err != nil && ctx.Err() == nil {
		err = <-answers
	}
	l.mutex.Lock()
	peer := l.peer(node)
	peer.pinging = false
	if err == nil {
		peer.heard = l.now()
		l.mutex.Unlock()
		return
	}
	abandoned := make([]*sending, 0, len(peer.waiting))
	for one := range peer.waiting {
		abandoned = append(abandoned, one)
	}
	l.mutex.Unlock()
	l.events.Lost(node)
	l.StartRecovery(node, address)
	for _, one := range abandoned {
		if one.abandon != nil {
			one.abandon(ErrUnresponsive)
		}
	}
}

// Silent tells whether a node is taken for dead.
func (l *Liveness) Silent(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := l.peers[node]
	return peer != nil && peer.reviving
}

// Ask asks a node who it is and whether the store serves it.
func (p *Client) Ask(ctx context.Context, address string) (*wire.Pong, error) {
	response, err := p.ping(ctx, address)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return wire.PongCodec.DecodeHeader(response.Header.Get(wire.HeaderSidecarPong))
}

// PingPeer asks a node for a sign of life.
func (p *Client) PingPeer(ctx context.Context, address string) error {
	response, err := p.ping(ctx, address)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (p *Client) ping(ctx context.Context, address string) (*http.Response, error) {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: PingPath}, Host: address, Header: http.Header{}}
	return p.Transport.RoundTrip(request.WithContext(ctx))
}
