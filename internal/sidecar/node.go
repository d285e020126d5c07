// Package sidecar is the node that stands beside one target on a machine without
// a disk: clients and the target send their requests to it, it chooses a target
// of the right service and sends them to the node beside that target, which
// alone decides when its target gets them. What must outlive the processes lies
// in a store; everything else nodes tell each other.
package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/clock"
	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/entry"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/follower"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/membership"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/quotas"
	"github.com/landingmast/landingmast/internal/sidecar/registration"
	"github.com/landingmast/landingmast/internal/sidecar/revalidation"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Options are what a node is made of besides its settings. They bring in the
// names and forms of the platform, which this package does not know.
type Options struct {
	Headers          headers.Names
	Store            store.Store // nil: none
	ConfigurationKey string      // key of the operators' configuration
	RecordPrefix     string      // where all that the nodes keep lies
	NodePrefix       string      // below it, where the nodes' records lie
	QuotaPrefix      string      // below it, where the keepers of quotas are named
	CrashKey         string      // below RecordPrefix, what must last of requests that end targets
	ReadIntent       configuration.Reader
	Control          func(targets *Targets) http.Handler  // serves the targets' heartbeats
	Ready            func(ready func() bool) http.Handler // serves the question whether the node takes work
	Output           io.Writer                            // of the log
	Listen           func(address string) (net.Listener, error)
	Dial             peer.Dialer
	Clock            clock.Source
}

// Targets receives the heartbeats of the target beside the node.
type Targets struct{ *target.Local }

// Node is one running sidecar node.
type Node struct {
	options       Options
	checked       atomic.Pointer[settings.Settings]
	incarnation   string
	clock         clock.Source
	events        *eventlog.Log
	metrics       *metrics.Metrics
	store         store.Store
	configuration *configuration.InForce
	services      *services.Services
	overload      *admission.Control
	target        *target.Local
	ingress       *arrival.Ingress
	egress        *entry.Egress
	peers         *peer.Client
	membership    *membership.Members
	registration  *registration.Registration
	follower      *follower.Follower
	exchanger     *membership.Exchanger
	news          *membership.Broadcaster
	freshness     *revalidation.Revalidator
	keepers       *quotas.Keepers
	quotaServer   *quotas.Server
	quotas        *quotas.Limiter
	heldBack      *heldback.Control
	liveness      *peer.Liveness
	planned       plannedStop
	inFlight      atomic.Int64 // requests of clients, of the target and of other nodes
	clients       atomic.Int64 // of them those of clients
	storeHealth   *storehealth.Health
	servers       []*servers.Server
	listeners     []net.Listener
	background    sync.WaitGroup
}

// New makes a node and opens its listeners.
func New(settings *settings.Settings, options Options) (*Node, error) {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Control: peer.BoundSilence}).DialContext
	}
	if options.Listen == nil {
		options.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	n := &Node{
		options: options, incarnation: strconv.FormatUint(rand.Uint64(), 36), clock: options.Clock,
		store: options.Store,
	}
	n.checked.Store(settings)
	n.events = eventlog.New(settings.Node, options.Output)
	n.configuration = configuration.New(options.ReadIntent, n.events)
	n.metrics = metrics.New(n.gauges())
	n.storeHealth = storehealth.New(n.events, n.metrics.StoreCalls)
	n.overload = admission.New(n.now, n.configuration, !n.policyOn(window))
	n.services = services.New(services.Options{
		Node: settings.Node, Zone: settings.Zone, Now: n.now, Budget: budget(settings), FirstStart: settings.FirstStart, Policy: settings.Policy,
	})
	n.peers = peer.NewClient(options.Dial, options.Headers)
	n.membership, n.exchanger, n.news = membership.New(n.membershipOptions())
	n.follower = follower.New(n.followerOptions())
	n.registration = registration.New(n.registrationOptions())
	n.keepers = quotas.NewKeepers(options.QuotaPrefix)
	n.freshness = revalidation.New(n.freshnessOptions())
	n.quotaServer = quotas.NewServer(n.quotaOptions(), n.keepers)
	n.quotas = quotas.NewLimiter(n.quotaOptions(), n.keepers, n.quotaServer)
	n.heldBack = heldback.New(n.heldBackOptions())
	n.liveness = peer.NewLiveness(n.now, n.peers.PingPeer, peer.Events{Lost: n.silent, Still: n.services.Suspect, Back: n.heardAgain})
	n.target = target.New(target.Options{
		Now: n.now, Changed: n.targetChanged, Link: n.newLink, Identify: n.identify, BeginAll: !n.policyOn(inTime),
		Followed: func(before *target.Gate) { n.ingress.InstanceReplaced(before) },
	})
	n.ingress = arrival.New(n.arrivalOptions())
	n.egress = entry.New(n.entryOptions())
	return n, n.listen()
}

// settings returns the settings in force.
func (n *Node) settings() *settings.Settings { return n.checked.Load() }

// Mechanisms that New asks for, where the settings hide the package.
const (
	inTime = settings.InTime
	window = settings.Window
)

// policyOn reports whether a mechanism is in use.
func (n *Node) policyOn(m settings.Mechanism) bool {
	checked := n.checked.Load()
	return checked == nil || checked.Policy.On(m)
}

