// Package membership maintains a node's view of all nodes of the site, including itself.
//
// It keeps one versioned record per node and a tombstone for each removed node. Changes are
// broadcast to all nodes. A periodic anti-entropy exchange with a random node compares digests
// and repairs what lost broadcasts left out. Both also carry the configuration version, so that
// a node that cannot reach the store obtains new configurations from other nodes.
//
// Changes of the records are reported to Routing and Follower. The package does not read the
// store itself: its callers pass in the records that the store holds and remove those that it
// has lost. All types are safe for concurrent use.
package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/wire"
)

// Members holds the records of all nodes. The local record is built on demand; the records of
// other nodes are received from them or read from the store.
type Members struct {
	options     Options
	broadcaster *Broadcaster

	mutex       sync.Mutex
	records     map[string]*wire.NodeRecord // other nodes by name
	digestCache *buckets                    // of records; nil after a change
	tombstones  map[string]*wire.NodeRecord // last known records of removed nodes, by name
	sequence    int64                       // of the local record; incremented with each change
	started     int64                       // wall clock at process start, in ms; orders incarnations
	storeListed bool                        // all records of the store have been read once
}

// New returns the Members of a node that knows no other node yet, with its Exchanger and
// Broadcaster.
func New(options Options) (*Members, *Exchanger, *Broadcaster) {
	m := &Members{options: options, records: map[string]*wire.NodeRecord{}, tombstones: map[string]*wire.NodeRecord{}, started: time.Now().UnixMilli()}
	e := &Exchanger{options: options, members: m}
	m.broadcaster = &Broadcaster{options: options, members: m, exchanger: e}
	return m, e, m.broadcaster
}

// AnnounceLocalRecord increments the sequence number of the local record, applies the change
// locally and broadcasts the record.
func (m *Members) AnnounceLocalRecord() {
	m.mutex.Lock()
	m.sequence++
	m.mutex.Unlock()
	m.Apply()
	m.broadcaster.SendLocalRecord()
}

// LocalRecord returns the current record of this node.
func (m *Members) LocalRecord() *wire.NodeRecord {
	report, coldUntil := m.options.Target()
	settings := m.options.Settings()
	record := &wire.NodeRecord{
		Node: settings.Node, Incarnation: m.options.Incarnation,
		Address: settings.Listen.Inbound, Zone: settings.Zone, Service: report.Service, Instance: report.Instance, Slots: report.Slots,
		Serving:         report.Instance != "" && !report.Draining && !m.options.Draining(),
		WarmupRemaining: max(coldUntil-m.options.Now(), 0).Milliseconds(),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record.Sequence, record.Started = m.sequence, m.started
	return record
}

// isNewer reports whether record replaces known. known may be nil.
func isNewer(record, known *wire.NodeRecord) bool {
	if known == nil {
		return true
	}
	if record.Incarnation != known.Incarnation {
		return record.Started > known.Started
	}
	return record.Sequence > known.Sequence
}

// add stores a record received from a node if it is newer than the known one, and reports whether
// it was stored.
func (m *Members) add(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	newer := isNewer(record, m.records[record.Node])
	if newer {
		m.records[record.Node] = record
		m.digestCache = nil
	}
	m.mutex.Unlock()
	if newer {
		m.LogChange(record, "learned", configuration.SourcePeer)
	}
	return newer
}

// LogChange logs a change to the record of another node. Changes of the local record are ignored.
func (m *Members) LogChange(record *wire.NodeRecord, change, source string) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.options.Events.Add(eventlog.Member{
		Member: record.Node, Change: change, Incarnation: record.Incarnation, Service: record.Service, Instance: record.Instance,
		Serving: record.Serving, Source: source,
	}, eventlog.State)
}

// Merge adds the newer ones of the records received from another node. A removed node is not
// re-added by a node that has not yet learned of the removal.
func (m *Members) Merge(records []wire.NodeRecord) {
	changed := false
	for i := range records {
		r := records[i]
		switch {
		case r.Node == m.options.Settings().Node:
			m.Supersede(&r)
		case !m.isTombstoned(&r):
			changed = m.add(&r) || changed
		}
	}
	if changed {
		m.Apply()
	}
}

// isTombstoned reports whether record, or a newer one of the same incarnation, was removed.
func (m *Members) isTombstoned(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	tombstone := m.tombstones[record.Node]
	return tombstone != nil && tombstone.Incarnation == record.Incarnation && tombstone.Sequence >= record.Sequence
}

// isRemoved reports whether the named node has been removed and not been re-added.
func (m *Members) isRemoved(node string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return node != "" && m.records[node] == nil && m.tombstones[node] != nil
}

// applyRemovals removes the nodes that a follower of the zone has removed. A node with a newer
// record is kept.
func (m *Members) applyRemovals(records []wire.NodeRecord) {
	for i := range records {
		known := m.Record(records[i].Node)
		if known == nil || isNewer(known, &records[i]) {
			continue
		}
		m.LogChange(known, "forgotten", configuration.SourcePeer)
		m.Remove(known)
	}
}

// Supersede makes the local record newer than record, which an earlier process of this node may
// have written. The wall clock orders the two, and it may have been set back in between.
func (m *Members) Supersede(record *wire.NodeRecord) {
	m.mutex.Lock()
	superseded := record.Incarnation != m.options.Incarnation && record.Started >= m.started
	if superseded {
		m.started = record.Started + 1
	}
	m.mutex.Unlock()
	if superseded {
		m.AnnounceLocalRecord()
	}
}

