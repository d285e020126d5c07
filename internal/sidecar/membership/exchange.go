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

// Times and sizes of the exchange between nodes.
const (
	exchangeInterval = time.Second
	exchangeTimeout  = 500 * time.Millisecond
)

// ExchangePath is where a node answers the exchange of another one.
const ExchangePath = "/exchange"

// Exchanger compares records and the configuration with other nodes, so that a node that the
// store does not serve has what the others have, and one that restarts without anything gets
// it from those who know it. Each node asks one other, chosen at random, each second; records
// are sent only where digests differ, so that a node's traffic does not grow with their number.
type Exchanger struct {
	options  Options
	members  *Members
	inFlight sync.Map // addresses of nodes with an exchange begun by StartWith
}

// StartWith begins an exchange with the node at an address unless one that it began there is
// still under way. It is for a node that has shown that it knows no others, as one does that
// restarted while the store does not serve it.
func (e *Exchanger) StartWith(address string) {
	if _, busy := e.inFlight.LoadOrStore(address, true); busy {
		return
	}
	go func() {
		defer e.inFlight.Delete(address)
		e.With(context.Background(), address)
	}()
}

// Run exchanges until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, exchangeInterval/2+time.Duration(rand.Int64N(int64(exchangeInterval))))
		if address := e.members.AnyAddress(); address != "" {
			e.With(ctx, address)
		}
	}
}

// With exchanges with the node at an address: digests first; if they differ the other node
// answers with those of its buckets, and both send the records of the buckets that differ. An
// error is not logged: a message that is lost is made up for by the next exchange.
func (e *Exchanger) With(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked, _ := e.newMessage()
	answer, err := e.send(ctx, address, asked)
	if err != nil {
		return
	}
	if answer.Gone {
		e.options.RecordLost()
	}
	e.receive(answer)
	reply, own := e.newMessage()
	if len(answer.Buckets) > 0 {
		reply.Buckets = own[:]
		reply.Records = e.members.recordsInBuckets(own.differing(answer.Buckets))
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

// newMessage returns a newMessage with the digest of the own records and the configuration's version,
// and the digests by bucket.
func (e *Exchanger) newMessage() (*wire.Exchange, *buckets) {
	own := e.members.digests()
	return &wire.Exchange{Digest: own.digest(), Version: int64(e.options.Configuration.Version()), Records: []wire.NodeRecord{}, Buckets: []int64{}, From: e.options.Settings().Node}, own
}

func (e *Exchanger) send(ctx context.Context, address string, message *wire.Exchange) (*wire.Exchange, error) {
	return peer.Ask(ctx, e.options.Peers, address, ExchangePath, wire.ExchangeCodec, message, wire.ExchangeCodec)
}

// receive takes over the records and the configuration of a message.
func (e *Exchanger) receive(message *wire.Exchange) {
	e.members.Merge(message.Records)
	if len(message.Configuration) > 0 {
		_, _ = e.options.Configuration.Install(message.Configuration, configuration.FromPeer) // an error is logged where it occurs
	}
}

// ServeHTTP answers the message of another node.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.ExchangeCodec)
	if !read {
		return
	}
	e.receive(message)
	answer, own := e.newMessage()
	answer.Gone = e.members.isRemoved(message.From)
	switch {
	case message.Digest == answer.Digest:
	case len(message.Buckets) == 0:
		answer.Buckets = own[:]
	default:
		answer.Records = e.members.recordsInBuckets(own.differing(message.Buckets))
	}
	if message.Version < answer.Version {
		answer.Configuration = e.options.Configuration.Source()
	}
	peer.WriteMessage(w, wire.ExchangeCodec, answer)
}
