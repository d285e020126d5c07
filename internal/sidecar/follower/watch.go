package follower

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the watches.
const (
	watchWait = 25 * time.Second
	// retryLeast and retrySpread are the pause after a call that failed: short
	// enough for the store's return to be seen well within two seconds.
	retryLeast    = 400 * time.Millisecond
	retrySpread   = 300 * time.Millisecond
	restOfRecords = time.Second
)

// followRecords follows the records of all nodes.
func (f *Follower) followRecords(ctx context.Context) {
	prefix := f.options.NodePrefix
	m := f.options.Members
	f.follow(ctx, f.options.RecordPrefix, restOfRecords, func(items []store.Item, whole bool, at int64) {
		f.options.TakeStored(items, whole, at)
		seen := map[string]bool{}
		for _, item := range items {
			name, is := strings.CutPrefix(item.Key, prefix)
			if !is {
				continue
			}
			seen[name] = true
			if item.Gone {
				f.lapsed(name)
				continue
			}
			if record, err := wire.NodeRecordCodec.Decode(item.Value); err == nil {
				f.present(record)
			}
		}
		if whole {
			m.MarkStoreListed()
			for _, name := range append(m.PeerNames(), f.options.Settings().Node) {
				if !seen[name] {
					f.lapsed(name)
				}
			}
		}
		m.Apply()
	})
}

// present notes that the store has a node's record.
func (f *Follower) present(record *wire.NodeRecord) {
	f.mutex.Lock()
	f.lapses.Back(record.Node)
	delete(f.gone, record.Node)
	f.mutex.Unlock()
	f.options.Members.MergeStored(record)
}

// lapsed notes that the store has lost a node's record. The node's own record is
// written anew.
func (f *Follower) lapsed(name string) {
	if name == f.options.Settings().Node {
		f.options.RecordLost()
		return
	}
	record := f.options.Members.Record(name)
	if record == nil {
		return
	}
	f.options.Members.LogChange(record, "lapsed", configuration.FromStore)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lapses.Lapsed(f.options.Now(), name)
}

// follow reads everything below a prefix and then watches it; where the history
// is gone it reads anew.
//
// rest is the least time between an event and the next watch: events that come in
// a row are then fetched with one call.
func (f *Follower) follow(ctx context.Context, prefix string, rest time.Duration, take func(items []store.Item, whole bool, at int64)) {
	at := int64(-1)
	for ctx.Err() == nil {
		if at < 0 {
			call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
			items, revision, err := f.options.Store.List(call, prefix)
			cancel()
			if ctx.Err() != nil {
				return
			}
			f.options.Health.Note("read", err)
			f.hear(prefix, err == nil)
			if err != nil {
				wait.For(ctx, retryLeast+time.Duration(rand.Int64N(int64(retrySpread))))
				continue
			}
			at = revision
			take(items, true, at)
		}
		events, revision, err := f.options.Store.Watch(ctx, prefix, at, watchWait)
		if ctx.Err() != nil {
			return
		}
		f.options.Health.Note("watch", err)
		f.hear(prefix, err == nil || errors.Is(err, store.ErrCompacted))
		switch {
		case errors.Is(err, store.ErrCompacted):
			at = -1
		case err != nil:
			wait.For(ctx, retryLeast+time.Duration(rand.Int64N(int64(retrySpread))))
		default:
			at = max(at, revision)
			take(events, false, at)
			if len(events) > 0 {
				wait.For(ctx, max(rest, f.fairRest()))
			}
		}
	}
}

// watchShare is the part of the store's rate that each of the two watches of all
// followers together may take while changes come in a row.
const watchShare = 0.4

// fairRest is the time between two calls of a watch at which one follower for each
// zone keeps to that share; 0 when the rate is not known.
func (f *Follower) fairRest() time.Duration {
	rate := watchShare * f.options.Settings().Store.ReadsPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(f.options.Members.ZoneCount()) / rate * float64(time.Second))
}

// restOfConfiguration bounds the calls while configurations come in quick succession.
const restOfConfiguration = 100 * time.Millisecond

// followConfiguration follows the operators' configuration and tells all nodes of a
// new one.
func (f *Follower) followConfiguration(ctx context.Context) {
	key := f.options.ConfigurationKey
	f.follow(ctx, key, restOfConfiguration, func(items []store.Item, _ bool, _ int64) {
		before := f.options.Version()
		for _, item := range items {
			if item.Key == key && !item.Gone {
				_, _ = f.options.InstallStored(&item) // an error is logged where it occurs
			}
		}
		if f.options.Version() > before {
			f.options.SendAll(&wire.News{})
		}
	})
}