// Reload puts changed settings in force: the target's service and address, bounds
// and budgets. Names and listening addresses stay until the next start.
func (n *Node) Reload(changed *settings.Settings) {
	before := n.settings()
	merged := *changed
	merged.Node, merged.Zone, merged.Listen, merged.Store, merged.FirstStart, merged.Policy = before.Node, before.Zone, before.Listen, before.Store, before.FirstStart, before.Policy
	n.checked.Store(&merged)
	n.services.SetBudget(budget(&merged))
	n.events.Add(eventlog.Node{Change: "reloaded", Incarnation: n.incarnation}, eventlog.State)
	n.membership.Changed()
}

// ReloadFailed notes settings that were refused; those before stay in force.
func (n *Node) ReloadFailed(err error) {
	n.events.Add(eventlog.Node{Change: "reload refused", Incarnation: n.incarnation, Error: err.Error()}, eventlog.State)
}

// budget returns the bounds of repeats in the settings.
func budget(settings *settings.Settings) repeats.Config {
	return repeats.Config{Ratio: settings.Retries.Ratio, Allowance: settings.Retries.Allowance, Window: time.Duration(settings.Retries.Window)}
}

// now is the time since the start; the clock of the core. It counts the time for which the
// machine was suspended, so that no proof, right or lease outlives its time by it.
func (n *Node) now() time.Duration { return n.clock.Boot() }

// Version returns the version of the configuration in force; 0: none is known.
func (n *Node) Version() uint64 { return n.configuration.Version() }

// Peers returns the number of other nodes that are known.
func (n *Node) Peers() int { return n.membership.Others() }

// Follows reports whether the node follows the store for its zone.
func (n *Node) Follows() bool { return n.follower.Follows() }

// caller is the service of the machine.
func (n *Node) caller() string {
	if report, _ := n.target.Report(); report.Service != "" {
		return report.Service
	}
	return n.settings().Target.Service
}

// Bounds of the servers, generous: they end connections of senders that went silent, which the
// bounds of a request do not reach.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

func (n *Node) listen() error {
	for _, one := range []struct {
		key, address string
		handler      http.Handler
	}{
		{"listen.control", n.settings().Listen.Control, n.options.Control(&Targets{n.target})},
		{"listen.inbound", n.settings().Listen.Inbound, n.inbound()},
		{"listen.outbound", n.settings().Listen.Outbound, n.egress},
		{"listen.ready", n.settings().Listen.Ready, n.options.Ready(n.ready)},
		{"listen.metrics", n.settings().Listen.Metrics, n.metricsHandler()},
	} {
		if one.address == "" {
			continue
		}
		listener, err := n.options.Listen(one.address)
		if err != nil {
			return failure.Wrap(err, failure.BadInput, "name an address of this machine that is free", "settings: %s: %s", one.key, one.address)
		}
		n.listeners = append(n.listeners, listener)
		n.servers = append(n.servers, servers.New(listener, &http.Server{
			Handler: one.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: n.serverLog(),
		}))
	}
	return nil
}

// inbound serves what other nodes ask.
func (n *Node) inbound() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.CallPath, n.ingress)
	mux.Handle("POST "+peer.SettlePath, n.ingress.Once)
	mux.Handle("POST "+membership.ExchangePath, n.exchanger)
	mux.Handle("POST "+membership.BroadcastPath, n.news)
	mux.Handle("POST "+revalidation.Path, n.freshness)
	mux.Handle("POST "+quotas.Path, n.quotaServer)
	mux.Handle("POST "+heldback.Path, n.heldBack)
	mux.HandleFunc("GET "+peer.PingPath, n.servePing)
	return mux
}

// servePing answers a ping of another node.
func (n *Node) servePing(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	pong := &wire.Pong{Node: n.settings().Node, TurnedAway: n.registration.TurnedAway()}
	if head, err := wire.PongCodec.EncodeHeader(pong); err == nil {
		w.Header().Set(wire.HeaderSidecarPong, head)
	}
}

func (n *Node) ready() bool { return n.configuration.Load() != nil && !n.planned.stopping.Load() }

// Run serves until ctx ends, then stops as planned; the end of hurry ends the
// wait for requests in flight.
func (n *Node) Run(ctx, hurry context.Context) error {
	failed := make(chan error, len(n.servers))
	for _, server := range n.servers {
		go func() { failed <- server.Run() }()
	}
	background, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	if n.store != nil {
		n.background.Go(func() { n.registration.Run(background) })
		n.background.Go(func() { n.follower.Run(background) })
		n.background.Go(func() { n.findConfiguration(background) })
		n.background.Go(func() { n.freshness.Run(background) })
		n.background.Go(func() { n.quotaServer.Run(background) })
		for shard := range quotas.Shards {
			n.background.Go(func() { n.quotas.Run(background, shard) })
		}
	}
	n.background.Go(func() { n.exchanger.Run(background) })
	n.background.Go(func() { n.heldBack.Run(background) })
	n.background.Go(func() { n.watchWakes(background) })
	n.background.Go(func() { n.events.Run(background) })
	if !n.settings().FirstStart {
		n.background.Go(func() { n.findTarget(background) })
	}
	n.events.Add(eventlog.Node{Change: "started", Incarnation: n.incarnation}, eventlog.State)
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "look at the machine", "a listener stopped")
	case <-ctx.Done():
	}
	n.stop(hurry)
	return nil
}
