package quarantine

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

// storedEvidence is the last known state of the evidence in the store. Control.mutex guards it.
type storedEvidence struct {
	revision   int64 // 0 if the key does not exist
	digest     uint64
	dirtySince time.Duration // when unsaved changes were first seen, plus jitter; 0 if none
	writing    bool
}

// Delays and timeout of writes to the store.
const (
	// saveDelay is how long changes are collected before a write. Evidence that is younger is
	// lost if all nodes fail at once.
	saveDelay = 200 * time.Millisecond
	// saveJitter is the maximum random delay added to saveDelay. Usually the first node writes
	// and the others then have nothing to save.
	saveJitter  = 300 * time.Millisecond
	saveTimeout = 400 * time.Millisecond
)

// ApplyStored adds the evidence in the store. If it cannot be decoded, the error is logged and
// the item is ignored.
func (c *Control) ApplyStored(item *store.Item) {
	if item.Deleted {
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
	evidence := message.DecodeEvidence()
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

// Save starts a write of the persistent evidence if it differs from the evidence in the store. A
// node that follows the store calls it periodically. Save does not wait for the write.
func (c *Control) Save(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now, stored := c.options.Now(), &c.stored
	lasting := c.ledger.Persistent()
	switch {
	case crashes.DigestOf(lasting) == stored.digest:
		stored.dirtySince = 0
	case stored.dirtySince == 0:
		stored.dirtySince = now + time.Duration(rand.Int64N(int64(saveJitter)))
	case now-stored.dirtySince >= saveDelay && !stored.writing:
		stored.writing = true
		go c.write(ctx, lasting, stored.revision)
	}
}

// write writes evidence if the key is still at the given revision. On a conflict, another node
// has written first.
func (c *Control) write(ctx context.Context, lasting []crashes.Evidence, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	written, err := c.put(ctx, lasting, revision)
	if !errors.Is(err, store.ErrConflict) {
		c.options.Health.Record("crashes", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stored.writing = false
	if err == nil && written > c.stored.revision {
		c.stored = storedEvidence{revision: written, digest: crashes.DigestOf(lasting)}
	}
}

func (c *Control) put(ctx context.Context, lasting []crashes.Evidence, revision int64) (int64, error) {
	value, err := wire.CrashesCodec.Encode(&wire.Crashes{Evidence: wire.EncodeEvidence(lasting), Forward: []string{}})
	if err != nil {
		return 0, err
	}
	return c.options.Store.Put(ctx, store.Write{Key: c.options.Key, Value: value, IfRevision: &revision})
}
