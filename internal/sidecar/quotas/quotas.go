// Package quotas keeps the requests that begin at a node within the limits of their tenants
// over all nodes. Package core/quota decides how many tokens a node gets and uses; this
// package does the messages, the store and the timing for it.
//
// The tenants fall into shards. At most one node is the keeper of a shard and gives the others
// shares of its tenants' limits. Which one it is stands in the shard's record in the store,
// under a lease of the keeper. A Limiter admits requests for the tokens that its node holds,
// and asks the keepers for more. A Server does the work of a keeper: it renews the lease,
// answers limiters, and takes over a shard whose keeper's process has ended or whose record
// the store no longer has. Keepers is what the node knows of the keeper of each shard.
//
// The package owns the tokens at this node, the shards that it keeps with their lease and
// records, and the list of known keepers. It relies on the store's leases for there being one
// keeper at a time, on Options.Now counting the time for which the machine was suspended, and
// on the follower of the zone to pass on the records of the store and to call Server.Fill.
// While the store is away keepers give shares until their lease ends; while no keeper
// answers, a node admits what its shares still allow and refuses the rest. All types are safe
// for concurrent use.
package quotas

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Options are what limiter and server need of the other parts of a node.
type Options struct {
	Settings      func() *settings.Settings // in force
	Incarnation   string                    // of the process
	Now           func() time.Duration      // since the start, suspensions of the machine included
	Configuration *configuration.InForce
	Events        *eventlog.Log
	Store         store.Store // nil: none
	StoreHealth   *storehealth.Health
	Peers         *peer.Client
	Membership    Membership
	Follower      Follower
	// AskPeer asks the node at an address which keepers it knows; no address: nobody is asked.
	AskPeer func(ctx context.Context, address string)
	// Stopping reports whether the planned stop has begun: no shard is taken over any more.
	Stopping func() bool
}

// Membership is what is known of the nodes.
type Membership interface {
	All() []wire.NodeRecord   // this node's record among them
	Others() int              // number of other nodes
	ZoneNames() []string      // sorted
	AddressElsewhere() string // of a node in another zone; empty: no other node is known
}

// Follower is the election of the node that follows the store for the zone.
type Follower interface {
	Address() string // of another follower of the zone that hears the store; empty: none is known
	Reaches() bool   // this node follows the store, and the store answers
}

// bound returns the bound of the settings on the requests in a window.
func (o *Options) bound() quota.Config {
	bounds := o.Settings().Quotas
	return quota.Config{Window: time.Duration(bounds.Window), Overshoot: bounds.Overshoot, Slack: bounds.Slack}
}

// limited reports whether some tenant has a limit.
func (o *Options) limited() bool {
	current := o.Configuration.Load()
	return current != nil && current.Limited()
}
