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

// BroadcastPath is where a node takes the broadcasts of others.
const BroadcastPath = "/news"

// recordCoalesceDelay joins changes of the own record that come shortly one after the other.
const recordCoalesceDelay = 20 * time.Millisecond

// Broadcaster sends to all nodes at once what has changed: the own record, the heartbeats of
// followers, the version of the configuration. A message goes along a tree that the sender
// lays out, with one branch for each other zone, so that a change crosses into a zone once.
type Broadcaster struct {
	options       Options
	members       *Members
	exchanger     *Exchanger
	sendScheduled atomic.Bool // the own record is about to be sent
	fetching      atomic.Bool // another node is being asked for its configuration
}

// SendOwn sends the own record to all nodes after a moment, with the changes until then.
func (b *Broadcaster) SendOwn() {
	if !b.sendScheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(recordCoalesceDelay, func() {
		b.sendScheduled.Store(false)
		b.SendAll(&wire.News{Records: []wire.NodeRecord{*b.members.LocalRecord()}})
	})
}

// SendAll sends a message to the nodes of all zones. It does not wait for the end.
func (b *Broadcaster) SendAll(message *wire.News) {
	broadcast.ToZones(b.members.Addresses(), b.options.Settings().Zone, b.sendFunc(message))
}

// SendZone sends a message to the nodes of the own zone. It does not wait for the end.
func (b *Broadcaster) SendZone(message *wire.News) {
	broadcast.ToNodes(b.members.Addresses()[b.options.Settings().Zone], b.sendFunc(message))
}

// sendFunc returns a function that sends a message to one node.
func (b *Broadcaster) sendFunc(message *wire.News) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.From = b.options.Settings().Listen.Inbound
		sent.Version = int64(b.options.Configuration.Version())
		sent.Forward = forward
		return b.post(address, &sent)
	}
}

func (b *Broadcaster) post(address string, message *wire.News) error {
	data, err := wire.NewsCodec.Encode(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
	defer cancel()
	_, err = b.options.Peers.Post(ctx, address, BroadcastPath, data)
	return err
}

// ServeHTTP takes over what another node sent and passes it on.
func (b *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.NewsCodec)
	if !read {
		return
	}
	peer.BareAnswer(w)
	b.receive(message)
	go b.forward(message)
}

// receive takes over the records of a message and the heartbeat of a follower.
func (b *Broadcaster) receive(message *wire.News) {
	b.members.Merge(message.Records)
	b.members.applyRemovals(message.Gone)
	if !message.Beat {
		return
	}
	b.options.Follower.Heard(message.Follower, message.Well)
	if slices.Contains(message.Missing, b.options.Settings().Node) {
		b.options.RecordLost()
	}
}

// forward fetches the configuration of the sender if it is newer, and passes the message on. A
// message that only names a version known here goes no further.
func (b *Broadcaster) forward(message *wire.News) {
	newer := message.Version > int64(b.options.Configuration.Version())
	if newer {
		b.Fetch(message.From)
	}
	if !newer && !message.Beat && len(message.Records) == 0 && len(message.Gone) == 0 {
		return
	}
	broadcast.ToNodes(message.Forward, b.sendFunc(message))
}

// Fetch asks the node at an address for its configuration, unless another one is being asked.
func (b *Broadcaster) Fetch(address string) {
	if !b.fetching.CompareAndSwap(false, true) {
		return
	}
	defer b.fetching.Store(false)
	b.exchanger.With(context.Background(), address)
}
