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
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// Members holds the records of all nodes: the own one, and those of the others as
// they or the store told them.
type Members struct {
	options     Options
	broadcaster *Broadcaster

	mutex    sync.Mutex
	records  map[string]*wire.NodeRecord // by node
	dropped  map[string]*wire.NodeRecord // the last of nodes that are gone
	sequence int64                       // of the own record
	started  int64                       // of the own process, ms of the wall clock; orders incarnations
	listed   bool                        // the store has told all records once
}

// Routing chooses the targets of requests by the records.
type Routing interface {
	// Update sets the targets of every service.
	Update(targets map[string][]balancer.Target)
	// Count sets the number of nodes, this one among them.
	Count(members int)
}

// Follower elects the nodes of the zone that follow the store.
type Follower interface {
	// SetMembers sets the other nodes of the zone.
	SetMembers(names []string)
	// Heard takes in the beat of a follower; well: the store answers it.
	Heard(name string, well bool)
}

// Options are what the parts of a node bring in.
type Options struct {
	Settings      func() *settings.Settings             // in force
	Incarnation   string                                // of the node's process
	Now           func() time.Duration                  // the clock that counts suspensions
	Target        func() (roster.Report, time.Duration) // beside the node, and until when it is slow
	Leaving       func() bool                           // the node is to be sent nothing more
	Silent        func(node string) bool                // another node is taken for dead
	RecordLost    func()                                // the store has no record of this node
	Routing       Routing
	Follower      Follower
	Configuration *configuration.InForce
	Peers         *peer.Client
	Events        *eventlog.Log
}

// New makes the records of a node that knows no other, their exchange and their broadcast.
func New(options Options) (*Members, *Exchanger, *Broadcaster) {
	m := &Members{options: options, records: map[string]*wire.NodeRecord{}, dropped: map[string]*wire.NodeRecord{}, started: time.Now().UnixMilli()}
	e := &Exchanger{options: options, members: m}
	m.broadcaster = &Broadcaster{options: options, members: m, exchanger: e}
	return m, e, m.broadcaster
}

// Changed has the other nodes told of a change of the own record.
func (m *Members) Changed() {
	m.mutex.Lock()
	m.sequence++
	m.mutex.Unlock()
	m.Apply()
	m.broadcaster.TellOwn()
}

// Own gives the node's own record as it is now.
func (m *Members) Own() *wire.NodeRecord {
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

// learn takes in a record of another node; false when it is not news.
func (m *Members) learn(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	fresh := newer(record, m.records[record.Node])
	if fresh {
		m.records[record.Node] = record
	}
	m.mutex.Unlock()
	if fresh {
		m.Note(record, "learned", configuration.FromPeer)
	}
	return fresh
}

// Note logs a change of what is known of another node.
func (m *Members) Note(record *wire.NodeRecord, change, source string) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.options.Events.Add(eventlog.Member{
		Member: record.Node, Change: change, Incarnation: record.Incarnation, Service: record.Service, Instance: record.Instance,
		Serving: record.Serving, Source: source,
	}, eventlog.State)
}

// LearnFromPeer takes in records that another node knows. One that is gone is not
// brought back by a node that has not heard of it yet.
func (m *Members) LearnFromPeer(records []wire.NodeRecord) {
	fresh := false
	for i := range records {
		r := records[i]
		switch {
		case r.Node == m.options.Settings().Node:
			m.Outrank(&r)
		case !m.hasDropped(&r):
			fresh = m.learn(&r) || fresh
		}
	}
	if fresh {
		m.Apply()
	}
}

func (m *Members) hasDropped(record *wire.NodeRecord) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	dropped := m.dropped[record.Node]
	return dropped != nil && dropped.Incarnation == record.Incarnation && dropped.Sequence >= record.Sequence
}

// HoldsGone tells whether a node is taken for gone.
func (m *Members) HoldsGone(node string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return node != "" && m.records[node] == nil && m.dropped[node] != nil
}

// ForgetGone forgets nodes that a follower of the zone takes for gone.
func (m *Members) ForgetGone(records []wire.NodeRecord) {
	for i := range records {
		known := m.Record(records[i].Node)
		if known == nil || newer(known, &records[i]) {
			continue
		}
		m.Note(known, "forgotten", configuration.FromPeer)
		m.Forget(known)
	}
}

