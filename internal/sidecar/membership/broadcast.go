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

// BroadcastPath is the HTTP path that receives broadcasts from other nodes.
const BroadcastPath = "/news"

// recordCoalesceDelay is the window in which successive changes of the local record are coalesced
// into one broadcast.
const recordCoalesceDelay = 20 * time.Millisecond

// Broadcaster disseminates changes to other nodes: the local record, heartbeats of followers and
// the configuration version. The sender computes a distribution tree with one branch per remote
// zone, so that each message enters a zone only once.
type Broadcaster struct {
	options       Options
	members       *Members
	exchanger     *Exchanger
	sendScheduled atomic.Bool // a broadcast of the local record is pending
	fetching      atomic.Bool // a Fetch is in progress
}

// SendLocalRecord schedules a broadcast of the local record after recordCoalesceDelay. The broadcast
// contains all changes made until then.
func (b *Broadcaster) SendLocalRecord() {
	if !b.sendScheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(recordCoalesceDelay, func() {
		b.sendScheduled.Store(false)
		b.SendAll(&wire.Broadcast{Records: []wire.NodeRecord{*b.members.LocalRecord()}})
	})
}

// SendAll sends a message to the nodes of all zones. It does not block on delivery.
func (b *Broadcaster) SendAll(message *wire.Broadcast) {
	broadcast.ToZones(b.members.Addresses(), b.options.Settings().Zone, b.sendFunc(message))
}

// SendZone sends a message to the nodes of the local zone. It does not block on delivery.
func (b *Broadcaster) SendZone(message *wire.Broadcast) {
	broadcast.ToNodes(b.members.Addresses()[b.options.Settings().Zone], b.sendFunc(message))
}

// sendFunc returns a function that sends message to one node, together with the addresses that
// the node forwards it to.
func (b *Broadcaster) sendFunc(message *wire.Broadcast) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.From = b.options.Settings().Listen.Inbound
		sent.Version = int64(b.options.Configuration.Version())
		sent.Forward = forward
		return b.post(address, &sent)
	}
}

func (b *Broadcaster) post(address string, message *wire.Broadcast) error {
	data, err := wire.BroadcastCodec.Encode(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
	defer cancel()
	_, err = b.options.Peers.Post(ctx, address, BroadcastPath, data)
	return err
}

// ServeHTTP handles a broadcast from another node and forwards it along the distribution tree.
func (b *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, ok := peer.ReadMessage(w, r, wire.BroadcastCodec)
	if !ok {
		return
	}
	peer.OmitDefaultHeaders(w)
	b.receive(message)
	go b.forward(message)
}

// receive applies the records, removals and follower heartbeat of a message.
func (b *Broadcaster) receive(message *wire.Broadcast) {
	b.members.Merge(message.Records)
	b.members.applyRemovals(message.Removed)
	if !message.Heartbeat {
		return
	}
	b.options.Follower.RecordHeartbeat(message.Follower, message.StoreReachable)
	if slices.Contains(message.Missing, b.options.Settings().Node) {
		b.options.OnRecordLost()
	}
}

// forward fetches the sender's configuration if it is newer, and forwards the message. A message
// that carries nothing but an already known configuration version is not forwarded.
func (b *Broadcaster) forward(message *wire.Broadcast) {
	newer := message.Version > int64(b.options.Configuration.Version())
	if newer {
		b.Fetch(message.From)
	}
	if !newer && !message.Heartbeat && len(message.Records) == 0 && len(message.Removed) == 0 {
		return
	}
	broadcast.ToNodes(message.Forward, b.sendFunc(message))
}

// Fetch runs an exchange with the node at address to obtain its configuration. It returns
// immediately if another Fetch is in progress.
func (b *Broadcaster) Fetch(address string) {
	if !b.fetching.CompareAndSwap(false, true) {
		return
	}
	defer b.fetching.Store(false)
	b.exchanger.Sync(context.Background(), address)
}
