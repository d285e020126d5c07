package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/repeats"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/sirupsen/logrus"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options are what a node is made of besides its settings. They bring in the
// names and forms of the platform, which this package does not know.
type Options struct {
	Headers          Headers
	Store            store.Store // nil: none
	ConfigurationKey string      // key of the operators' configuration
	NodePrefix       string      // where the nodes' records lie
	ReadIntent       func(data []byte) (*intent.Intent, error)
	Control          func(targets *Targets) http.Handler  // serves the targets' heartbeats
	Ready            func(ready func() bool) http.Handler // serves the question whether the node takes work
	Output           io.Writer                            // of the log
	Listen           func(address string) (net.Listener, error)
	Dial             Dialer
}

// Targets takes what the target beside the node says of itself.
type Targets struct{ *localTarget }

// Node is one running sidecar node.
type Node struct {
	options     Options
	settings    *settings.Settings
	incarnation string
	started     time.Time
	startedWall time.Time
	log         *logrus.Entry
	store       store.Store
	intent      atomic.Pointer[intent.Intent]
	services    *services
	splitter    *splitter
	overload    *overloadControl
	target      *localTarget
	ingress     *ingress
	egress      *egress
	peers       *peerClient
	membership  *membership
	exchanger   *exchanger
	liveness    *liveness
	stopping    atomic.Bool
	inFlight    atomic.Int64
	storeDown   atomic.Bool
	servers     []*http.Server
	listeners   []net.Listener
	background  sync.WaitGroup
}

// New makes a node and opens its listeners.
func New(settings *settings.Settings, options Options) (*Node, error) {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Control: boundSilence}).DialContext
	}
	if options.Listen == nil {
		options.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	n := &Node{
		options: options, settings: settings, incarnation: strconv.FormatUint(rand.Uint64(), 36), started: time.Now(),
		startedWall: time.Now(), store: options.Store, splitter: &splitter{credit: map[string][]float64{}},
	}
	n.log = newLog(settings, options.Output)
	n.overload = newOverloadControl(n)
	n.services = newServices(settings.Node, settings.Zone, n.now, repeats.Config{
		Ratio: settings.Retries.Ratio, Allowance: settings.Retries.Allowance, Window: time.Duration(settings.Retries.Window),
	})
	n.ingress = newIngress(n)
	n.egress = &egress{node: n}
	n.peers = newPeerClient(options.Dial)
	n.membership = newMembership(n)
	n.exchanger = &exchanger{node: n}
	n.liveness = newLiveness(n.now, n.peers.pingPeer, n.services.suspect)
	n.target = &localTarget{now: n.now, roster: roster.New(), changed: n.membership.changed, link: n.newLink, identify: n.identify}
	return n, n.listen()
}

func newLog(settings *settings.Settings, output io.Writer) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(output)
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	if level, err := logrus.ParseLevel(settings.Log.Level); err == nil {
		log.SetLevel(level)
	}
	return log.WithField("node", settings.Node)
}

func (n *Node) newLink() *targetlink.Link {
	return targetlink.New(targetlink.Options{Address: n.settings.Target.Address, EchoHeader: n.options.Headers.RequestID,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.options.Dial(ctx, "tcp", address)
		}})
}

// now is the monotonic time since the start; the clock of the core.
func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) version() uint64 {
	if current := n.intent.Load(); current != nil {
		return current.Version
	}
	return 0
}

// caller is the service of the machine.
func (n *Node) caller() string {
	if report, _ := n.target.report(); report.Service != "" {
		return report.Service
	}
	return n.settings.Target.Service
}

// Bounds of the servers.
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
		{"listen.control", n.settings.Listen.Control, n.options.Control(&Targets{n.target})},
		{"listen.inbound", n.settings.Listen.Inbound, n.inbound()},
		{"listen.outbound", n.settings.Listen.Outbound, n.egress},
		{"listen.ready", n.settings.Listen.Ready, n.options.Ready(n.ready)},
	} {
		listener, err := n.options.Listen(one.address)
		if err != nil {
			return failure.Wrap(err, failure.BadInput, "name an address of this machine that is free", "settings: %s: %s", one.key, one.address)
		}
		n.listeners = append(n.listeners, listener)
		n.servers = append(n.servers, &http.Server{
			Handler: one.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: quietLog(n.log),
		})
	}
	return nil
}

// inbound serves what other nodes ask.
func (n *Node) inbound() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+callPath, n.ingress)
	mux.Handle("POST "+settlePath, n.ingress.once)
	mux.Handle("POST "+exchangePath, n.exchanger)
	mux.HandleFunc("GET "+pingPath, func(w http.ResponseWriter, _ *http.Request) { w.Header()["Date"] = nil })
	return mux
}

// configuration gives the configuration in force in the operators' form.
func (n *Node) configuration() []byte {
	if current := n.intent.Load(); current != nil {
		return current.Source
	}
	return nil
}

func (n *Node) ready() bool { return n.intent.Load() != nil && !n.stopping.Load() }

