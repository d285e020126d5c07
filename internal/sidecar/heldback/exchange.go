package heldback

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/broadcast"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// Path takes what another node knows of requests that targets ended with.
const Path = "/crashes"

// Times of what nodes tell each other.
const (
	// crashGather joins the runs that break off as a target ends; the next one may end
	// some tens of ms later.
	crashGather = 5 * time.Millisecond
	// clearGather joins requests that end well after one end: dozens within half a second.
	clearGather = 200 * time.Millisecond
	// compareEvery is the pause between two comparisons with another node, and compareFirst
	// how long after its start a node makes them that knows of nothing.
	compareEvery = time.Second
	compareFirst = 10 * time.Second
	// compareTimeout bounds a comparison, both messages of it.
	compareTimeout = 500 * time.Millisecond
)

// tell tells all other nodes what is news.
func (c *Control) tell() {
	c.mutex.Lock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: wire.CrashForms(c.pending)}
	c.pending, c.gathering = nil, false
	c.mutex.Unlock()
	if len(message.Evidence) == 0 {
		return
	}
	broadcast.ToZones(c.options.Nodes.Addresses(), c.options.Zone, c.sending(message))
}

// sending gives the function that sends a message to one node.
func (c *Control) sending(message *wire.Crashes) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.Forward = forward
		ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
		defer cancel()
		_, err := c.post(ctx, address, &sent)
		return err
	}
}

func (c *Control) post(ctx context.Context, address string, message *wire.Crashes) (*wire.Crashes, error) {
	data, err := wire.CrashesCodec.Encode(message)
	if err != nil {
		return nil, err
	}
	read, err := c.options.Peers.Post(ctx, address, Path, data)
	if err != nil || len(read) == 0 {
		return nil, err
	}
	return wire.CrashesCodec.Decode(read)
}

// ServeHTTP takes the message of another node.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.CrashesCodec)
	if !read {
		return
	}
	c.hear(message.Known())
	if message.Asks {
		peer.WriteMessage(w, wire.CrashesCodec, c.all(message.Digest))
		return
	}
	peer.BareAnswer(w)
	w.Header().Set("Content-Length", "0")
	broadcast.ToNodes(message.Forward, c.sending(message))
}

// all gives all evidence for a node that has other evidence, none for one that has the same.
func (c *Control) all(digest int64) *wire.Crashes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: []wire.CrashEvidence{}, Forward: []string{}}
	if message.Digest != digest {
		message.Evidence = wire.CrashForms(c.ledger.All())
	}
	return message
}

// Run compares with other nodes until ctx ends, so that one that missed a message, or came
// back with nothing, knows the rest.
func (c *Control) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, compareEvery/2+time.Duration(rand.Int64N(int64(compareEvery))))
		if c.empty() && c.options.Now() > compareFirst {
			continue
		}
		if address := c.options.Nodes.AnyAddress(); address != "" {
			c.Compare(ctx, address)
		}
	}
}

func (c *Control) empty() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.Len() == 0
}

// Compare has this node and another one know what either does.
func (c *Control) Compare(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	c.mutex.Lock()
	own := int64(c.ledger.Digest())
	c.mutex.Unlock()
	answer, err := c.post(ctx, address, &wire.Crashes{Digest: own, Evidence: []wire.CrashEvidence{}, Forward: []string{}, Asks: true})
	if err != nil || answer == nil || answer.Digest == own {
		return // another node is asked a second later
	}
	c.hear(answer.Known())
	if told := c.all(answer.Digest); len(told.Evidence) > 0 {
		_, _ = c.post(ctx, address, told) // the same
	}
}
