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

// storedEvidence is what the store has of the evidence, as the node knows it. It belongs to
// the mutex of Control.
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
	c.learn(evidence, crashGather)
}

func (c *Control) setStored(stored storedEvidence) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stored.revision >= c.stored.revision {
		stored.writing = c.stored.writing
		c.stored = stored
	}
}

// Keep writes the evidence that has to last to the store where it has other evidence. The
// followers call it again and again.
func (c *Control) Keep(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now, s := c.options.Now(), &c.stored
	lasting := c.ledger.Lasting()
	switch {
	case crashes.DigestOf(lasting) == s.digest:
		s.differs = 0
	case s.differs == 0:
		s.differs = now + time.Duration(rand.Int64N(int64(keepSpread)))
	case now-s.differs >= keepAfter && !s.writing:
		s.writing = true
		go c.write(ctx, lasting, s.revision)
	}
}

func (c *Control) write(ctx context.Context, lasting []crashes.Evidence, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, keepCall)
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
