// Package membership holds what a node knows of the nodes of the site, itself among them.
//
// It owns one record for each node, the order of the records of one node, and which nodes are
// gone. What changes is sent to all nodes by a broadcast; what a lost message leaves out is
// made up for by an exchange with a random node each second, which compares digests and sends
// the records that differ. Both also carry the version of the configuration, so that a node
// that the store does not serve gets a new one from the others.
//
// It relies on package broadcast for the tree of a broadcast, on package peer for the
// connections and on package configuration for what is in force. Routing and the election of
// followers are driven by the records through Routing and Follower; the state of the target
// and of the node's own stop comes in by Options. Records that the store has, and those that
// it has lost, are put in by whoever reads the store. All of it is safe for concurrent use.
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

// Members holds the records of all nodes: the own one, and those of the others as they or the
// store sent them.
type Members struct {
	options     Options
	broadcaster *Broadcaster

	mutex       sync.Mutex
	records     map[string]*wire.NodeRecord // by node
	tombstones  map[string]*wire.NodeRecord // the last records of nodes that are gone
	sequence    int64                       // of the own record
	started     int64                       // of the own process, ms of the wall clock; orders incarnations
	storeListed bool                        // the store has listed all records once
}

// New makes the records of a node that knows no other, their exchange and their broadcast.
func New(options Options) (*Members, *Exchanger, *Broadcaster) {
	m := &Members{options: options, records: map[string]*wire.NodeRecord{}, tombstones: map[string]*wire.NodeRecord{}, started: time.Now().UnixMilli()}
	e := &Exchanger{options: options, members: m}
	m.broadcaster = &Broadcaster{options: options, members: m, exchanger: e}
	return m, e, m.broadcaster
}

// Changed notes that the own record has changed, and sends it to all nodes.
func (m *Members) Changed() {
	m.mutex.Lock()
	m.sequence++
	m.mutex.Unlock()
	m.Apply()
	m.broadcaster.SendOwn()
}

// LocalRecord returns the node's own record as it is now.
func (m *Members) LocalRecord() *wire.NodeRecord {
	report, coldTill := m.options.Target()
	settings := m.options.Settings()
	record := &wire.NodeRecord{
		Node: settings.Node, Incarnation: m.options.Incarnation,
		Address: settings.Listen.Inbound, Zone: settings.Zone, Service: report.Service, Instance: report.Instance, Slots: report.Slots,
		Serving: report.Instance != "" && !report.Draining && !m.options.Leaving(),
		Cold:    max(coldTill-m.options.Now(), 0).Milliseconds(),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record.Sequence, record.Started = m.sequence, m.started
	return record
}

// isNewer reports whether a record replaces the one that is known; nil: none is.
func isNewer(record, known *wire.NodeRecord) bool {
	if known == nil {
		return true
	}
	if record.Incarnation != known.Incarnation {
		return record.Started > known.Started
	}
	return record.Sequence > known.Sequence
}

// add stores a record that a node sent if it is newer than the one that is known. It returns
// whether it is.
func (m *Members) add(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	fresh := isNewer(record, m.records[record.Node])
	if fresh {
		m.records[record.Node] = record
	}
	m.mutex.Unlock()
	if fresh {
		m.LogChange(record, "learned", configuration.FromPeer)
	}
	return fresh
}

// LogChange logs a change of what is known of another node.
func (m *Members) LogChange(record *wire.NodeRecord, change, source string) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.options.Events.Add(eventlog.Member{
		Member: record.Node, Change: change, Incarnation: record.Incarnation, Service: record.Service, Instance: record.Instance,
		Serving: record.Serving, Source: source,
	}, eventlog.State)
}

// Merge adds records that another node has sent. A record of a node that is gone is not
// brought back by a node that does not know yet that it is.
func (m *Members) Merge(records []wire.NodeRecord) {
	fresh := false
	for i := range records {
		r := records[i]
		switch {
		case r.Node == m.options.Settings().Node:
			m.Supersede(&r)
		case !m.isTombstoned(&r):
			fresh = m.add(&r) || fresh
		}
	}
	if fresh {
		m.Apply()
	}
}

// isTombstoned reports whether a record was dropped, or a newer one of the same process.
func (m *Members) isTombstoned(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	dropped := m.tombstones[record.Node]
	return dropped != nil && dropped.Incarnation == record.Incarnation && dropped.Sequence >= record.Sequence
}

// isRemoved reports whether a node is taken for gone.
func (m *Members) isRemoved(node string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return node != "" && m.records[node] == nil && m.tombstones[node] != nil
}

// applyRemovals drops the records of nodes that a follower of the zone takes for gone.
func (m *Members) applyRemovals(records []wire.NodeRecord) {
	for i := range records {
		known := m.Record(records[i].Node)
		if known == nil || isNewer(known, &records[i]) {
			continue
		}
		m.LogChange(known, "forgotten", configuration.FromPeer)
		m.Remove(known)
	}
}

