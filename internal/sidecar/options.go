package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/pipeline"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/departures"
	"github.com/landingmast/landingmast/internal/sidecar/entry"
	"github.com/landingmast/landingmast/internal/sidecar/follower"
	"github.com/landingmast/landingmast/internal/sidecar/membership"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/quotas"
	"github.com/landingmast/landingmast/internal/sidecar/registration"
	"github.com/landingmast/landingmast/internal/sidecar/revalidation"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	"github.com/landingmast/landingmast/internal/sidecar/targetstate"
	"github.com/landingmast/landingmast/internal/store"
)

// This file builds the options that connect the components of a node. Components created later
// are accessed through closures.

func (n *Node) newLink() *targetlink.Link {
	return targetlink.New(targetlink.Options{
		Address: n.settings().Target.Address, EchoHeader: n.options.Headers.RequestID,
		OnDial: n.metrics.Connections.Inc, OnLateResponse: n.metrics.LateResponses.Inc,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.options.Dial(ctx, "tcp", address)
		},
	})
}

func (n *Node) freshnessOptions() revalidation.Options {
	return revalidation.Options{
		Settings: n.settings, Now: n.now, Configuration: n.configuration, ConfigurationKey: n.options.ConfigurationKey, Events: n.events,
		Store: n.store, StoreHealth: n.storeHealth, Peers: n.peers, Membership: n.membership, Follower: n.follower,
		Keepers: n.keepers, Fetch: n.broadcaster.Fetch,
	}
}

func (n *Node) quotaOptions() quotas.Options {
	return quotas.Options{
		Settings: n.settings, Incarnation: n.incarnation, Now: n.now, Configuration: n.configuration, Events: n.events,
		Store: n.store, StoreHealth: n.storeHealth, Peers: n.peers, Membership: n.membership, Follower: n.follower,
		PollPeer: func(ctx context.Context, address string) { n.freshness.PollPeer(ctx, address) },
		Stopping: n.shutdown.stopping.Load,
	}
}

func (n *Node) membershipOptions() membership.Options {
	return membership.Options{
		Settings: n.settings, Incarnation: n.incarnation, Now: n.now,
		Target:       func() (roster.Report, time.Duration) { return n.target.Report() },
		Draining:     n.shutdown.leaving.Load,
		Unresponsive: func(node string) bool { return n.liveness.Unresponsive(node) },
		OnRecordLost: func() { n.registration.MarkLost() },
		Routing:      n.services, Follower: deferredFollower{n},
		Configuration: n.configuration, Peers: n.peers, Events: n.events,
	}
}

// deferredFollower gives the membership access to the follower, which is created after it.
type deferredFollower struct{ node *Node }

// SetMembers implements membership.Follower.
func (f deferredFollower) SetMembers(names []string) { f.node.follower.SetMembers(names) }

// RecordHeartbeat implements membership.Follower.
func (f deferredFollower) RecordHeartbeat(name string, well bool) {
	f.node.follower.RecordHeartbeat(name, well)
}

func (n *Node) followerOptions() follower.Options {
	return follower.Options{
		Settings: n.settings, Now: n.now, Events: n.events, Store: n.store, Health: n.storeHealth, Peers: n.peers, Members: n.membership,
		RecordPrefix: n.options.RecordPrefix, NodePrefix: n.options.NodePrefix, ConfigurationKey: n.options.ConfigurationKey,
		Version:       n.configuration.Version,
		InstallStored: func(item *store.Item) (uint64, error) { return n.freshness.InstallStored(item) },
		SendZone:      n.broadcaster.SendZone, SendAll: n.broadcaster.SendAll, Exchange: n.exchanger.Sync,
		OnRecordLost: func() { n.registration.MarkLost() },
		ApplyStored:  n.applyStoredItems, OnHeartbeat: n.followerHeartbeat,
	}
}

// applyStoredItems applies store items other than node records. If complete is set, items lists
// all of them at the given revision.
func (n *Node) applyStoredItems(items []store.Item, complete bool, revision int64) {
	n.keepers.ApplyStored(items)
	if complete {
		n.keepers.MarkMissing(items, revision)
	}
	for index := range items {
		n.applyStoredItem(&items[index])
	}
}

// followerHeartbeat runs on each heartbeat while the node follows the store: it takes over quota
// shards without a keeper and saves crash evidence.
func (n *Node) followerHeartbeat(ctx context.Context) {
	n.quotaServer.TakeOverAbsent(ctx)
	if n.follower.StoreReachable() {
		n.heldBack.Save(ctx)
	}
}

func (n *Node) registrationOptions() registration.Options {
	return registration.Options{
		Settings: n.settings, Store: n.store, Health: n.storeHealth, Probe: func(ctx context.Context) bool { return n.storeHealth.Probe(ctx, n.store) },
		RecordPrefix: n.options.RecordPrefix, NodePrefix: n.options.NodePrefix,
		Members: n.membership, ApplyOther: n.applyStoredItem, SyncWithPeers: n.exchangeWithPeers, OnListed: n.follower.JoinElection,
		TargetLeft:   func() bool { return n.target.TargetLeft() },
		OnRegistered: func() { n.departures.Wake() },
	}
}

