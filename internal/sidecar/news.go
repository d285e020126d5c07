package sidecar

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/wire"
)

// newsPath takes what another node tells at once.
const newsPath = "/news"

// Bounds of the spread of news.
const (
	newsFanOut  = 16 // nodes that one node tells itself
	newsTimeout = 300 * time.Millisecond
	newsTries   = 3                     // nodes of a group that are tried in turn
	newsGather  = 20 * time.Millisecond // changes in this time are told together
)

// spreader tells other nodes at once what has changed: own records, beats of
// followers, versions of the configuration. A message goes along a tree whose
// branches the sender lays out, one branch for each other zone, so that a change
// crosses to a zone once. What a lost message leaves out is mended by the exchange.
type spreader struct {
	node    *Node
	telling atomic.Bool // the own record is about to be told
	pulling atomic.Bool // a configuration is being asked for
}

// TellOwn tells all nodes the own record, with the changes of the next moment.
func (s *spreader) TellOwn() {
	if !s.telling.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(newsGather, func() {
		s.telling.Store(false)
		s.TellAll(&wire.News{Records: []wire.NodeRecord{*s.node.membership.Own()}})
	})
}

// TellAll tells the nodes of all zones.
func (s *spreader) TellAll(message *wire.News) {
	for zone, addresses := range s.node.membership.Addresses() {
		if zone == s.node.settings().Zone {
			s.spread(message, addresses)
			continue
		}
		go s.send(message, addresses)
	}
}

// TellZone tells the nodes of the own zone.
func (s *spreader) TellZone(message *wire.News) {
	s.spread(message, s.node.membership.Addresses()[s.node.settings().Zone])
}

// spread sends a message to some nodes, which pass it on to the others.
func (s *spreader) spread(message *wire.News, addresses []string) {
	for _, branch := range branches(addresses) {
		go s.send(message, branch)
	}
}

// branches divides nodes among the branches of a tree.
func branches(addresses []string) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	size := (len(addresses) + newsFanOut - 1) / newsFanOut
	return slices.Collect(slices.Chunk(addresses, size))
}

// toFirst sends to the first node of a branch that takes it, and leaves the others to it.
func toFirst(branch []string, send func(address string, others []string) error) {
	for tries := 0; tries < newsTries && len(branch) > 0; tries++ {
		if send(branch[0], branch[1:]) == nil {
			return
		}
		branch = branch[1:]
	}
}

// send sends a message along a branch.
func (s *spreader) send(message *wire.News, branch []string) {
	sent := *message
	sent.From = s.node.settings().Listen.Inbound
	sent.Version = int64(s.node.configuration.Version())
	toFirst(branch, func(address string, others []string) error {
		sent.Forward = others
		return s.post(address, &sent)
	})
}

func (s *spreader) post(address string, message *wire.News) error {
	data, err := wire.NewsCodec.Encode(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	_, err = s.node.peers.Post(ctx, address, newsPath, data)
	return err
}

// ServeHTTP takes news of another node and passes them on.
func (s *spreader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.NewsCodec)
	if !read {
		return
	}
	peer.BareAnswer(w)
	s.take(message)
	go s.passOn(message)
}

// take learns what news tell.
func (s *spreader) take(message *wire.News) {
	m := s.node.membership
	m.LearnFromPeer(message.Records)
	m.ForgetGone(message.Gone)
	if !message.Beat {
		return
	}
	s.node.follower.Heard(message.Follower, message.Well)
	if slices.Contains(message.Missing, s.node.settings().Node) {
		s.node.registration.Lost()
	}
}

// passOn fetches a configuration that the sender has and passes the message on.
// One that only names a configuration known here goes no further.
func (s *spreader) passOn(message *wire.News) {
	newer := message.Version > int64(s.node.configuration.Version())
	if newer {
		s.Fetch(message.From)
	}
	if !newer && !message.Beat && len(message.Records) == 0 && len(message.Gone) == 0 {
		return
	}
	s.spread(message, message.Forward)
}

// Fetch asks a node for its configuration, unless another one is being asked.
func (s *spreader) Fetch(address string) {
	if !s.pulling.CompareAndSwap(false, true) {
		return
	}
	defer s.pulling.Store(false)
	s.node.exchanger.With(context.Background(), address)
}
