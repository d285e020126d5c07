package membership

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// Routing selects the targets of requests.
type Routing interface {
	// SetTargets replaces the targets of all services.
	SetTargets(targets map[string][]balancer.Target)
	// SetNodeCount sets the number of nodes, including this node.
	SetNodeCount(nodes int)
}

// Follower elects the nodes of the zone that watch the store.
type Follower interface {
	// SetMembers replaces the set of other nodes in the zone.
	SetMembers(names []string)
	// RecordHeartbeat records a heartbeat of the named follower. well reports whether the follower can
	// reach the store.
	RecordHeartbeat(name string, well bool)
}

// Options holds the dependencies of Members, Exchanger and Broadcaster.
type Options struct {
	Settings      func() *settings.Settings             // returns the current settings
	Incarnation   string                                // identifies this process of the node
	Now           func() time.Duration                  // monotonic clock that includes time suspended
	Target        func() (roster.Report, time.Duration) // state of the local target, and the end of its warm-up
	Draining      func() bool                           // reports whether the node no longer accepts requests
	Unresponsive  func(node string) bool                // reports whether a node is considered dead
	OnRecordLost  func()                                // called when the store has no record of this node
	Routing       Routing
	Follower      Follower
	Configuration *configuration.Active
	Peers         *peer.Client
	Events        *eventlog.Log
}
