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
	exchangeEvery   = time.Second
	exchangeTimeout = 500 * time.Millisecond
)

// ExchangePath takes what another node knows.
const ExchangePath = "/exchange"

// Exchanger has the nodes tell each other what they know of members and
// configuration, so that one that the store refuses goes on with what the others
// know, and one that comes back with nothing is told by those who knew it. Each
// node asks one other, chosen at random, each second; records are sent only where
// digests differ, so that the traffic of a node does not grow with their number.
type Exchanger struct {
	options Options
	members *Members
	telling sync.Map // addresses of nodes that are being told everything
}

// Tell exchanges at once with a node that has shown that it knows nothing, as one
// does that came back while the store refuses it.
func (e *Exchanger) Tell(address string) {
	if _, busy := e.telling.LoadOrStore(address, true); busy {
		return
	}
	go func() {
		defer e.telling.Delete(address)
		e.With(context.Background(), address)
	}()
}

// Run exchanges until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, exchangeEvery/2+time.Duration(rand.Int64N(int64(exchangeEvery))))
		if address := e.members.AnyAddress(); address != "" {
			e.With(ctx, address)
		}
	}
}

// With exchanges with the node at an address: digests first; where they differ the
// other answers with those of its buckets, and both send the records of the
// buckets that differ.
func (e *Exchanger) With(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked, _ := e.digests()
	answer, err := e.send(ctx, address, asked)
	if err != nil {
		return
	}
	if answer.Gone {
		e.options.RecordLost()
	}
	e.take(answer)
	told, own := e.digests()
	if len(answer.Buckets) > 0 {
		told.Buckets = own[:]
		told.Records = e.members.In(own.differing(answer.Buckets))
	}
	if answer.Version < told.Version {
		told.Configuration = e.options.Configuration.Source()
	}
	if len(told.Buckets) == 0 && len(told.Configuration) == 0 {
		return
	}
	if answer, err = e.send(ctx, address, told); err == nil {
		e.take(answer)
	}
}

func (e *Exchanger) digests() (*wire.Exchange, *buckets) {
	own := e.members.Buckets()
	return &wire.Exchange{Digest: own.digest(), Version: int64(e.options.Configuration.Version()), Records: []wire.NodeRecord{}, Buckets: []int64{}, From: e.options.Settings().Node}, own
}

func (e *Exchanger) send(ctx context.Context, address string, message *wire.Exchange) (*wire.Exchange, error) {
	return peer.Ask(ctx, e.options.Peers, address, ExchangePath, wire.ExchangeCodec, message, wire.ExchangeCodec)
}

// take learns what another node told.
func (e *Exchanger) take(message *wire.Exchange) {
	e.members.LearnFromPeer(message.Records)
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
	e.take(message)
	answer, own := e.digests()
	answer.Gone = e.members.HoldsGone(message.From)
	switch {
	case message.Digest == answer.Digest:
	case len(message.Buckets) == 0:
		answer.Buckets = own[:]
	default:
		answer.Records = e.members.In(own.differing(message.Buckets))
	}
	if message.Version < answer.Version {
		answer.Configuration = e.options.Configuration.Source()
	}
	peer.WriteMessage(w, wire.ExchangeCodec, answer)
}
