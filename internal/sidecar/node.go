// Package sidecar implements the sidecar node of one target. Local clients and the target send
// requests to it; it selects a target of the destination service and forwards them to the node
// of that target, which controls when its target receives them. Durable state is kept in a
// store, all other state is exchanged between nodes.
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
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/pipeline"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/departures"
	"github.com/landingmast/landingmast/internal/sidecar/entry"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/follower"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/membership"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/quotas"
	"github.com/landingmast/landingmast/internal/sidecar/registration"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/revalidation"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/sidecar/targetstate"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Options configures a node in addition to its settings. It provides the platform-specific names
// and handlers.
type Options struct {
	Headers          headers.Names
	Store            store.Store // nil if there is none
	ConfigurationKey string      // store key of the configuration
	RecordPrefix     string      // store prefix of all keys of the nodes
	NodePrefix       string      // prefix of node records, below RecordPrefix
	QuotaPrefix      string      // prefix of quota keepers, below RecordPrefix
	CrashKey         string      // key of the crash evidence, below RecordPrefix
	DeparturePrefix  string      // prefix of the departures of the nodes' targets, not below RecordPrefix
	ParseIntent      configuration.ParseFunc
	Control          func(targets *Targets) http.Handler  // serves target heartbeats
	Ready            func(ready func() bool) http.Handler // serves the readiness check
	Output           io.Writer                            // destination of the log
	Listen           func(address string) (net.Listener, error)
	Dial             peer.Dialer
	Clock            clock.Source
}

// Targets receives the heartbeats of the local target.
type Targets struct{ *target.Local }

// Node is a sidecar node.
type Node struct {
	options         Options
	currentSettings atomic.Pointer[settings.Settings]
	incarnation     string
	clock           clock.Source
	events          *eventlog.Log
	metrics         *metrics.Metrics
	store           store.Store
	configuration   *configuration.Active
	services        *services.Services
	admission       *admission.Control
	target          *target.Local
	departures      *departures.Recorder
	ingress         *arrival.Ingress
	egress          *entry.Egress
	peers           *peer.Client
	membership      *membership.Members
	registration    *registration.Registration
	follower        *follower.Follower
	exchanger       *membership.Exchanger
	broadcaster     *membership.Broadcaster
	freshness       *revalidation.Revalidator
	keepers         *quotas.Keepers
	quotaServer     *quotas.Server
	quotas          *quotas.Limiter
	heldBack        *quarantine.Control
	states          *targetstate.Reader
	liveness        *peer.Liveness
	shutdown        shutdownState
	requests        context.Context // base of the contexts of all requests; ends with reply.ErrStopping
	endRequests     context.CancelCauseFunc
	inFlight        atomic.Int64  // requests of clients, the target and other nodes
	clients         atomic.Int64  // requests of clients, included in inFlight
	ownBodies       *reply.Budget // for the bodies of requests that begin here
	peerBodies      *reply.Budget // for those of other nodes
	storeHealth     *storehealth.Health
	servers         []*servers.Server
	listeners       []net.Listener
	pipelines       *pipeline.Listener // accepts connections of clients; nil if nothing is read ahead
	background      sync.WaitGroup
}

