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
	// Heard notes the heartbeat of a follower; well: the store answers it.
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