// Remove removes a record and keeps it as a tombstone, unless it has been replaced meanwhile.
func (m *Members) Remove(record *wire.NodeRecord) {
	m.mutex.Lock()
	if m.records[record.Node] == record {
		m.tombstones[record.Node] = record
		delete(m.records, record.Node)
		m.digestCache = nil
	}
	m.mutex.Unlock()
	m.Apply()
}

// MergeStored adds a record read from the store unless a newer one is known, and clears the node's
// tombstone. The store holds the record as of its last write; later changes are received from
// the node itself. The caller calls Apply afterwards.
func (m *Members) MergeStored(record *wire.NodeRecord) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.mutex.Lock()
	newer := isNewer(record, m.records[record.Node])
	if newer {
		m.records[record.Node] = record
		m.digestCache = nil
		delete(m.tombstones, record.Node)
	}
	m.mutex.Unlock()
	if newer {
		m.LogChange(record, "learned", configuration.SourceStore)
	}
}

// MarkStoreListed records that all records of the store have been read.
func (m *Members) MarkStoreListed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storeListed = true
}

// Record returns the record of another node, or nil if the node is unknown.
func (m *Members) Record(node string) *wire.NodeRecord {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records[node]
}

// PeerNames returns the names of all other known nodes.
func (m *Members) PeerNames() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.records))
}

// SetIncarnation updates the incarnation of a node that replied with a different one than its record
// has.
func (m *Members) SetIncarnation(node, incarnation string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil && incarnation != "" {
		changed := *record
		changed.Incarnation = incarnation
		m.records[node] = &changed
		m.digestCache = nil
	}
}

// Incarnation returns the incarnation of a node, or an empty string if the node is unknown.
func (m *Members) Incarnation(node string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil {
		return record.Incarnation
	}
	return ""
}

// RanksFirst reports whether rendezvous hashing selects this node for a key. Nodes with the same
// view of the membership agree on the selected node.
func (m *Members) RanksFirst(key []byte) bool {
	rank, _ := m.Rank(key)
	return rank == 0
}

// Rank returns the place of this node among all nodes by rendezvous hashing of a key, 0 for the first,
// and the number of nodes. Nodes with the same view of the membership agree on the order.
func (m *Members) Rank(key []byte) (rank, nodes int) {
	local := m.options.Settings().Node
	localWeight := rendezvousWeight(local, key)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	nodes = 1
	for name := range m.records {
		if name == local {
			continue
		}
		nodes++
		if rendezvousWeight(name, key) > localWeight {
			rank++
		}
	}
	return rank, nodes
}

// rendezvousWeight returns the rendezvous hashing weight of a node for a key.
func rendezvousWeight(name string, key []byte) uint64 {
	return xxhash.Sum64(append(append([]byte(nil), key...), name...))
}

// PeerCount returns the number of other known nodes.
func (m *Members) PeerCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := len(m.records)
	if m.records[m.options.Settings().Node] != nil {
		count--
	}
	return count
}

// Records returns the records of all nodes, including the local record.
func (m *Members) Records() []wire.NodeRecord {
	local := m.LocalRecord()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	records := make([]wire.NodeRecord, 0, len(m.records)+1)
	for name, record := range m.records {
		if name != local.Node {
			records = append(records, *record)
		}
	}
	return append(records, *local)
}

// digests returns the bucket digests of all records.
func (m *Members) digests() *buckets {
	local := m.LocalRecord()
	m.mutex.Lock()
	if m.digestCache == nil {
		m.digestCache = &buckets{}
		for name, record := range m.records {
			if name != local.Node {
				m.digestCache.add(record)
			}
		}
	}
	b := *m.digestCache
	m.mutex.Unlock()
	b.add(local)
	return &b
}

// recordsInBuckets returns the records of all nodes, including this node, in the wanted buckets.
func (m *Members) recordsInBuckets(wanted [digestBuckets]bool) []wire.NodeRecord {
	found := []wire.NodeRecord{}
	for _, r := range m.Records() {
		if wanted[bucketOf(r.Node)] {
			found = append(found, r)
		}
	}
	return found
}

// Apply updates Routing and Follower from the current records. A caller that merges several
// records calls it once, after the last.
func (m *Members) Apply() {
	local := m.LocalRecord()
	now := m.options.Now()
	targets := map[string][]balancer.Target{}
	others := 0
	m.mutex.Lock()
	listed := m.storeListed
	for name, record := range m.records {
		if name != local.Node {
			others++
			addTarget(targets, record, now)
		}
	}
	m.mutex.Unlock()
	addTarget(targets, local, now)
	m.options.Routing.SetTargets(targets)
	if others > 0 || listed {
		m.options.Routing.SetNodeCount(others + 1)
	}
	m.options.Follower.SetMembers(m.ZonePeers())
}

// addTarget adds the target of a node to the targets of its service, if it accepts new requests.
func addTarget(targets map[string][]balancer.Target, record *wire.NodeRecord, now time.Duration) {
	if !record.Serving || record.Instance == "" {
		return
	}
	targets[record.Service] = append(targets[record.Service], balancer.Target{
		Node: record.Node, Address: record.Address, Zone: record.Zone, Instance: record.Instance, Slots: record.Slots,
		ColdUntil: now + time.Duration(record.WarmupRemaining)*time.Millisecond,
	})
}
