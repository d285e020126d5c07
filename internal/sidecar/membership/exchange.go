package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 500 * time.Millisecond
)

// ExchangePath is the HTTP path that serves exchanges with other nodes.
const ExchangePath = "/exchange"

// Exchanger runs the anti-entropy protocol for records and the configuration. It keeps nodes
// up to date that cannot reach the store, and restores the state of nodes that restarted empty.
// Each node contacts one random node per second on average. Records are sent only for buckets
// with differing digests, so that steady-state traffic does not grow with the number of nodes.
type Exchanger struct {
	options  Options
	members  *Members
	inFlight sync.Map // set of addresses with a running exchange of SyncInBackground
}

// SyncInBackground starts an exchange with the node at address in the background, unless an earlier
// call for the same address is still running. Callers use it for nodes that appear to have lost
// their state, such as nodes that restarted while the store is unreachable.
func (e *Exchanger) SyncInBackground(address string) {
	if _, loaded := e.inFlight.LoadOrStore(address, true); loaded {
		return
	}
	go func() {
		defer e.inFlight.Delete(address)
		e.Sync(context.Background(), address)
	}()
}

// Run exchanges with random nodes at randomized intervals until ctx is done.
func (e *Exchanger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, exchangeInterval/2+time.Duration(rand.Int64N(int64(exchangeInterval))))
		if address := e.members.RandomAddress(); address != "" {
			e.Sync(ctx, address)
		}
	}
}

// Sync runs one exchange with the node at address. The first message carries the digest of all
// records; if it differs, the other node replies with its bucket digests, and both nodes send the
// records of the differing buckets. Errors are not logged: the next exchange repairs what a lost
// message left out.
func (e *Exchanger) Sync(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request, _ := e.newMessage()
	answer, err := e.send(ctx, address, request)
	if err != nil {
		return
	}
	if answer.Removed {
		e.options.OnRecordLost()
	}
	e.receive(answer)
	reply, local := e.newMessage()
	if len(answer.Buckets) > 0 {
		reply.Buckets = local[:]
		reply.Records = e.members.recordsInBuckets(local.differing(answer.Buckets))
	}
	if answer.Version < reply.Version {
		reply.Configuration = e.options.Configuration.Source()
	}
	if len(reply.Buckets) == 0 && len(reply.Configuration) == 0 {
		return
	}
	if answer, err = e.send(ctx, address, reply); err == nil {
		e.receive(answer)
	}
}

// newMessage returns a message with the digest of all known records and the configuration
// version, and the bucket digests that the digest was computed from.
func (e *Exchanger) newMessage() (*wire.Exchange, *buckets) {
	local := e.members.digests()
	return &wire.Exchange{
		Digest: local.digest(), Version: int64(e.options.Configuration.Version()),
		Records: []wire.NodeRecord{}, Buckets: []int64{}, From: e.options.Settings().Node,
	}, local
}

func (e *Exchanger) send(ctx context.Context, address string, message *wire.Exchange) (*wire.Exchange, error) {
	return peer.RoundTrip(ctx, e.options.Peers, address, ExchangePath, wire.ExchangeCodec, message, wire.ExchangeCodec)
}

// receive applies the records and the configuration of a message.
func (e *Exchanger) receive(message *wire.Exchange) {
	e.members.Merge(message.Records)
	if len(message.Configuration) > 0 {
		_, _ = e.options.Configuration.Install(message.Configuration, configuration.SourcePeer) // Install logs errors
	}
}

// ServeHTTP answers an exchange message of another node.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, ok := peer.ReadMessage(w, r, wire.ExchangeCodec)
	if !ok {
		return
	}
	e.receive(message)
	answer, local := e.newMessage()
	answer.Removed = e.members.isRemoved(message.From)
	switch {
	case message.Digest == answer.Digest:
	case len(message.Buckets) == 0:
		answer.Buckets = local[:]
	default:
		answer.Records = e.members.recordsInBuckets(local.differing(message.Buckets))
	}
	if message.Version < answer.Version {
		answer.Configuration = e.options.Configuration.Source()
	}
	peer.WriteMessage(w, wire.ExchangeCodec, answer)
}
