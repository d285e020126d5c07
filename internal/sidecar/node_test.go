package sidecar

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/follower"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/membership"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/registration"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// newTestNode returns a node with a membership and without listeners.
func newTestNode(name, incarnation string) *Node {
	n := &Node{configuration: configuration.New(nil, nil), clock: steadyClock{}, incarnation: incarnation, events: eventlog.New(name, io.Discard)}
	n.requests, n.endRequests = context.WithCancelCause(context.Background())
	n.currentSettings.Store(&settings.Settings{Node: name, Zone: "a"})
	n.services = services.New(services.Options{Node: name, Zone: "a", Now: n.now, Budget: retrybudget.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}, FirstStart: true})
	n.target = target.New(target.Options{Now: n.now})
	n.peers = peer.NewClient((&net.Dialer{}).DialContext, headers.Names{})
	n.liveness = peer.NewLiveness(n.now, n.peers.PingPeer, peer.Events{Unresponsive: n.services.Suspect, PingFailed: n.services.Suspect, Recovered: n.services.ClearSuspicion})
	n.ingress = arrival.New(n.arrivalOptions())
	n.membership, n.exchanger, n.broadcaster = membership.New(n.membershipOptions())
	n.follower = follower.New(n.followerOptions())
	n.registration = registration.New(n.registrationOptions())
	return n
}
