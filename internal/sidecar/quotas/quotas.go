// Package quotas enforces the rate limits of tenants across all nodes. Package core/quota
// implements the allocation of tokens; this package adds messaging, storage and timing.
//
// Tenants are hashed into shards. At most one node is the keeper of a shard, and allocates
// shares of its tenants' limits to the other nodes. The shard's record in the store names the
// keeper and is attached to the keeper's lease. A Limiter admits requests with the tokens that
// its node holds and requests more from the keepers. A Server performs the work of a keeper:
// it renews the lease, answers limiters, and takes over shards whose keeper's process has
// ended or whose record has expired. Keepers caches the keeper of each shard.
//
// The package relies on the leases of the store to ensure that there is one keeper at a time,
// on Options.Now to include the time for which the machine was suspended, and on the zone's
// follower to relay records from the store and to call Server.TakeOverAbsent. While the store is
// unavailable, keepers allocate shares until their lease expires. While the keeper is
// unreachable, a node admits what its shares still allow and rejects all other requests. All
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

// Options configure a Limiter and a Server, and connect them to the other parts of a node.
type Options struct {
	Settings      func() *settings.Settings // current settings
	Incarnation   string                    // unique id of this process
	Now           func() time.Duration      // time since start, including suspensions of the machine
	Configuration *configuration.Active
	Events        *eventlog.Log
	Store         store.Store // nil if the node has no store
	StoreHealth   *storehealth.Health
	Peers         *peer.Client
	Membership    Membership
	Follower      Follower
	// PollPeer asks the node at an address for the keepers it knows. An empty address is a no-op.
	PollPeer func(ctx context.Context, address string)
	// Stopping reports whether a graceful shutdown has begun, after which no shard is taken over.
	Stopping func() bool
}

// Membership provides the known nodes.
type Membership interface {
	Records() []wire.NodeRecord // including this node
	PeerCount() int             // number of other nodes
	ZoneNames() []string        // sorted
	RemoteZoneAddress() string  // address of a node in another zone, or empty
}

// Follower provides the state of the zone's follower, the node elected to watch the store.
type Follower interface {
	HealthyPeerAddress() string // address of another follower in the zone that is connected to the store, or empty
	StoreReachable() bool       // this node is a follower and the store answers
}

// quotaConfig returns the bound on requests per window from the current settings.
func (o *Options) quotaConfig() quota.Config {
	bounds := o.Settings().Quotas
	return quota.Config{Window: time.Duration(bounds.Window), Overshoot: bounds.Overshoot, Slack: bounds.Slack}
}

// anyTenantLimited reports whether the configuration limits any tenant.
func (o *Options) anyTenantLimited() bool {
	current := o.Configuration.Load()
	return current != nil && current.HasRateLimits()
}
