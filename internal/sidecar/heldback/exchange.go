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

// Path is where a node takes the evidence of another one.
const Path = "/crashes"

// Times of messages between nodes.
const (
	// endGather joins the runs that break off as a target ends in one broadcast; the next
	// target may end some tens of ms later.
	endGather = 5 * time.Millisecond
	// clearGather joins requests that end well after one end: dozens within half a second.
	clearGather = 200 * time.Millisecond
	// compareEvery is the mean time between two comparisons with another node.
	compareEvery = time.Second
	// compareFirst is how long after its start a node without evidence makes comparisons.
	compareFirst = 10 * time.Second
	// compareTimeout bounds a comparison, both messages of it.
	compareTimeout = 500 * time.Millisecond
)

// broadcastPending sends the evidence that was gathered to all nodes.
func (c *Control) broadcastPending() {
	c.mutex.Lock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: wire.CrashForms(c.pending)}
	c.pending, c.scheduled = nil, false
	c.mutex.Unlock()
	if len(message.Evidence) == 0 {
		return
	}
	broadcast.ToZones(c.options.Nodes.Addresses(), c.options.Zone, c.sender(message))
}

// sender returns a function that sends a message to one node.
func (c *Control) sender(message *wire.Crashes) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.Forward = forward
		ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
		defer cancel()
		_, err := c.post(ctx, address, &sent)
		return err
	}
}

// post sends a message to the node at an address and returns its answer; nil: it is empty.
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

// ServeHTTP adds the evidence of another node. It answers a comparison, and passes a broadcast on.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.CrashesCodec)
	if !read {
		return
	}
	c.receive(message.Known())
	if message.Asks {
		peer.WriteMessage(w, wire.CrashesCodec, c.differingFrom(message.Digest))
		return
	}
	peer.BareAnswer(w)
	w.Header().Set("Content-Length", "0")
	broadcast.ToNodes(message.Forward, c.sender(message))
}

// differingFrom returns all evidence for a node whose evidence has another digest than the
// own, none for one that has the same.
func (c *Control) differingFrom(digest int64) *wire.Crashes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: []wire.CrashEvidence{}, Forward: []string{}}
	if message.Digest != digest {
		message.Evidence = wire.CrashForms(c.ledger.All())
	}
	return message
}

// Run compares evidence with other nodes until ctx ends, so that a node that missed a
// broadcast, or came back without evidence, gets the rest.
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

// Compare exchanges evidence with the node at an address if the digests differ; after it both
// have the same. An error is not logged: a message that is lost is made up for by the next
// comparison, about a second later.
func (c *Control) Compare(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	c.mutex.Lock()
	own := int64(c.ledger.Digest())
	c.mutex.Unlock()
	answer, err := c.post(ctx, address, &wire.Crashes{Digest: own, Evidence: []wire.CrashEvidence{}, Forward: []string{}, Asks: true})
	if err != nil || answer == nil || answer.Digest == own {
		return
	}
	c.receive(answer.Known())
	if missing := c.differingFrom(answer.Digest); len(missing.Evidence) > 0 {
		_, _ = c.post(ctx, address, missing)
	}
}
