package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the talk with the store.
const (
	watchWait      = 25 * time.Second
	callTimeout    = time.Second
	retryAtLeast   = 100 * time.Millisecond
	retryAtMost    = time.Second
	keepShare      = 3 // a lease is renewed each third of its time
	spreadOfWrites = 300 * time.Millisecond
	restOfRecords  = 500 * time.Millisecond
)

// membership keeps the node's own record in the store and the records of the
// others up to date.
type membership struct {
	node *Node

	mutex    sync.Mutex
	records  map[string]*wire.NodeRecord // by node
	sequence int64
	wake     chan struct{} // the own record has changed
}

func newMembership(node *Node) *membership {
	return &membership{node: node, records: map[string]*wire.NodeRecord{}, wake: make(chan struct{}, 1)}
}

// changed has the own record written anew.
func (m *membership) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.apply()
}

// own gives the node's own record as it is now.
func (m *membership) own() *wire.NodeRecord {
	report, coldTill := m.node.target.report()
	settings := m.node.settings
	record := &wire.NodeRecord{
		Node: settings.Node, Incarnation: m.node.incarnation, Started: m.node.startedWall.UnixMilli(),
		Address: settings.Listen.Inbound, Zone: settings.Zone, Service: report.Service, Instance: report.Instance, Slots: report.Slots,
		Serving: report.Instance != "" && !report.Draining && !m.node.stopping.Load(),
		Cold:    max(coldTill-m.node.now(), 0).Milliseconds(),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sequence++
	record.Sequence = m.sequence
	return record
}

// newer tells whether a record goes before the one that is known.
func newer(record, known *wire.NodeRecord) bool {
	if known == nil {
		return true
	}
	if record.Incarnation != known.Incarnation {
		return record.Started > known.Started
	}
	return record.Sequence > known.Sequence
}

// learn takes in a record of another node.
func (m *membership) learn(record *wire.NodeRecord) {
	m.mutex.Lock()
	known := m.records[record.Node]
	fresh := newer(record, known)
	if fresh {
		m.records[record.Node] = record
	}
	m.mutex.Unlock()
	if fresh {
		m.apply()
	}
}

// forget drops the record of a node whose lease is over.
func (m *membership) forget(node string) {
	m.mutex.Lock()
	delete(m.records, node)
	m.mutex.Unlock()
	m.apply()
}

// apply brings the records into routing.
func (m *membership) apply() {
	targets := map[string][]balancer.Target{}
	now := m.node.now()
	add := func(record *wire.NodeRecord) {
		if !record.Serving || record.Instance == "" {
			return
		}
		targets[record.Service] = append(targets[record.Service], balancer.Target{
			Node: record.Node, Address: record.Address, Zone: record.Zone, Instance: record.Instance, Slots: record.Slots,
			Cold: now + time.Duration(record.Cold)*time.Millisecond,
		})
	}
	own := m.own()
	m.mutex.Lock()
	members := len(m.records)
	for name, record := range m.records {
		if name != own.Node {
			add(record)
		}
	}
	m.mutex.Unlock()
	add(own)
	m.node.services.update(targets, max(members, 1))
}

// run keeps the own record and its lease in the store until ctx ends.
func (m *membership) run(ctx context.Context) {
	lifetime := time.Duration(m.node.settings.Store.Lease)
	var lease store.Lease
	written := false
	pause(ctx, time.Duration(rand.Int64N(int64(spreadOfWrites))))
	for ctx.Err() == nil {
		err := m.write(ctx, &lease, written, lifetime)
		written = err == nil
		if err != nil {
			m.node.storeTrouble("record", err)
			pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost))))
			continue
		}
		if !m.keep(ctx, lease) {
			lease = store.Lease{}
		}
	}
}

// write writes the own record under a lease.
func (m *membership) write(ctx context.Context, lease *store.Lease, written bool, lifetime time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease.ID == 0 {
		granted, err := m.node.store.Grant(ctx, lifetime)
		if err != nil {
			return err
		}
		*lease = granted
	}
	value, err := wire.NodeRecordCodec.Encode(m.own())
	if err != nil {
		return err
	}
	_, err = m.node.store.Put(ctx, store.Write{Key: m.node.options.NodePrefix + m.node.settings.Node, Value: value, Lease: lease.ID})
	if errors.Is(err, store.ErrLeaseGone) {
		*lease = store.Lease{}
	}
	return err
}

// keep renews the lease until the own record changes (true) or the lease is over.
func (m *membership) keep(ctx context.Context, lease store.Lease) bool {
	timer := time.NewTicker(lease.TTL / keepShare)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-m.wake:
			return true
		case <-timer.C:
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := m.node.store.Keep(call, lease.ID)
		cancel()
		if errors.Is(err, store.ErrLeaseGone) {
			return false
		}
		if err != nil {
			m.node.storeTrouble("lease", err)
		}
	}
}

// watch follows the records of the other nodes.
func (m *membership) watch(ctx context.Context) {
	prefix := m.node.options.NodePrefix
	follow(ctx, m.node, prefix, restOfRecords, func(items []store.Item, whole bool) {
		seen := map[string]bool{}
		for _, item := range items {
			name := strings.TrimPrefix(item.Key, prefix)
			seen[name] = true
			if item.Gone {
				m.forget(name)
				continue
			}
			if record, err := wire.NodeRecordCodec.Decode(item.Value); err == nil {
				m.learn(record)
			}
		}
		if whole {
			m.forgetOthers(seen)
		}
	})
}

// forgetOthers drops the records that the store no longer has.
func (m *membership) forgetOthers(seen map[string]bool) {
	m.mutex.Lock()
	for name := range m.records {
		if !seen[name] {
			delete(m.records, name)
		}
	}
	m.mutex.Unlock()
	m.apply()
}

// follow reads everything below a prefix and then watches it; where the history
// is gone it reads anew.
//
// rest is the time between an event and the next watch: events that come in a
// row are then fetched with one call.
func follow(ctx context.Context, node *Node, prefix string, rest time.Duration, take func(items []store.Item, whole bool)) {
	at := int64(-1)
	for ctx.Err() == nil {
		if at < 0 {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			items, revision, err := node.store.List(call, prefix)
			cancel()
			if err != nil {
				node.storeTrouble("read "+prefix, err)
				pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost/4))))
				continue
			}
			at = revision
			node.storeWorks()
			take(items, true)
		}
		events, revision, err := node.store.Watch(ctx, prefix, at, watchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			at = -1
		case err != nil:
			node.storeTrouble("watch "+prefix, err)
			pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost/4))))
		default:
			at = max(at, revision)
			node.storeWorks()
			take(events, false)
			if len(events) > 0 {
				pause(ctx, rest)
			}
		}
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
