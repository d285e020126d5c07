package heldback

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// storedEvidence is what the store has of the evidence, as far as the node knows. The mutex of
// Control guards it.
type storedEvidence struct {
	revision     int64 // 0: no such key
	digest       uint64
	differsSince time.Duration // from when on other evidence has to last; 0: it is the same
	writing      bool
}

// Times of the writes to the store.
const (
	// saveAfter is how long evidence is gathered before it is written. If all nodes lose
	// power in this time, one end at the most is lost for a request on its way.
	saveAfter = 200 * time.Millisecond
	// saveSpread is the most by which a node waits longer than another one, so that one
	// writes and the others find it done.
	saveSpread  = 300 * time.Millisecond
	saveTimeout = 400 * time.Millisecond
)

// TakeStored adds the evidence that the store has. Evidence that cannot be read is logged and
// left alone.
func (c *Control) TakeStored(item *store.Item) {
	if item.Gone {
		c.mutex.Lock()
		c.stored.revision, c.stored.digest = 0, 0
		c.mutex.Unlock()
		return
	}
	message, err := wire.CrashesCodec.Decode(item.Value)
	if err != nil {
		c.options.Events.Add(eventlog.HeldBack{Change: "not read", Error: err.Error()}, eventlog.State)
		return
	}
	evidence := message.Known()
	c.setStored(storedEvidence{revision: item.Revision, digest: crashes.DigestOf(evidence)})
	c.add(evidence)
}

func (c *Control) setStored(stored storedEvidence) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stored.revision >= c.stored.revision {
		stored.writing = c.stored.writing
		c.stored = stored
	}
}

// Save writes the evidence that has to last to the store if the store has other evidence. The
// nodes that follow the store call it every few hundred ms; it does not wait for the write.
func (c *Control) Save(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now, s := c.options.Now(), &c.stored
	lasting := c.ledger.Lasting()
	switch {
	case crashes.DigestOf(lasting) == s.digest:
		s.differsSince = 0
	case s.differsSince == 0:
		s.differsSince = now + time.Duration(rand.Int64N(int64(saveSpread)))
	case now-s.differsSince >= saveAfter && !s.writing:
		s.writing = true
		go c.write(ctx, lasting, s.revision)
	}
}

// write writes evidence over the given revision. A conflict means that another node was first.
func (c *Control) write(ctx context.Context, lasting []crashes.Evidence, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	written, err := c.put(ctx, lasting, revision)
	if !errors.Is(err, store.ErrConflict) {
		c.options.Health.Note("crashes", err) // logged there
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stored.writing = false
	if err == nil && written > c.stored.revision {
		c.stored = storedEvidence{revision: written, digest: crashes.DigestOf(lasting)}
	}
}

func (c *Control) put(ctx context.Context, lasting []crashes.Evidence, revision int64) (int64, error) {
	value, err := wire.CrashesCodec.Encode(&wire.Crashes{Evidence: wire.CrashForms(lasting), Forward: []string{}})
	if err != nil {
		return 0, err
	}
	return c.options.Store.Put(ctx, store.Write{Key: c.options.Key, Value: value, IfRevision: &revision})
}