// New creates a node and opens its listeners.
func New(settings *settings.Settings, options Options) (*Node, error) {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Control: peer.SetUserTimeout}).DialContext
	}
	if options.Listen == nil {
		options.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	n := &Node{
		options: options, incarnation: strconv.FormatUint(rand.Uint64(), 36), clock: options.Clock,
		store: options.Store,
	}
	n.requests, n.endRequests = context.WithCancelCause(context.Background())
	n.currentSettings.Store(settings)
	n.ownBodies, n.peerBodies = reply.NewBudget(settings.Limits.Bytes()/ownBodiesDivisor), reply.NewBudget(settings.Limits.Bytes()/peerBodiesDivisor)
	n.events = eventlog.New(settings.Node, options.Output)
	n.configuration = configuration.New(options.ParseIntent, n.events)
	n.metrics = metrics.New(n.gauges())
	n.storeHealth = storehealth.New(n.events, n.metrics.StoreCalls)
	n.admission = admission.New(admission.Options{
		Now: n.now, Configuration: n.configuration, WindowDisabled: !n.policyOn(window), PricesDisabled: !n.policyOn(prices), TenantsDisabled: !n.policyOn(tenantShares),
	})
	n.services = services.New(services.Options{
		Node: settings.Node, Zone: settings.Zone, Now: n.now, Budget: budget(settings), FirstStart: settings.FirstStart, Policy: settings.Policy,
		Rank: func(instance string) (int, int) { return n.membership.Rank([]byte(instance)) },
	})
	n.states = targetstate.New(n.stateOptions())
	n.peers = peer.NewClient(options.Dial, options.Headers)
	n.membership, n.exchanger, n.broadcaster = membership.New(n.membershipOptions())
	n.follower = follower.New(n.followerOptions())
	n.registration = registration.New(n.registrationOptions())
	n.keepers = quotas.NewKeepers(options.QuotaPrefix)
	n.freshness = revalidation.New(n.freshnessOptions())
	n.quotaServer = quotas.NewServer(n.quotaOptions(), n.keepers)
	n.quotas = quotas.NewLimiter(n.quotaOptions(), n.keepers, n.quotaServer)
	n.heldBack = quarantine.New(n.heldBackOptions())
	n.liveness = peer.NewLiveness(n.now, n.peers.PingPeer, peer.Events{Unresponsive: n.peerSilent, PingFailed: n.services.Suspect, Recovered: n.peerRecovered})
	n.departures = departures.New(n.departureOptions())
	n.target = target.New(target.Options{
		Now: n.now, OnChange: n.targetChanged, OnIgnored: n.heartbeatIgnored, NewLink: n.newLink, Identify: n.identify, SkipDeadlineCheck: !n.policyOn(inTime),
		Restarted:  !settings.FirstStart && n.policyOn(targetState),
		Departures: n.departures, KnownService: n.knowsService,
		OnReplaced: func(gate *target.Gate) { n.ingress.InstanceReplaced(gate) },
	})
	n.ingress = arrival.New(n.arrivalOptions())
	n.egress = entry.New(n.entryOptions())
	return n, n.listen()
}

// Shares of the memory limit for the bodies of requests. Those of other nodes wait at the gate of the
// target, which may be one of few for them.
const (
	ownBodiesDivisor  = 8
	peerBodiesDivisor = 4
)

// BodyBytes returns the memory that is reserved for the bodies of requests.
func (n *Node) BodyBytes() int64 { return n.ownBodies.Held() + n.peerBodies.Held() }

// settings returns the settings in force.
func (n *Node) settings() *settings.Settings { return n.currentSettings.Load() }

// Mechanisms used in New, whose settings parameter shadows the package.
const (
	inTime = settings.InTime
	window = settings.Window
	prices = settings.Prices

	tenantShares = settings.TenantShares

	targetState = settings.TargetState
	pipelining  = settings.Pipelining
)

// policyOn reports whether a mechanism is enabled.
func (n *Node) policyOn(m settings.Mechanism) bool {
	s := n.currentSettings.Load()
	return s == nil || s.Policy.Enabled(m)
}

// Reload applies changed settings. Node name, zone, listen addresses, store, limits, first start and policy
// take effect only at the next start.
func (n *Node) Reload(changed *settings.Settings) {
	previous := n.settings()
	merged := *changed
	merged.Node, merged.Zone, merged.Listen, merged.Store, merged.FirstStart, merged.Policy = previous.Node, previous.Zone, previous.Listen, previous.Store, previous.FirstStart, previous.Policy
	merged.Limits = previous.Limits
	n.currentSettings.Store(&merged)
	n.services.SetBudget(budget(&merged))
	n.events.Add(eventlog.Node{Change: "reloaded", Incarnation: n.incarnation}, eventlog.State)
	n.membership.AnnounceLocalRecord()
}

// ReloadFailed logs that changed settings were rejected; the previous ones stay in effect.
func (n *Node) ReloadFailed(err error) {
	n.events.Add(eventlog.Node{Change: "reload refused", Incarnation: n.incarnation, Error: err.Error()}, eventlog.State)
}

// budget returns the retry budget in the settings.
func budget(settings *settings.Settings) retrybudget.Config {
	return retrybudget.Config{Ratio: settings.Retries.Ratio, Allowance: settings.Retries.Allowance, Window: time.Duration(settings.Retries.Window)}
}

// now returns the time used for all decisions. It includes suspended time, so that leases and
// other time limits also expire during a suspension.
func (n *Node) now() time.Duration { return n.clock.Boot() }

// Version returns the version of the current configuration, or 0 if there is none.
func (n *Node) Version() uint64 { return n.configuration.Version() }

