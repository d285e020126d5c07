package sidecar

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// memberNode makes a node with a membership and nothing that listens.
func memberNode(name, incarnation string) *Node {
	n := &Node{configuration: configuration.New(nil, nil), clock: steadyClock{}, incarnation: incarnation, events: eventlog.New(name, io.Discard)}
	n.checked.Store(&settings.Settings{Node: name, Zone: "a"})
	n.services = newServices(name, "a", n.now, repeats.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}, true)
	n.target = &localTarget{now: n.now, roster: roster.New()}
	n.peers = peer.NewClient((&net.Dialer{}).DialContext, headers.Names{})
	n.liveness = peer.NewLiveness(n.now, n.peers.PingPeer, peer.Events{Lost: n.services.Suspect, Still: n.services.Suspect, Back: n.services.Trust})
	n.ingress = newIngress(n)
	n.registration = newRegistration(n)
	n.follower = newFollower(n)
	n.membership, n.exchanger, n.news = newMembership(n.membershipOptions())
	return n
}

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
			other.membership.learn(&first)

			// They exchange what they know.
			node.membership.LearnFromPeer(other.membership.All())
			other.membership.LearnFromPeer(node.membership.All())
			g.Expect(other.membership.Incarnation("me")).To(Equal("second"))
			before := node.membership.Own().Started
			node.membership.LearnFromPeer(other.membership.All())
			g.Expect(node.membership.Own().Started).To(Equal(before), "its own record moves nothing")
		})
	}
}
