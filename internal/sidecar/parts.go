package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/entry"
	"github.com/landingmast/landingmast/internal/sidecar/follower"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/membership"
	"github.com/landingmast/landingmast/internal/sidecar/quotas"
	"github.com/landingmast/landingmast/internal/sidecar/registration"
	"github.com/landingmast/landingmast/internal/sidecar/revalidation"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	"github.com/landingmast/landingmast/internal/store"
)

// This file says what each part of a node gets of the others. A part that is made before one
// that it needs gets a function that looks it up when it is called.

func (n *Node) newLink() *targetlink.Link {
	return targetlink.New(targetlink.Options{
		Address: n.settings().Target.Address, EchoHeader: n.options.Headers.RequestID,
		Opened: n.metrics.Connections.Inc,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.options.Dial(ctx, "tcp", address)
		},
	})
}

func (n *Node) freshnessOptions() revalidation.Options {
	return revalidation.Options{
		Settings: n.settings, Now: n.now, Configuration: n.configuration, ConfigurationKey: n.options.ConfigurationKey, Events: n.events,
		Store: n.store, StoreHealth: n.storeHealth, Peers: n.peers, Membership: n.membership, Follower: n.follower,
		Keepers: n.keepers, Fetch: n.news.Fetch,
	}
}

func (n *Node) quotaOptions() quotas.Options {
	return quotas.Options{
		Settings: n.settings, Incarnation: n.incarnation, Now: n.now, Configuration: n.configuration, Events: n.events,
		Store: n.store, StoreHealth: n.storeHealth, Peers: n.peers, Membership: n.membership, Follower: n.follower,
		AskPeer:  func(ctx context.Context, address string) { n.freshness.AskPeer(ctx, address) },
		Stopping: n.planned.stopping.Load,
	}
}

func (n *Node) membershipOptions() membership.Options {
	return membership.Options{
		Settings: n.settings, Incarnation: n.incarnation, Now: n.now,
		Target:     func() (roster.Report, time.Duration) { return n.target.Report() },
		Leaving:    n.planned.leaving.Load,
		Silent:     func(node string) bool { return n.liveness.Silent(node) },
		RecordLost: func() { n.registration.Lost() },
		Routing:    n.services, Follower: lateFollower{n},
		Configuration: n.configuration, Peers: n.peers, Events: n.events,
	}
}

// lateFollower is the node's follower to its records, which are made first: the follower needs
// them.
type lateFollower struct{ node *Node }

// SetMembers implements membership.Follower.
func (l lateFollower) SetMembers(names []string) { l.node.follower.SetMembers(names) }

// Heard implements membership.Follower.
func (l lateFollower) Heard(name string, well bool) { l.node.follower.Heard(name, well) }

func (n *Node) followerOptions() follower.Options {
	return follower.Options{
		Settings: n.settings, Now: n.now, Events: n.events, Store: n.store, Health: n.storeHealth, Peers: n.peers, Members: n.membership,
		RecordPrefix: n.options.RecordPrefix, NodePrefix: n.options.NodePrefix, ConfigurationKey: n.options.ConfigurationKey,
		Version:       n.configuration.Version,
		InstallStored: func(item *store.Item) (uint64, error) { return n.freshness.InstallStored(item) },
		SendZone:      n.news.SendZone, SendAll: n.news.SendAll, Exchange: n.exchanger.With,
		RecordLost: func() { n.registration.Lost() },
		TakeStored: n.takeStored, Heartbeat: n.whileFollowing,
	}
}

// takeStored takes in what the nodes keep in the store besides their records.
func (n *Node) takeStored(items []store.Item, whole bool, at int64) {
	n.keepers.TakeStored(items)
	if whole {
		n.keepers.NoteAbsent(items, at)
	}
	for index := range items {
		n.takeOther(&items[index])
	}
}

// whileFollowing is done with each heartbeat of a node that follows the store: quotas without
// a keeper are taken over, and evidence on harmful requests is saved.
func (n *Node) whileFollowing(ctx context.Context) {
	n.quotaServer.Fill(ctx)
	if n.follower.Reaches() {
		n.heldBack.Save(ctx)
	}
}

func (n *Node) registrationOptions() registration.Options {
	return registration.Options{
		Settings: n.settings, Store: n.store, Health: n.storeHealth, Probe: func(ctx context.Context) bool { return n.storeHealth.Probe(ctx, n.store) },
		RecordPrefix: n.options.RecordPrefix, NodePrefix: n.options.NodePrefix,
		Members: n.membership, TakeOther: n.takeOther, Meet: n.meet, Listed: n.follower.Begin,
		TargetLeft: func() bool { return n.target.HasLeft() },
	}
}

// takeOther takes in what the nodes keep in the store besides their records, as it is listed
// at the start.
func (n *Node) takeOther(item *store.Item) {
	if item.Key == n.options.CrashKey {
		n.heldBack.TakeStored(item)
	}
}

// meetings is the number of nodes that a new one asks for what they know.
const meetings = 2

// meet asks some nodes for what they know and sends all of them the own record.
func (n *Node) meet(ctx context.Context) {
	for range meetings {
		if address := n.membership.AnyAddress(); address != "" {
			go n.exchanger.With(ctx, address)
			go n.heldBack.Compare(ctx, address)
		}
	}
	n.news.SendOwn()
}

func (n *Node) heldBackOptions() heldback.Options {
	return heldback.Options{
		Zone: n.settings().Zone, Enabled: func() bool { return n.policyOn(settings.HoldBack) }, Now: n.now,
		Nodes: n.membership, Peers: n.peers, Events: n.events,
		Store: n.store, Key: n.options.CrashKey, Health: n.storeHealth,
	}
}

func (n *Node) arrivalOptions() arrival.Options {
	return arrival.Options{
		Incarnation: n.incarnation, Now: n.now, Headers: n.options.Headers, Version: n.configuration.Version,
		Target: n.target, HeldBack: n.heldBack, Metrics: n.metrics, Events: n.events,
		Begin: func(w http.ResponseWriter, r *http.Request) (*duplex.Writer, *http.Request, func(), bool) {
			return n.begin(w, r, n.planned.leaving.Load, &n.planned.closed)
		},
	}
}

func (n *Node) entryOptions() entry.Options {
	return entry.Options{
		Node: n.settings().Node, Now: n.now, Headers: n.options.Headers, Caller: n.caller, Configuration: n.configuration, Fresh: n.freshness.Fresh,
		Arrivals: n.ingress, HeldBack: n.heldBack, Quotas: n.quotas, Services: n.services, Overload: n.overload, Liveness: n.liveness,
		Peers: n.peers, Members: n.membership, Exchange: n.exchanger.StartWith, PolicyOn: n.policyOn, Metrics: n.metrics, Events: n.events,
		Begin: func(w http.ResponseWriter, r *http.Request) (*duplex.Writer, *http.Request, func(), bool) {
			return n.begin(w, r, n.planned.stopping.Load, &n.planned.closing)
		},
		CountClient: n.countClient,
	}
}

// countClient counts a client's request until the function that it returns is called.
func (n *Node) countClient() func() {
	n.clients.Add(1)
	return func() { n.clients.Add(-1) }
}