// Peers returns the number of other known nodes.
func (n *Node) Peers() int { return n.membership.PeerCount() }

// IsFollower reports whether the node reads the store on behalf of its zone.
func (n *Node) IsFollower() bool { return n.follower.IsFollower() }

// localService returns the service of the local target.
func (n *Node) localService() string {
	if report, _ := n.target.Report(); report.Service != "" {
		return report.Service
	}
	return n.settings().Target.Service
}

// Limits of the servers. They close connections of unresponsive clients, to which request timeouts
// do not apply.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

func (n *Node) listen() error {
	for _, l := range []struct {
		key, address string
		handler      http.Handler
	}{
		{"listen.control", n.settings().Listen.Control, n.options.Control(&Targets{n.target})},
		{"listen.inbound", n.settings().Listen.Inbound, n.inbound()},
		{"listen.outbound", n.settings().Listen.Outbound, n.egress},
		{"listen.ready", n.settings().Listen.Ready, n.options.Ready(n.ready)},
		{"listen.metrics", n.settings().Listen.Metrics, n.metricsHandler()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := n.options.Listen(l.address)
		if err != nil {
			return failure.Wrap(err, failure.BadInput, "use a free address of this machine", "settings: %s: %s", l.key, l.address)
		}
		n.listeners = append(n.listeners, listener)
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: n.serverLog(),
			BaseContext: func(net.Listener) context.Context { return n.requests },
		}
		if l.key == "listen.outbound" && n.policyOn(pipelining) {
			n.pipelines = pipeline.New(listener, server, pipeline.Options{Stopping: n.shutdown.stopping.Load})
			listener = n.pipelines
		}
		n.servers = append(n.servers, servers.New(listener, server))
	}
	return nil
}

// inbound returns the handler for requests of other nodes.
func (n *Node) inbound() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.CallPath, n.ingress)
	mux.Handle("POST "+peer.SettlePath, n.ingress.SettleHandler)
	mux.HandleFunc("POST "+peer.WithdrawPath, n.ingress.ServeWithdrawal)
	mux.Handle("POST "+membership.ExchangePath, n.exchanger)
	mux.Handle("POST "+membership.BroadcastPath, n.broadcaster)
	mux.Handle("POST "+revalidation.Path, n.freshness)
	mux.Handle("POST "+quotas.Path, n.quotaServer)
	mux.Handle("POST "+quarantine.Path, n.heldBack)
	mux.HandleFunc("GET "+peer.PingPath, n.servePing)
	return mux
}

// servePing responds to a ping of another node.
func (n *Node) servePing(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	pong := &wire.Pong{Node: n.settings().Node, StoreUnreachable: n.registration.StoreUnreachable()}
	if head, err := wire.PongCodec.EncodeHeader(pong); err == nil {
		w.Header().Set(wire.HeaderSidecarPong, head)
	}
}

func (n *Node) ready() bool { return n.configuration.Load() != nil && !n.shutdown.stopping.Load() }

// Run serves requests until ctx is done, then shuts down gracefully. Cancellation of force ends the
// wait for requests in flight.
func (n *Node) Run(ctx, force context.Context) error {
	failed := make(chan error, len(n.servers))
	for _, server := range n.servers {
		go func() { failed <- server.Run() }()
	}
	background, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	if n.store != nil {
		n.background.Go(func() { n.registration.Run(background) })
		n.background.Go(func() { n.loadDepartures(background) })
		n.background.Go(func() { n.follower.Run(background) })
		n.background.Go(func() { n.fetchConfiguration(background) })
		n.background.Go(func() { n.freshness.Run(background) })
		n.background.Go(func() { n.quotaServer.Run(background) })
		for shard := range quotas.Shards {
			n.background.Go(func() { n.quotas.Run(background, shard) })
		}
	}
	n.background.Go(func() { n.exchanger.Run(background) })
	n.background.Go(func() { n.heldBack.Run(background) })
	n.background.Go(func() { n.watchSuspensions(background) })
	n.background.Go(func() { n.events.Run(background) })
	if !n.settings().FirstStart {
		n.background.Go(func() { n.discoverTarget(background) })
	}
	n.events.Add(eventlog.Node{Change: "started", Incarnation: n.incarnation}, eventlog.State)
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "check the network configuration of the machine", "listener failed")
	case <-ctx.Done():
	}
	n.stop(force)
	return nil
}
