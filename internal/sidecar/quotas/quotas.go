// Package quotas keeps the requests that begin at a node within the limits of their tenants
// over all nodes. The rules are those of package core/quota; this package asks, answers and
// writes for them.
//
// The tenants fall into Shards shards. Of each shard one node at most is the keeper, which
// gives the others shares of its tenants' limits; the right to be it is a key in the store
// with a lease. A Limiter admits requests for the tokens that the node holds, and asks the
// keepers for more. A Server keeps the shards that this node holds: it renews their lease,
// answers limiters, and takes a shard over whose keeper's process has ended or whose key
// the store has lost. Keepers is what the node knows of who keeps which shard.
//
// The package owns the stocks of tokens at this node, the shards that it keeps with their
// lease and their keys in the store, and the list of known keepers. It relies on the lease
// for there being one keeper at a time, on Options.Now counting the time for which the
// machine was suspended, and on the follower of the zone to report keepers that the store
// has lost. While the store is away keepers give shares until their right ends; while no
// keeper answers, a node admits what its shares still allow and refuses the rest. All
// types are safe for concurrent use.
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
