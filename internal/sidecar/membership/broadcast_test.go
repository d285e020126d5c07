package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// newConnectedNodes returns count nodes, spread over zones, that know each other and each
// have an HTTP server for messages of other nodes.
func newConnectedNodes(t *testing.T, count, zones int) []*testNode {
	t.Helper()
	nodes := make([]*testNode, count)
	records := make([]wire.NodeRecord, count)
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		n := newTestNode(name, name)
		server := httptest.NewServer(n.inbound())
		t.Cleanup(func() {
			n.peers.Transport.CloseIdleConnections()
			server.Close()
		})
		changed := *n.settings()
		changed.Zone = fmt.Sprintf("zone-%d", i%zones)
		changed.Listen.Inbound = strings.TrimPrefix(server.URL, "http://")
		n.current.Store(&changed)
		nodes[i] = n
		records[i] = *n.membership.LocalRecord()
	}
	for _, n := range nodes {
		n.membership.Merge(records)
	}
	return nodes
}

// Guards against broadcasts that miss nodes because a forwarding node is dead and not yet
// detected as such.
func TestBroadcastReachesAllNodes(t *testing.T) {
	for _, tc := range []struct {
		name               string
		nodes, zones, dead int
	}{
		{"one zone", 20, 1, 0},
		{"many in a zone", 60, 1, 0},
		{"zones", 40, 5, 0},
		{"zones with dead nodes", 40, 4, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			nodes := newConnectedNodes(t, tc.nodes, tc.zones)
			for _, n := range nodes[1 : 1+tc.dead] {
				// Connections to the address of a closed server are refused.
				closed := httptest.NewServer(http.NotFoundHandler())
				address := strings.TrimPrefix(closed.URL, "http://")
				closed.Close()
				record := *n.membership.LocalRecord()
				record.Address, record.Sequence = address, 1
				for _, other := range nodes {
					if other != n {
						other.membership.Merge([]wire.NodeRecord{record})
					}
				}
			}
			sender := nodes[0]
			sender.membership.AnnounceLocalRecord()
			want := sender.membership.LocalRecord().Sequence
			reached := func() (count int) {
				for _, n := range nodes[1+tc.dead:] {
					if known := n.membership.Record("node-0"); known != nil && known.Sequence == want {
						count++
					}
				}
				return count
			}
			g.Eventually(reached, 5*time.Second, 10*time.Millisecond).Should(Equal(tc.nodes - 1 - tc.dead))
		})
	}
}

// A removed node learns of its removal by an exchange and is re-added with its next record.
func TestRemovedNodeIsNotified(t *testing.T) {
	g := NewWithT(t)
	nodes := newConnectedNodes(t, 2, 1)
	here, there := nodes[0], nodes[1]
	there.membership.applyRemovals([]wire.NodeRecord{*here.membership.LocalRecord()})
	g.Expect(there.membership.PeerCount()).To(BeZero())
	here.exchanger.Sync(t.Context(), there.settings().Listen.Inbound)
	g.Expect(there.membership.PeerCount()).To(BeZero(), "a removed record must not be re-added")
	g.Expect(here.recordLost).To(Receive())
	here.membership.AnnounceLocalRecord()
	here.exchanger.Sync(t.Context(), there.settings().Listen.Inbound)
	g.Expect(there.membership.PeerCount()).To(Equal(1))
}