// Supersede makes the own record newer than one of an earlier process of this node. The wall
// clock orders the two, and it may have been set back between them.
func (m *Members) Supersede(record *wire.NodeRecord) {
	m.mutex.Lock()
	later := record.Incarnation != m.options.Incarnation && record.Started >= m.started
	if later {
		m.started = record.Started + 1
	}
	m.mutex.Unlock()
	if later {
		m.Changed()
	}
}

// Remove drops a record, unless another one has taken its place.
func (m *Members) Remove(record *wire.NodeRecord) {
	m.mutex.Lock()
	if m.records[record.Node] == record {
		m.tombstones[record.Node] = record
		delete(m.records, record.Node)
	}
	m.mutex.Unlock()
	m.Apply()
}

// MergeStored stores a record that the store has, unless a newer one is known: the store has a node's
// record as it was when the node wrote it, and what changed since comes from the node itself.
func (m *Members) MergeStored(record *wire.NodeRecord) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.mutex.Lock()
	fresh := isNewer(record, m.records[record.Node])
	if fresh {
		m.records[record.Node] = record
		delete(m.tombstones, record.Node)
	}
	m.mutex.Unlock()
	if fresh {
		m.LogChange(record, "learned", configuration.FromStore)
	}
}

// MarkStoreListed notes that the store has listed all records.
func (m *Members) MarkStoreListed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storeListed = true
}

// Record returns the record of another node; nil: none is known.
func (m *Members) Record(node string) *wire.NodeRecord {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records[node]
}

// PeerNames returns the names of the other nodes that are known.
func (m *Members) PeerNames() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.records))
}

// Restarted sets the process of a node that answered as another one than its record names.
func (m *Members) Restarted(node, incarnation string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil && incarnation != "" {
		changed := *record
		changed.Incarnation = incarnation
		m.records[node] = &changed
	}
}

// Incarnation returns the process that the record of a node names; empty: none is known.
func (m *Members) Incarnation(node string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil {
		return record.Incarnation
	}
	return ""
}

// IsFirstFor reports whether this node has the highest weight of all nodes for a key. Nodes
// that know the same others agree on which one has.
func (m *Members) IsFirstFor(key []byte) bool {
	own := m.options.Settings().Node
	mine := rendezvousWeight(own, key)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name := range m.records {
		if name != own && rendezvousWeight(name, key) > mine {
			return false
		}
	}
	return true
}

// rendezvousWeight is the weight of a node in the rendezvous for a key.
func rendezvousWeight(name string, key []byte) uint64 {
	return xxhash.Sum64(append(append([]byte(nil), key...), name...))
}

// Others returns the number of other nodes that are known.
func (m *Members) Others() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := len(m.records)
	if m.records[m.options.Settings().Node] != nil {
		count--
	}
	return count
}

// All returns the records of all nodes, the own one among them.
func (m *Members) All() []wire.NodeRecord {
	own := m.LocalRecord()
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

// digests returns the digests of the records of all nodes.
func (m *Members) digests() *buckets {
	b := &buckets{}
	for _, r := range m.All() {
		b.add(&r)
	}
	return b
}

// recordsInBuckets returns the records of some buckets, the own one if it is in one of them.
func (m *Members) recordsInBuckets(wanted [digestBuckets]bool) []wire.NodeRecord {
	found := []wire.NodeRecord{}
	for _, r := range m.All() {
		if wanted[bucketOf(r.Node)] {
			found = append(found, r)
		}
	}
	return found
}

// Apply sets the targets of all services, the number of nodes and the nodes of the zone as the
// records have them. Who stores several records calls it once, after the last.
func (m *Members) Apply() {
	own := m.LocalRecord()
	now := m.options.Now()
	targets := map[string][]balancer.Target{}
	others := 0
	m.mutex.Lock()
	listed := m.storeListed
	for name, record := range m.records {
		if name != own.Node {
			others++
			addTarget(targets, record, now)
		}
	}
	m.mutex.Unlock()
	addTarget(targets, own, now)
	m.options.Routing.Update(targets)
	if others > 0 || listed {
		m.options.Routing.Count(others + 1)
	}
	m.options.Follower.SetMembers(m.ZonePeers())
}

// addTarget adds the target beside a node to those of its service if it takes new work.
func addTarget(targets map[string][]balancer.Target, record *wire.NodeRecord, now time.Duration) {
	if !record.Serving || record.Instance == "" {
		return
	}
	targets[record.Service] = append(targets[record.Service], balancer.Target{
		Node: record.Node, Address: record.Address, Zone: record.Zone, Instance: record.Instance, Slots: record.Slots,
		Cold: now + time.Duration(record.Cold)*time.Millisecond,
	})
}
