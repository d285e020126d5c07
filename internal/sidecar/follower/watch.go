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

const (
	watchTimeout = 25 * time.Second
	// The delay after a failed call is retryMinDelay plus a random part of retryJitter. It has to
	// be short enough to detect a recovered store well within two seconds.
	retryMinDelay = 400 * time.Millisecond
	retryJitter   = 300 * time.Millisecond
	// recordWatchInterval and configurationWatchInterval are the minimum times between an event
	// and the next watch call.
	recordWatchInterval        = time.Second
	configurationWatchInterval = 100 * time.Millisecond
)

// followRecords watches the records of all nodes and the other items below RecordPrefix.
func (f *Follower) followRecords(ctx context.Context) {
	prefix := f.options.NodePrefix
	m := f.options.Members
	f.followPrefix(ctx, f.options.RecordPrefix, recordWatchInterval, func(items []store.Item, snapshot bool, revision int64) {
		f.options.ApplyStored(items, snapshot, revision)
		seen := map[string]bool{}
		for _, item := range items {
			name, found := strings.CutPrefix(item.Key, prefix)
			if !found {
				continue
			}
			seen[name] = true
			if item.Deleted {
				f.recordMissing(name)
				continue
			}
			if record, err := wire.NodeRecordCodec.Decode(item.Value); err == nil {
				f.recordFound(record)
			}
		}
		if snapshot {
			m.MarkStoreListed()
			for _, name := range append(m.PeerNames(), f.options.Settings().Node) {
				if !seen[name] {
					f.recordMissing(name)
				}
			}
		}
		m.Apply()
	})
}

// recordFound handles a node record read from the store.
func (f *Follower) recordFound(record *wire.NodeRecord) {
	f.mutex.Lock()
	f.lapses.RecordRestored(record.Node)
	delete(f.removed, record.Node)
	f.mutex.Unlock()
	f.options.Members.MergeStored(record)
}

// recordMissing handles a node without a record in the store. A missing record of the local node
// is rewritten.
func (f *Follower) recordMissing(name string) {
	if name == f.options.Settings().Node {
		f.options.OnRecordLost()
		return
	}
	record := f.options.Members.Record(name)
	if record == nil {
		return
	}
	f.options.Members.LogChange(record, "lapsed", configuration.SourceStore)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lapses.RecordMissing(f.options.Now(), name)
}

// followPrefix lists all items below prefix and then watches it. It lists them again if the store
// has compacted the revision to watch from.
//
// interval is the minimum time between an event and the next watch call, so that one call fetches
// successive events together. handle is called with all items if snapshot is set, otherwise with
// the changed ones.
func (f *Follower) followPrefix(ctx context.Context, prefix string, interval time.Duration, handle func(items []store.Item, snapshot bool, revision int64)) {
	current := int64(-1) // last revision seen; -1 if the items have to be listed
	for ctx.Err() == nil {
		if current < 0 {
			callCtx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
			items, revision, err := f.options.Store.List(callCtx, prefix)
			cancel()
			if ctx.Err() != nil {
				return
			}
			f.options.Health.Record("read", err)
			f.noteCall(prefix, err == nil)
			if err != nil {
				wait.Sleep(ctx, retryMinDelay+time.Duration(rand.Int64N(int64(retryJitter))))
				continue
			}
			current = revision
			handle(items, true, current)
		}
		events, revision, err := f.options.Store.Watch(ctx, prefix, current, watchTimeout)
		if ctx.Err() != nil {
			return
		}
		f.options.Health.Record("watch", err)
		f.noteCall(prefix, err == nil || errors.Is(err, store.ErrCompacted))
		switch {
		case errors.Is(err, store.ErrCompacted):
			current = -1
		case err != nil:
			wait.Sleep(ctx, retryMinDelay+time.Duration(rand.Int64N(int64(retryJitter))))
		default:
			current = max(current, revision)
			handle(events, false, current)
			if len(events) > 0 {
				wait.Sleep(ctx, max(interval, f.rateLimitInterval()))
			}
		}
	}
}

// watchRateShare is the fraction of the store's read rate limit that each of the two watches may
// use under continuous changes, summed over the followers of all zones.
const watchRateShare = 0.4

// rateLimitInterval returns the minimum time between two calls of a watch that keeps the followers
// of all zones within watchRateShare. It returns 0 if the rate limit is unknown.
func (f *Follower) rateLimitInterval() time.Duration {
	rate := watchRateShare * f.options.Settings().Store.ReadsPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(f.options.Members.ZoneCount()) / rate * float64(time.Second))
}

// followConfiguration watches the configuration and broadcasts its version to all nodes when it
// changes.
func (f *Follower) followConfiguration(ctx context.Context) {
	key := f.options.ConfigurationKey
	f.followPrefix(ctx, key, configurationWatchInterval, func(items []store.Item, _ bool, _ int64) {
		before := f.options.Version()
		for _, item := range items {
			if item.Key == key && !item.Deleted {
				_, _ = f.options.InstallStored(&item) // InstallStored logs errors
			}
		}
		if f.options.Version() > before {
			f.options.SendAll(&wire.Broadcast{})
		}
	})
}