// begin counts a request as in flight; the function that it gives ends that.
func (n *Node) begin(w http.ResponseWriter) func() {
	n.inFlight.Add(1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	return func() { n.inFlight.Add(-1) }
}

// Run serves until ctx ends, then stops as planned; the end of hurry ends the
// wait for requests in flight.
func (n *Node) Run(ctx, hurry context.Context) error {
	failed := make(chan error, len(n.servers))
	for index, server := range n.servers {
		go func() { failed <- server.Serve(n.listeners[index]) }()
	}
	background, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	if n.store != nil {
		n.background.Go(func() { n.membership.run(background) })
		n.background.Go(func() { n.membership.watch(background) })
		n.background.Go(func() { n.watchConfiguration(background) })
	}
	n.background.Go(func() { n.exchanger.run(background) })
	n.log.WithField("incarnation", n.incarnation).Info("started")
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "look at the machine", "a listener stopped")
	case <-ctx.Done():
	}
	n.stop(hurry)
	return nil
}

// restOfConfiguration bounds the calls while configurations come in quick succession.
const restOfConfiguration = 100 * time.Millisecond

// watchConfiguration follows the operators' configuration.
func (n *Node) watchConfiguration(ctx context.Context) {
	follow(ctx, n, n.options.ConfigurationKey, restOfConfiguration, func(items []store.Item, _ bool) {
		for _, item := range items {
			if item.Key == n.options.ConfigurationKey && !item.Gone {
				n.install(item.Value)
			}
		}
	})
}

// install puts a configuration in force unless a newer one is.
func (n *Node) install(data []byte) {
	read, err := n.options.ReadIntent(data)
	if err != nil {
		n.log.WithError(err).Error("configuration refused")
		return
	}
	read.Source = data
	for {
		current := n.intent.Load()
		if current != nil && current.Version >= read.Version {
			return
		}
		if n.intent.CompareAndSwap(current, read) {
			n.log.WithField("version", read.Version).WithField("routes", len(read.Routes)).Info("configuration in force")
			return
		}
	}
}

// Times of a planned stop.
const (
	stopLeast   = 2500 * time.Millisecond // until clients have seen that the node is not ready
	stopReserve = 500 * time.Millisecond  // of the grace, for the end of the process
	stopPoll    = 10 * time.Millisecond
)

// stop is the planned stop: not ready at once, requests are still served, and
// the process ends when none is in flight.
func (n *Node) stop(hurry context.Context) {
	n.stopping.Store(true)
	n.membership.changed()
	n.log.Info("stopping")
	began := time.Now()
	latest := began.Add(time.Duration(n.settings.Bounds.Grace) - stopReserve)
	for hurry.Err() == nil && time.Now().Before(latest) && (time.Since(began) < stopLeast || n.inFlight.Load() > 0) {
		pause(hurry, stopPoll)
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.peers.transport.CloseIdleConnections()
	n.target.close()
	n.log.WithField("in_flight", n.inFlight.Load()).Info("stopped")
}

// identify asks the target at the address who it is.
func (n *Node) identify(ctx context.Context) (roster.Report, bool) {
	current := n.intent.Load()
	if current == nil {
		return roster.Report{}, false
	}
	service := n.settings.Target.Service
	path := current.Services[service].HealthPath
	if path == "" {
		return roster.Report{}, false
	}
	id := "identify-" + strconv.FormatUint(rand.Uint64(), 36)
	link := n.newLink()
	defer link.Close()
	answer, err := link.Do(ctx, &targetlink.Request{ID: id, Method: http.MethodGet, URI: path, Host: n.settings.Target.Address,
		Header: http.Header{n.options.Headers.RequestID: {id}}})
	if err != nil {
		return roster.Report{}, false
	}
	defer answer.Body.Close()
	report := roster.Report{Instance: answer.Header.Get(n.options.Headers.Instance), Service: service, Address: n.settings.Target.Address}
	if parts := strings.Split(answer.Header.Get(n.options.Headers.Load), ","); len(parts) == 3 {
		report.Slots, _ = strconv.Atoi(strings.TrimSpace(parts[2]))
	}
	report.Draining = answer.Status != http.StatusOK
	return report, report.Instance != ""
}

// storeTrouble logs the first of a row of failed calls.
func (n *Node) storeTrouble(what string, err error) {
	if n.storeDown.CompareAndSwap(false, true) {
		n.log.WithError(err).WithField("call", what).Warning("store lost")
	}
}

func (n *Node) storeWorks() {
	if n.storeDown.CompareAndSwap(true, false) {
		n.log.Info("store regained")
	}
}

// note logs a request that ended without a target's answer.
func (n *Node) note(x *exchange, status int, reason Reason) {
	if !n.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	fields := logrus.Fields{"request": x.id, "status": status, "reason": reason, "service": x.service, "took_ms": (n.now() - x.started).Milliseconds(), "arrivals": x.arrivals}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	n.log.WithFields(fields).Debug("refuse")
}

// Describe gives the state of the node as JSON, for people.
func (n *Node) Describe() ([]byte, error) {
	report, _ := n.target.report()
	return json.Marshal(map[string]any{"node": n.settings.Node, "version": n.version(), "target": report.Instance, "in_flight": n.inFlight.Load()})
}
