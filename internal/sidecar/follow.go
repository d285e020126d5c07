package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the watches.
const (
	watchWait     = 25 * time.Second
	retryAtLeast  = 100 * time.Millisecond
	retryAtMost   = time.Second
	restOfRecords = 500 * time.Millisecond
)

// watch follows the records of the other nodes.
func (m *membership) watch(ctx context.Context) {
	prefix := m.node.options.NodePrefix
	follow(ctx, m.node, prefix, restOfRecords, func(items []store.Item, whole bool) {
		seen := map[string]bool{}
		for _, item := range items {
			name := strings.TrimPrefix(item.Key, prefix)
			seen[name] = true
			if item.Gone {
				m.lapsed(ctx, name)
				continue
			}
			if record, err := wire.NodeRecordCodec.Decode(item.Value); err == nil {
				m.put(record)
			}
		}
		if whole {
			m.mutex.Lock()
			m.listed = true
			m.mutex.Unlock()
			m.lapsedOthers(ctx, seen)
		}
		m.apply()
	})
}

// lapsedOthers handles the records that the store no longer has.
func (m *membership) lapsedOthers(ctx context.Context, seen map[string]bool) {
	m.mutex.Lock()
	var missing []string
	for name := range m.records {
		if !seen[name] {
			missing = append(missing, name)
		}
	}
	m.mutex.Unlock()
	for _, name := range missing {
		m.lapsed(ctx, name)
	}
}

// lapsed handles the end of a node's lease. It is a hint, no proof: while the
// node answers, its record stays. The node's own record is written anew.
func (m *membership) lapsed(ctx context.Context, name string) {
	if name == m.node.settings().Node {
		m.wakeUp()
		return
	}
	m.mutex.Lock()
	record := m.records[name]
	m.mutex.Unlock()
	if record == nil {
		return
	}
	m.note(record, "lapsed", sourceStore)
	m.node.background.Go(func() {
		for range lapsedPings {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err := m.node.peers.pingPeer(call, record.Address)
			cancel()
			if err == nil {
				m.note(record, "kept", sourcePeer)
			}
			if err == nil || ctx.Err() != nil {
				return
			}
		}
		m.note(record, "forgotten", sourcePeer)
		m.forget(record)
	})
}

// lapsedPings is how often a node whose lease is over is pinged.
const lapsedPings = 2

func (m *membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// follow reads everything below a prefix and then watches it; where the history
// is gone it reads anew.
//
// rest is the least time between an event and the next watch: events that come in
// a row are then fetched with one call. Every change wakes the watches of all
// nodes, so that the time grows with their number once the store's rate asks for it.
func follow(ctx context.Context, node *Node, prefix string, rest time.Duration, take func(items []store.Item, whole bool)) {
	at := int64(-1)
	for ctx.Err() == nil {
		if at < 0 {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			items, revision, err := node.store.List(call, prefix)
			cancel()
			node.storeResult("read", err)
			if err != nil {
				pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost/4))))
				continue
			}
			at = revision
			take(items, true)
		}
		events, revision, err := node.store.Watch(ctx, prefix, at, watchWait)
		if ctx.Err() != nil {
			return
		}
		node.storeResult("watch", err)
		switch {
		case errors.Is(err, store.ErrCompacted):
			at = -1
		case err != nil:
			pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost/4))))
		default:
			at = max(at, revision)
			take(events, false)
			if len(events) > 0 {
				pause(ctx, max(rest, node.fairRest()))
			}
		}
	}
}

// watchShare is the part of the store's rate that each of the two watches of all
// nodes together may take while changes come in a row.
const watchShare = 0.4

// fairRest is the time between two calls of a watch at which the watches of all
// nodes together keep to their share of the store's rate; 0 when the rate is not
// known.
func (n *Node) fairRest() time.Duration {
	rate := watchShare * n.settings().Store.ReadsPerSecond
	if rate <= 0 {
		return 0
	}
	nodes := float64(n.membership.others() + 1)
	return min(time.Duration(nodes/rate*float64(time.Second)), longestRest)
}

// longestRest bounds the age of what a node knows when it has many others.
const longestRest = 5 * time.Second

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
