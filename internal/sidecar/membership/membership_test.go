package membership

import (
	"io"
	"net"
	"net/http"
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

// testNode is the membership of a node that has no target and no store.
type testNode struct {
	checked     atomic.Pointer[settings.Settings]
	peers       *peer.Client
	membership  *Members
	exchanger   *Exchanger
	broadcaster *Broadcaster
	lost        chan struct{} // the store has no record of the node
}

// memberNode makes a node with a membership and nothing that listens.
func memberNode(name, incarnation string) *testNode {
	n := &testNode{peers: peer.NewClient((&net.Dialer{}).DialContext, headers.Names{}), lost: make(chan struct{}, 1)}
	n.checked.Store(&settings.Settings{Node: name, Zone: "a"})
	started := time.Now()
	n.membership, n.exchanger, n.broadcaster = New(Options{
		Settings: n.settings, Incarnation: incarnation,
		Now:        func() time.Duration { return time.Since(started) },
		Target:     func() (roster.Report, time.Duration) { return roster.Report{}, 0 },
		Leaving:    func() bool { return false },
		Silent:     func(string) bool { return false },
		RecordLost: func() { wait.Signal(n.lost) },
		Routing:    unused{}, Follower: unused{},
		Configuration: configuration.New(nil, nil), Peers: n.peers, Events: eventlog.New(name, io.Discard),
	})
	return n
}

func (n *testNode) settings() *settings.Settings { return n.checked.Load() }

// inbound serves what other nodes send.
func (n *testNode) inbound() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+ExchangePath, n.exchanger)
	mux.Handle("POST "+BroadcastPath, n.broadcaster)
	return mux
}

// unused is a routing and a follower that these tests do not look at.
type unused struct{}

// Update implements Routing.
func (unused) Update(map[string][]balancer.Target) {}

// Count implements Routing.
func (unused) Count(int) {}

// SetMembers implements Follower.
func (unused) SetMembers([]string) {}

// Heard implements Follower.
func (unused) Heard(string, bool) {}

// A clock that was set back makes a process look older than the one before it on
// the same node. Others that the store does not tell would never take its record.
// Found by reading (clock_step with a restart while the store refuses the node).
func TestRecordOfARestartedNodeGoesBeforeTheOldOne(t *testing.T) {
	for _, tc := range []struct {
		name string
		step time.Duration // of the clock between the two lives
	}{
		{"clock goes on", time.Second},
		{"clock stands", 0},
		{"clock set back", -2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			other := memberNode("other", "o")
			node := memberNode("me", "second")
			first := wire.NodeRecord{Node: "me", Incarnation: "first", Sequence: 9, Started: node.membership.Own().Started - tc.step.Milliseconds()}
			other.membership.add(&first)

			// They exchange what they know.
			node.membership.Merge(other.membership.All())
			other.membership.Merge(node.membership.All())
			g.Expect(other.membership.Incarnation("me")).To(Equal("second"))
			before := node.membership.Own().Started
			node.membership.Merge(other.membership.All())
			g.Expect(node.membership.Own().Started).To(Equal(before), "its own record moves nothing")
		})
	}
}