// Outrank has the own record go before one of an earlier process of this node. The
// wall clock orders the two, and it may have been set back between them.
func (m *Members) Outrank(record *wire.NodeRecord) {
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

// Forget drops a record, unless another one has taken its place.
func (m *Members) Forget(record *wire.NodeRecord) {
	m.mutex.Lock()
	if m.records[record.Node] == record {
		m.dropped[record.Node] = record
		delete(m.records, record.Node)
	}
	m.mutex.Unlock()
	m.Apply()
}

// Put takes in a record that the store has. What peers told since it was written
// goes before it.
func (m *Members) Put(record *wire.NodeRecord) {
	if record.Node == m.options.Settings().Node {
		return
	}
	m.mutex.Lock()
	fresh := newer(record, m.records[record.Node])
	if fresh {
		m.records[record.Node] = record
		delete(m.dropped, record.Node)
	}
	m.mutex.Unlock()
	if fresh {
		m.Note(record, "learned", configuration.FromStore)
	}
}

// SetListed notes that the store has told all records once.
func (m *Members) SetListed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listed = true
}

// Record gives the record of a node, nil when there is none.
func (m *Members) Record(node string) *wire.NodeRecord {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records[node]
}

// Names gives the other nodes that are known.
func (m *Members) Names() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.records))
}

// Restarted notes that a node is another process than its record says.
func (m *Members) Restarted(node, incarnation string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil && incarnation != "" {
		changed := *record
		changed.Incarnation = incarnation
		m.records[node] = &changed
	}
}

// Incarnation gives the process that the record of a node names.
func (m *Members) Incarnation(node string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if record := m.records[node]; record != nil {
		return record.Incarnation
	}
	return ""
}

// IsFirstFor tells whether the node is the one of all that are known that comes first for a
// key. All nodes that know the same others agree.
func (m *Members) IsFirstFor(key []byte) bool {
	own := m.options.Settings().Node
	mine := weightFor(own, key)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name := range m.records {
		if name != own && weightFor(name, key) > mine {
			return false
		}
	}
	return true
}

// weightFor is the weight of a node in the rendezvous for a key.
func weightFor(name string, key []byte) uint64 {
	return xxhash.Sum64(append(append([]byte(nil), key...), name...))
}

// Others gives the number of other nodes that are known.
func (m *Members) Others() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := len(m.records)
	if m.records[m.options.Settings().Node] != nil {
		count--
	}
	return count
}

// All gives the records of all nodes, the own one among them.
func (m *Members) All() []wire.NodeRecord {
	own := m.Own()
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

// Buckets sums up the records of all nodes.
func (m *Members) Buckets() *buckets {
	b := &buckets{}
	for _, r := range m.All() {
		b.add(&r)
	}
	return b
}

// In gives the records of some buckets, the own one among them.
func (m *Members) In(wanted [digestBuckets]bool) []wire.NodeRecord {
	found := []wire.NodeRecord{}
	for _, r := range m.All() {
		if wanted[bucketOf(r.Node)] {
			found = append(found, r)
		}
	}
	return found
}

// Apply brings the records into routing.
func (m *Members) Apply() {
	targets := map[string][]balancer.Target{}
	now := m.options.Now()
	add := func(record *wire.NodeRecord) {
		if !record.Serving || record.Instance == "" {
			return
		}
		targets[record.Service] = append(targets[record.Service], balancer.Target{
			Node: record.Node, Address: record.Address, Zone: record.Zone, Instance: record.Instance, Slots: record.Slots,
			Cold: now + time.Duration(record.Cold)*time.Millisecond,
		})
	}
	own := m.Own()
	m.mutex.Lock()
	others, listed := 0, m.listed
	for name, record := range m.records {
		if name != own.Node {
			others++
			add(record)
		}
	}
	m.mutex.Unlock()
	add(own)
	m.options.Routing.Update(targets)
	if others > 0 || listed {
		m.options.Routing.Count(others + 1)
	}
	m.options.Follower.SetMembers(m.ZoneMembers())
}
