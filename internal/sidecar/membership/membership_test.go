package membership

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// testNode is the membership of a node without target and store.
type testNode struct {
	current     atomic.Pointer[settings.Settings]
	peers       *peer.Client
	membership  *Members
	exchanger   *Exchanger
	broadcaster *Broadcaster
	dependents  *fakeDependents
	recordLost  chan struct{} // signaled by Options.OnRecordLost
}

// newTestNode returns a node that does not serve HTTP.
func newTestNode(name, incarnation string) *testNode {
	n := &testNode{peers: peer.NewClient((&net.Dialer{}).DialContext, headers.Names{}), dependents: &fakeDependents{}, recordLost: make(chan struct{}, 1)}
	n.current.Store(&settings.Settings{Node: name, Zone: "a"})
	started := time.Now()
	n.membership, n.exchanger, n.broadcaster = New(Options{
		Settings: n.settings, Incarnation: incarnation,
		Now:          func() time.Duration { return time.Since(started) },
		Target:       func() (roster.Report, time.Duration) { return roster.Report{}, 0 },
		Draining:     func() bool { return false },
		Unresponsive: func(string) bool { return false },
		OnRecordLost: func() { wait.Notify(n.recordLost) },
		Routing:      n.dependents, Follower: n.dependents,
		Configuration: configuration.New(nil, nil), Peers: n.peers, Events: eventlog.New(name, io.Discard),
	})
	return n
}

func (n *testNode) settings() *settings.Settings { return n.current.Load() }

// inbound returns the handler for messages from other nodes.
func (n *testNode) inbound() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+ExchangePath, n.exchanger)
	mux.Handle("POST "+BroadcastPath, n.broadcaster)
	return mux
}

// fakeDependents implements Routing and Follower and records their calls.
type fakeDependents struct {
	mutex      sync.Mutex
	targets    map[string][]balancer.Target
	nodeCount  int
	zonePeers  []string
	heartbeats []string
}

// SetTargets implements Routing.
func (d *fakeDependents) SetTargets(targets map[string][]balancer.Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.targets = targets
}

// SetNodeCount implements Routing.
func (d *fakeDependents) SetNodeCount(nodes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodeCount = nodes
}

// SetMembers implements Follower.
func (d *fakeDependents) SetMembers(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.zonePeers = names
}

// RecordHeartbeat implements Follower.
func (d *fakeDependents) RecordHeartbeat(name string, _ bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heartbeats = append(d.heartbeats, name)
}

// targetNodes returns the nodes that have a target of a service.
func (d *fakeDependents) targetNodes(service string) (names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, target := range d.targets[service] {
		names = append(names, target.Node)
	}
	return names
}

func TestRecordsUpdateRoutingAndElection(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode("me", "i")
	n.membership.Apply()
	g.Expect(n.dependents.nodeCount).To(BeZero(), "the number of nodes is unknown until another node or the store reports it")
	records := []wire.NodeRecord{
		{Node: "serving", Incarnation: "1", Zone: "a", Service: "s", Instance: "x", Serving: true},
		{Node: "draining", Incarnation: "2", Zone: "a", Service: "s", Instance: "y"},
		{Node: "alone", Incarnation: "3", Zone: "a", Service: "s", Serving: true},
		{Node: "far", Incarnation: "4", Zone: "b", Service: "s", Instance: "z", Serving: true, Sequence: 1},
	}
	n.membership.Merge(records)
	g.Expect(n.dependents.targetNodes("s")).To(ConsistOf("serving", "far"))
	g.Expect(n.dependents.nodeCount).To(Equal(5))
	g.Expect(n.dependents.zonePeers).To(ConsistOf("serving", "draining", "alone"))

	older := records[3]
	older.Sequence, older.Serving = 0, false
	n.membership.Merge([]wire.NodeRecord{older})
	g.Expect(n.dependents.targetNodes("s")).To(ConsistOf("serving", "far"), "an older record is ignored")

	n.membership.applyRemovals(records[3:])
	n.membership.Merge(records)
	g.Expect(n.dependents.targetNodes("s")).To(ConsistOf("serving"), "a removed node is not re-added by other nodes")
	g.Expect(n.dependents.nodeCount).To(Equal(4))
	n.membership.MergeStored(&records[3])
	n.membership.Apply()
	g.Expect(n.dependents.targetNodes("s")).To(ConsistOf("serving", "far"), "a record in the store re-adds a removed node")
}

func TestFollowerHeartbeatsAreDelivered(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode("me", "i")
	n.broadcaster.receive(&wire.Broadcast{Follower: "none"})
	n.broadcaster.receive(&wire.Broadcast{Heartbeat: true, Follower: "f", Missing: []string{"another"}})
	g.Expect(n.recordLost).NotTo(Receive())
	n.broadcaster.receive(&wire.Broadcast{Heartbeat: true, Follower: "f", Missing: []string{"another", "me"}})
	g.Expect(n.recordLost).To(Receive())
	g.Expect(n.dependents.heartbeats).To(Equal([]string{"f", "f"}))
}

// Guards against peers ignoring the record of a restarted node whose wall clock was set back.
func TestRestartedNodeSupersedesOldRecord(t *testing.T) {
	for _, tc := range []struct {
		name string
		step time.Duration // of the wall clock between the two processes
	}{
		{"clock advances", time.Second},
		{"clock unchanged", 0},
		{"clock set back", -2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			other := newTestNode("other", "o")
			node := newTestNode("me", "second")
			first := wire.NodeRecord{Node: "me", Incarnation: "first", Sequence: 9, Started: node.membership.LocalRecord().Started - tc.step.Milliseconds()}
			other.membership.add(&first)

			node.membership.Merge(other.membership.Records())
			other.membership.Merge(node.membership.Records())
			g.Expect(other.membership.Incarnation("me")).To(Equal("second"))
			before := node.membership.LocalRecord().Started
			node.membership.Merge(other.membership.Records())
			g.Expect(node.membership.LocalRecord().Started).To(Equal(before), "a record of the same incarnation is not superseded")
		})
	}
}
