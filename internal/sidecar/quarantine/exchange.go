package quarantine

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

// Path is the HTTP path of evidence sent by other nodes.
const Path = "/crashes"

// Intervals and timeouts of messages between nodes.
const (
	// crashBatchDelay collects the requests that fail when a target crashes into one broadcast.
	crashBatchDelay = 5 * time.Millisecond
	// clearBatchDelay collects requests that succeed after a crash into one broadcast.
	clearBatchDelay = 200 * time.Millisecond
	// compareInterval is the mean time between comparisons with another node.
	compareInterval = time.Second
	// startupComparePeriod is the time after its start in which a node compares even if it has no
	// evidence.
	startupComparePeriod = 10 * time.Second
	// compareTimeout bounds both messages of a comparison.
	compareTimeout = 500 * time.Millisecond
	// deliveryTimeout bounds the waits for nodes that accept a broadcast. It is a third of
	// broadcast.Timeout, so that a node that waits for those after it still acknowledges in time.
	deliveryTimeout = 100 * time.Millisecond
)

// broadcastPending sends pending changes of the evidence to all nodes and waits until they have
// accepted it.
func (c *Control) broadcastPending() {
	c.mutex.Lock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: wire.EncodeEvidence(c.pending)}
	delivered := c.delivered
	c.pending, c.scheduled, c.delivered = nil, false, nil
	c.mutex.Unlock()
	if len(message.Evidence) == 0 {
		return
	}
	<-broadcast.ToZones(c.options.Nodes.Addresses(), c.options.Zone, c.sender(message))
	close(delivered)
}

// AwaitBroadcast waits until the other nodes have accepted the evidence of the crashes recorded so
// far. A sender that hears of a crash sends the request again within a millisecond, so a node must
// not tell it before the nodes that decide on the request know of the crash. Nodes that do not
// accept it delay the caller by deliveryTimeout at most.
func (c *Control) AwaitBroadcast(ctx context.Context) {
	c.mutex.Lock()
	delivered := c.crashDelivered
	c.mutex.Unlock()
	if delivered != nil && c.options.Enabled() {
		waitFor(ctx, delivered)
	}
}

// waitFor waits until done is closed, deliveryTimeout has passed or ctx is done.
func waitFor(ctx context.Context, done <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sender returns a broadcast.Send for a message.
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

// post sends a message to the node at address. It returns nil if the answer is empty.
func (c *Control) post(ctx context.Context, address string, message *wire.Crashes) (*wire.Crashes, error) {
	data, err := wire.CrashesCodec.Encode(message)
	if err != nil {
		return nil, err
	}
	body, err := c.options.Peers.Post(ctx, address, Path, data)
	if err != nil || len(body) == 0 {
		return nil, err
	}
	return wire.CrashesCodec.Decode(body)
}

// ServeHTTP merges the evidence of another node. It answers a comparison with the evidence of
// this node, and forwards a broadcast. It acknowledges a broadcast when the nodes after it have.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, ok := peer.ReadMessage(w, r, wire.CrashesCodec)
	if !ok {
		return
	}
	c.merge(message.DecodeEvidence())
	if message.WantReply {
		peer.WriteMessage(w, wire.CrashesCodec, c.evidenceFor(message.Digest))
		return
	}
	peer.OmitDefaultHeaders(w)
	w.Header().Set("Content-Length", "0")
	waitFor(r.Context(), broadcast.ToNodes(message.Forward, c.sender(message)))
}

// evidenceFor returns a message with all evidence, or with none if the digest of the receiver's
// evidence is the same.
func (c *Control) evidenceFor(digest int64) *wire.Crashes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &wire.Crashes{Digest: int64(c.ledger.Digest()), Evidence: []wire.CrashEvidence{}, Forward: []string{}}
	if message.Digest != digest {
		message.Evidence = wire.EncodeEvidence(c.ledger.All())
	}
	return message
}

// Run periodically compares evidence with another node until ctx is done. This anti-entropy
// repairs missed broadcasts and restores the evidence of a restarted node.
func (c *Control) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, compareInterval/2+time.Duration(rand.Int64N(int64(compareInterval))))
		if c.empty() && c.options.Now() > startupComparePeriod {
			continue
		}
		if address := c.options.Nodes.RandomAddress(); address != "" {
			c.Compare(ctx, address)
		}
	}
}

func (c *Control) empty() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.Len() == 0
}

// Compare exchanges evidence with the node at address if the digests differ. Errors are ignored,
// since the next comparison repairs the difference.
func (c *Control) Compare(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	c.mutex.Lock()
	own := int64(c.ledger.Digest())
	c.mutex.Unlock()
	answer, err := c.post(ctx, address, &wire.Crashes{Digest: own, Evidence: []wire.CrashEvidence{}, Forward: []string{}, WantReply: true})
	if err != nil || answer == nil || answer.Digest == own {
		return
	}
	c.merge(answer.DecodeEvidence())
	if missing := c.evidenceFor(answer.Digest); len(missing.Evidence) > 0 {
		_, _ = c.post(ctx, address, missing)
	}
}
