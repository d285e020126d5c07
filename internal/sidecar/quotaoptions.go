package sidecar

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

// quotaOptions are what the quotas of a node need of its other parts.
type quotaOptions struct {
	Settings      func() *settings.Settings // in force
	Incarnation   string                    // of the process
	Now           func() time.Duration      // since the start, suspensions of the machine included
	Configuration *configuration.InForce
	Events        *eventlog.Log
	Store         store.Store // nil: none
	StoreHealth   *storehealth.Health
	Peers         *peer.Client
	Membership    quotaMembership
	Follower      quotaFollower
	// AskPeer asks the node at an address which keepers it knows; no address: nobody is asked.
	AskPeer func(ctx context.Context, address string)
	// Stopping reports whether the planned stop has begun: no group is taken over any more.
	Stopping func() bool
}

// quotaMembership is what is known of the nodes.
type quotaMembership interface {
	All() []wire.NodeRecord   // this node's record among them
	Others() int              // number of other nodes
	ZoneNames() []string      // sorted
	AddressElsewhere() string // of a node in another zone; empty: no other node is known
}

// quotaFollower is the election of the node that follows the store for the zone.
type quotaFollower interface {
	Address() string // of another follower of the zone that hears the store; empty: none is known
	Reaches() bool   // this node follows the store, and the store answers
}

// bound gives the bound that the quotas keep to.
func (o *quotaOptions) bound() quota.Config {
	bounds := o.Settings().Quotas
	return quota.Config{Window: time.Duration(bounds.Window), Overshoot: bounds.Overshoot, Slack: bounds.Slack}
}

// limited reports whether some tenant has a limit.
func (o *quotaOptions) limited() bool {
	current := o.Configuration.Load()
	return current != nil && current.Limited()
}
