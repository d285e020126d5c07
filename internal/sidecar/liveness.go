package sidecar

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Times after which a node is taken for dead that has requests and says nothing.
const (
	silenceBeforePing = 150 * time.Millisecond
	pingTimeout       = 350 * time.Millisecond
	secondPingAfter   = 120 * time.Millisecond
)

// pingPath answers as soon as the node there runs.
const pingPath = "/ping"

// errSilent ends the sendings to a node that gives no sign of life.
const errSilent = errors.ConstError("node gives no sign of life")

// liveness watches the nodes that requests are at. A request that stays without
// an answer is no sign of death, since it may take long; a ping without an answer is.
type liveness struct {
	now   func() time.Duration
	ping  func(ctx context.Context, address string) error
	lost  func(node string) // called when a node is taken for dead
	mutex sync.Mutex
	peers map[string]*peerState // by node
}

type peerState struct {
	heard   time.Duration // last sign of life
	pinging bool
	waiting map[*sending]bool
}

// sending is one request at another node.
type sending struct {
	liveness *liveness
	node     string
	address  string
	abandon  context.CancelCauseFunc // nil: it is not abandoned
	timer    *time.Timer
}

func newLiveness(now func() time.Duration, ping func(ctx context.Context, address string) error, lost func(node string)) *liveness {
	return &liveness{now: now, ping: ping, lost: lost, peers: map[string]*peerState{}}
}

// begin watches a request; end must follow. abandon is called when the node is
// taken for dead; nil for a request that cannot be sent elsewhere.
func (l *liveness) begin(node, address string, abandon context.CancelCauseFunc) *sending {
	one := &sending{liveness: l, node: node, address: address, abandon: abandon}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peer(node).waiting[one] = true
	one.timer = time.AfterFunc(silenceBeforePing, one.check)
	return one
}

func (l *liveness) peer(node string) *peerState {
	peer := l.peers[node]
	if peer == nil {
		peer = &peerState{heard: -time.Hour, waiting: map[*sending]bool{}}
		l.peers[node] = peer
	}
	return peer
}

// end stops watching; heard tells that the node gave a sign of life.
func (s *sending) end(heard bool) {
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
	s.timer.Reset(silenceBeforePing + pingTimeout)
	if !peer.pinging {
		peer.pinging = true
		go l.probe(s.node, s.address)
	}
}

// probe sends two pings, so that one lost packet is not taken for a death.
func (l *liveness) probe(node, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
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
	l.lost(node)
	for _, one := range abandoned {
		if one.abandon != nil {
			one.abandon(errSilent)
		}
	}
}

// pingPeer asks a node for a sign of life.
func (p *peerClient) pingPeer(ctx context.Context, address string) error {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: pingPath}, Host: address, Header: http.Header{}}
	response, err := p.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	return response.Body.Close()
}
