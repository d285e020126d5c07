package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
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
	dropped  map[string]*wire.NodeRecord // the last of nodes that the store has dropped
	sequence int64                       // of the own record
	wake     chan struct{}               // the own record has changed
}

func newMembership(node *Node) *membership {
	return &membership{node: node, records: map[string]*wire.NodeRecord{}, dropped: map[string]*wire.NodeRecord{}, wake: make(chan struct{}, 1)}
}

// changed has the own record written anew.
func (m *membership) changed() {
	m.mutex.Lock()
	m.sequence++
	m.mutex.Unlock()
	m.wakeUp()
	m.apply()
}

// own gives the node's own record as it is now.
func (m *membership) own() *wire.NodeRecord {
	report, coldTill := m.node.target.report()
	settings := m.node.settings()
	record := &wire.NodeRecord{
		Node: settings.Node, Incarnation: m.node.incarnation, Started: m.node.startedWall.UnixMilli(),
		Address: settings.Listen.Inbound, Zone: settings.Zone, Service: report.Service, Instance: report.Instance, Slots: report.Slots,
		Serving: report.Instance != "" && !report.Draining && !m.node.stopping.Load(),
		Cold:    max(coldTill-m.node.now(), 0).Milliseconds(),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
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
		m.note(record, "learned", sourcePeer)
		m.apply()
	}
}

// note logs a change of what is known of another node.
func (m *membership) note(record *wire.NodeRecord, change, source string) {
	if record.Node == m.node.settings().Node {
		return
	}
	m.node.events.Add(eventlog.Member{
		Member: record.Node, Change: change, Incarnation: record.Incarnation, Service: record.Service, Instance: record.Instance,
		Serving: record.Serving, Source: source,
	}, eventlog.State)
}

// learnFromPeer takes in a record that another node knows. One that the store
// has dropped is not brought back by a node that has not heard of it yet.
func (m *membership) learnFromPeer(record *wire.NodeRecord) {
	if record.Node == m.node.settings().Node {
		return
	}
	m.mutex.Lock()
	dropped := m.dropped[record.Node]
	m.mutex.Unlock()
	if dropped != nil && !newer(record, dropped) {
		return
	}
	m.learn(record)
}

// forget drops a record, unless another one has taken its place.
func (m *membership) forget(record *wire.NodeRecord) {
	m.mutex.Lock()
	if m.records[record.Node] == record {
		m.dropped[record.Node] = record
		delete(m.records, record.Node)
	}
	m.mutex.Unlock()
	m.apply()
}

// put takes in a record as the store has it; the store's order decides.
func (m *membership) put(record *wire.NodeRecord) {
	m.mutex.Lock()
	known := m.records[record.Node]
	m.records[record.Node] = record
	m.mutex.Unlock()
	if known == nil || known.Incarnation != record.Incarnation || known.Sequence != record.Sequence {
		m.note(record, "learned", sourceStore)
	}
}

// restarted notes that a node is another process than its record says.
func (m *membership) restarted(node, incarnation string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil && incarnation != "" {
		changed := *record
		changed.Incarnation = incarnation
		m.records[node] = &changed
	}
}

// incarnation gives the process that the record of a node names.
func (m *membership) incarnation(node string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil {
		return record.Incarnation
	}
	return ""
}

// others gives the number of other nodes that are known.
func (m *membership) others() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := len(m.records)
	if m.records[m.node.settings().Node] != nil {
		count--
	}
	return count
}

// anyAddress gives the address of another node, chosen at random.
func (m *membership) anyAddress() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, record := range m.records {
		if name != m.node.settings().Node {
			return record.Address // the order of a map is random
		}
	}
	return ""
}

// all gives the records of all nodes, the own one among them.
func (m *membership) all() []wire.NodeRecord {
	own := m.own()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	records := make([]wire.NodeRecord, 0, len(m.records)+1)
	for name, record := range m.records {
		if name != own.Node {
			records = append(records, *record)
		}
	}
	return append(records, *own)
}

// digest sums up the records of all nodes.
func (m *membership) digest() int64 {
	sum := recordDigest(m.own())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, record := range m.records {
		if name != m.node.settings().Node {
			sum ^= recordDigest(record)
		}
	}
	return sum
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
	lifetime := time.Duration(m.node.settings().Store.Lease)
	var lease store.Lease
	pause(ctx, time.Duration(rand.Int64N(int64(spreadOfWrites))))
	for ctx.Err() == nil {
		err := m.write(ctx, &lease, lifetime)
		m.node.storeResult("record", err)
		if err != nil {
			pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost))))
			continue
		}
		if !m.keep(ctx, lease) {
			lease = store.Lease{}
		}
	}
}

// write writes the own record under a lease.
func (m *membership) write(ctx context.Context, lease *store.Lease, lifetime time.Duration) error {
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
	_, err = m.node.store.Put(ctx, store.Write{Key: m.node.options.NodePrefix + m.node.settings().Node, Value: value, Lease: lease.ID})
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
		m.node.storeResult("lease", err)
		if errors.Is(err, store.ErrLeaseGone) {
			return false
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
				m.lapsed(ctx, name)
				continue
			}
			if record, err := wire.NodeRecordCodec.Decode(item.Value); err == nil {
				m.put(record)
			}
		}
		if whole {
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
// rest is the time between an event and the next watch: events that come in a
// row are then fetched with one call.
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
