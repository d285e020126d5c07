package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/broadcast"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// crashPath takes what another node knows of requests that targets ended with.
const crashPath = "/crashes"

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
func (h *heldBack) tell() {
	h.mutex.Lock()
	message := &wire.Crashes{Digest: int64(h.ledger.Digest()), Evidence: wire.CrashForms(h.pending)}
	h.pending, h.gathering = nil, false
	h.mutex.Unlock()
	if len(message.Evidence) == 0 {
		return
	}
	broadcast.ToZones(h.options.Nodes.Addresses(), h.options.Zone, h.sending(message))
}

// sending gives the function that sends a message to one node.
func (h *heldBack) sending(message *wire.Crashes) broadcast.Send {
	return func(address string, forward []string) error {
		sent := *message
		sent.Forward = forward
		ctx, cancel := context.WithTimeout(context.Background(), broadcast.Timeout)
		defer cancel()
		_, err := h.post(ctx, address, &sent)
		return err
	}
}

func (h *heldBack) post(ctx context.Context, address string, message *wire.Crashes) (*wire.Crashes, error) {
	data, err := wire.CrashesCodec.Encode(message)
	if err != nil {
		return nil, err
	}
	read, err := h.options.Peers.Post(ctx, address, crashPath, data)
	if err != nil || len(read) == 0 {
		return nil, err
	}
	return wire.CrashesCodec.Decode(read)
}

// ServeHTTP takes the message of another node.
func (h *heldBack) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, read := peer.ReadMessage(w, r, wire.CrashesCodec)
	if !read {
		return
	}
	h.hear(message.Known())
	if message.Asks {
		peer.WriteMessage(w, wire.CrashesCodec, h.all(message.Digest))
		return
	}
	peer.BareAnswer(w)
	w.Header().Set("Content-Length", "0")
	broadcast.ToNodes(message.Forward, h.sending(message))
}

// all gives all evidence for a node that has other evidence, none for one that has the same.
func (h *heldBack) all(digest int64) *wire.Crashes {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	message := &wire.Crashes{Digest: int64(h.ledger.Digest()), Evidence: []wire.CrashEvidence{}, Forward: []string{}}
	if message.Digest != digest {
		message.Evidence = wire.CrashForms(h.ledger.All())
	}
	return message
}

// Run compares with other nodes until ctx ends, so that one that missed a message, or came
// back with nothing, knows the rest.
func (h *heldBack) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, compareEvery/2+time.Duration(rand.Int64N(int64(compareEvery))))
		if h.empty() && h.options.Now() > compareFirst {
			continue
		}
		if address := h.options.Nodes.AnyAddress(); address != "" {
			h.Compare(ctx, address)
		}
	}
}

func (h *heldBack) empty() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.Len() == 0
}

// Compare has this node and another one know what either does.
func (h *heldBack) Compare(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	h.mutex.Lock()
	own := int64(h.ledger.Digest())
	h.mutex.Unlock()
	answer, err := h.post(ctx, address, &wire.Crashes{Digest: own, Evidence: []wire.CrashEvidence{}, Forward: []string{}, Asks: true})
	if err != nil || answer == nil || answer.Digest == own {
		return // another node is asked a second later
	}
	h.hear(answer.Known())
	if told := h.all(answer.Digest); len(told.Evidence) > 0 {
		_, _ = h.post(ctx, address, told) // the same
	}
}

// storedEvidence is what the store has of the evidence, as the node knows it. It belongs to
// the mutex of heldBack.
type storedEvidence struct {
	revision int64 // 0: no such key
	digest   uint64
	differs  time.Duration // since when it is not what should last; 0: it is
	writing  bool
}

// Times of the writes to the store, by the follower of each zone.
const (
	// keepAfter is how long evidence waits to be written together; what all nodes lose
	// power with in this time is lost, one end at the most as a request goes on its way.
	keepAfter = 200 * time.Millisecond
	// keepSpread lets one follower write before the others, which then find it done.
	keepSpread = 300 * time.Millisecond
	keepCall   = 400 * time.Millisecond
)

// TakeStored takes in what the store has.
func (h *heldBack) TakeStored(item *store.Item) {
	if item.Gone {
		h.mutex.Lock()
		h.stored.revision, h.stored.digest = 0, 0
		h.mutex.Unlock()
		return
	}
	message, err := wire.CrashesCodec.Decode(item.Value)
	if err != nil {
		h.options.Events.Add(eventlog.HeldBack{Change: "not read", Error: err.Error()}, eventlog.State)
		return
	}
	evidence := message.Known()
	h.setStored(storedEvidence{revision: item.Revision, digest: crashes.DigestOf(evidence)})
	h.learn(evidence, crashGather)
}

func (h *heldBack) setStored(stored storedEvidence) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if stored.revision >= h.stored.revision {
		stored.writing = h.stored.writing
		h.stored = stored
	}
}

// Keep writes the evidence that has to last to the store where it has other evidence. The
// followers call it again and again.
func (h *heldBack) Keep(ctx context.Context) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now, s := h.options.Now(), &h.stored
	lasting := h.ledger.Lasting()
	switch {
	case crashes.DigestOf(lasting) == s.digest:
		s.differs = 0
	case s.differs == 0:
		s.differs = now + time.Duration(rand.Int64N(int64(keepSpread)))
	case now-s.differs >= keepAfter && !s.writing:
		s.writing = true
		go h.write(ctx, lasting, s.revision)
	}
}

func (h *heldBack) write(ctx context.Context, lasting []crashes.Evidence, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, keepCall)
	defer cancel()
	written, err := h.put(ctx, lasting, revision)
	if !errors.Is(err, store.ErrConflict) {
		h.options.Health.Note("crashes", err) // logged there
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stored.writing = false
	if err == nil && written > h.stored.revision {
		h.stored = storedEvidence{revision: written, digest: crashes.DigestOf(lasting)}
	}
}

func (h *heldBack) put(ctx context.Context, lasting []crashes.Evidence, revision int64) (int64, error) {
	value, err := wire.CrashesCodec.Encode(&wire.Crashes{Evidence: wire.CrashForms(lasting), Forward: []string{}})
	if err != nil {
		return 0, err
	}
	return h.options.Store.Put(ctx, store.Write{Key: h.options.Key, Value: value, IfRevision: &revision})
}