func (n *Node) departureOptions() departures.Options {
	return departures.Options{
		Store: n.store, Key: n.options.DeparturePrefix + n.settings().Node, Health: n.storeHealth, Events: n.events,
		FirstStart: n.settings().FirstStart, Lease: n.registration.Lease, OnLeaseExpired: n.registration.RenewNow,
		OnLoaded: func(instances []string) { n.target.Restore(instances) }, Nodes: n.membership.PeerCount,
	}
}

// loadDepartures loads and keeps the departures of the target.
func (n *Node) loadDepartures(ctx context.Context) {
	if !n.settings().FirstStart {
		n.departures.Load(ctx)
	}
	n.departures.Run(ctx)
}

// applyStoredItem applies the crash evidence and ignores other items.
func (n *Node) applyStoredItem(item *store.Item) {
	if item.Key == n.options.CrashKey {
		n.heldBack.ApplyStored(item)
	}
}

// exchangePeers is the number of nodes queried by exchangeWithPeers.
const exchangePeers = 2

// exchangeWithPeers synchronizes state with a few nodes and sends this node's record to all.
func (n *Node) exchangeWithPeers(ctx context.Context) {
	for range exchangePeers {
		if address := n.membership.RandomAddress(); address != "" {
			go n.exchanger.Sync(ctx, address)
			go n.heldBack.Compare(ctx, address)
		}
	}
	n.broadcaster.SendLocalRecord()
}

func (n *Node) heldBackOptions() quarantine.Options {
	return quarantine.Options{
		Zone: n.settings().Zone, Enabled: func() bool { return n.policyOn(settings.HoldBack) }, Now: n.now,
		Nodes: n.membership, Peers: n.peers, Events: n.events,
		Store: n.store, Key: n.options.CrashKey, Health: n.storeHealth,
	}
}

func (n *Node) stateOptions() targetstate.Options {
	return targetstate.Options{
		Now: n.now, Enabled: func() bool { return n.policyOn(settings.TargetState) }, Headers: n.options.Headers,
		PaceEnabled: func() bool { return n.policyOn(settings.Pace) },
		Events:      n.events, Invalid: n.metrics.InvalidStates,
	}
}

func (n *Node) arrivalOptions() arrival.Options {
	return arrival.Options{
		Node: n.settings().Node, Incarnation: n.incarnation, Now: n.now, Headers: n.options.Headers, Version: n.configuration.Version,
		Target: n.target, TenantWeight: n.tenantWeight, States: n.states, Quarantine: n.heldBack, Bodies: n.peerBodies, Metrics: n.metrics, Events: n.events,
		Begin: func(w http.ResponseWriter, r *http.Request) (*duplex.Writer, *http.Request, func(), bool) {
			return n.beginRequest(w, r, n.shutdown.leaving.Load, &n.shutdown.rejectAll)
		},
	}
}

// tenantWeight returns the weight of a tenant's fair share, or 0 if the configuration in force does not
// have the tenant or shares are disabled.
func (n *Node) tenantWeight(name string) float64 {
	current := n.configuration.Load()
	if current == nil || !n.policyOn(settings.TenantShares) {
		return 0
	}
	if tenant := current.TenantByName(name); tenant != nil {
		return tenant.ShareWeight()
	}
	return 0
}

func (n *Node) entryOptions() entry.Options {
	return entry.Options{
		Node: n.settings().Node, Now: n.now, Headers: n.options.Headers, Caller: n.localService, Configuration: n.configuration, ConfigFresh: n.freshness.Fresh,
		Ingress: n.ingress, Quarantine: n.heldBack, Quotas: n.quotas, Services: n.services, Admission: n.admission, Liveness: n.liveness,
		PeerClient: n.peers, Members: n.membership, States: n.states, SyncWith: n.exchanger.SyncInBackground, PolicyOn: n.policyOn, Bodies: n.ownBodies, MaxWaitShare: func() float64 { return n.settings().Admission.WaitShare() }, Metrics: n.metrics, Events: n.events,
		Begin: func(w http.ResponseWriter, r *http.Request) (*duplex.Writer, *http.Request, func(), bool) {
			return n.beginRequest(w, r, func() bool { return n.shutdown.stopping.Load() && pipeline.MayClose(r.Context()) }, &n.shutdown.rejectClients)
		},
		Closed:      n.shutdown.closedTo,
		CountClient: n.countClient,
	}
}

// countClient counts a client request until the returned function is called.
func (n *Node) countClient() func() {
	n.clients.Add(1)
	return func() { n.clients.Add(-1) }
}
