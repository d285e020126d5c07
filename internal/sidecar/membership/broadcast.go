package membership

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/broadcast"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/wire"
)

// BroadcastPath takes what another node tells at once.
const BroadcastPath = "/news"

// newsGather joins changes of the own record that come shortly one after the other.
const newsGather = 20 * time.Millisecond

// Broadcaster tells other nodes at once what has changed: own records, beats of
// followers, versions of the configuration. A message goes along a tree whose
// branches the sender lays out, one branch for each other zone, so that a change
// crosses to a zone once. What a lost message leaves out is mended by the exchange.
type Broadcaster struct {
	options   Options
	members   *Members
	exchanger *Exchanger
	telling   atomic.Bool // the own record is about to be told
	pulling   atomic.Bool // a configuration is being asked for
}

// TellOwn tells all nodes the own record, with the changes of the next moment.
func (s *Broadcaster) TellOwn() {
	if !s.telling.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(newsGather, func() {
		s.telling.Store(false)
		s.TellAll(&wire.News{Records: []wire.NodeRecord{*s.members.Own()}})
	})
}

// TellAll tells the nodes of all zones.
func (s *Broadcaster) TellAll(message *wire.News) {
	broadcast.ToZones(s.members.Addresses(), s.options.Settings().Zone, s.sending(message))
}

// TellZone tells the nodes of the own zone.
func (s *Broadcaster) TellZone(message *wire.News) {
	broadcast.ToNodes(s.members.Addresses()[s.options.Settings().Zone], s.sending(message))
}

// sending gives the function that sends a message to one node.
func (s *Broadcaster) sending(message *wire.News) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.From = s.options.Settings().Listen.Inbound
		sent.Version = int64(s.options.Configuration.Version())
		sent.Forward = forward
		return s.post(address, &sent)
	}
}

func (s *Broadcaster) post(address string, message *wire.News) error {
	data, err := wire.NewsCodec.Encode(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
	defer cancel()
	_, err = s.options.Peers.Post(ctx, address, BroadcastPath, data)
	return err
}

// ServeHTTP takes news of another node and passes them on.
func (s *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.NewsCodec)
	if !read {
		return
	}
	peer.BareAnswer(w)
	s.take(message)
	go s.passOn(message)
}

// take learns what news tell.
func (s *Broadcaster) take(message *wire.News) {
	m := s.members
	m.LearnFromPeer(message.Records)
	m.ForgetGone(message.Gone)
	if !message.Beat {
		return
	}
	s.options.Follower.Heard(message.Follower, message.Well)
	if slices.Contains(message.Missing, s.options.Settings().Node) {
		s.options.RecordLost()
	}
}

// passOn fetches a configuration that the sender has and passes the message on.
// One that only names a configuration known here goes no further.
func (s *Broadcaster) passOn(message *wire.News) {
	newer := message.Version > int64(s.options.Configuration.Version())
	if newer {
		s.Fetch(message.From)
	}
	if !newer && !message.Beat && len(message.Records) == 0 && len(message.Gone) == 0 {
		return
	}
	broadcast.ToNodes(message.Forward, s.sending(message))
}

// Fetch asks a node for its configuration, unless another one is being asked.
func (s *Broadcaster) Fetch(address string) {
	if !s.pulling.CompareAndSwap(false, true) {
		return
	}
	defer s.pulling.Store(false)
	s.exchanger.With(context.Background(), address)
}
