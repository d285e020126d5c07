// Package node puts one landingmastd together: data plane, claims, bundle
// dissemination, admin API, listeners, start and planned stop.
package node

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/claims"
	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/control"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/core/drain"
	"github.com/landingmast/landingmast/internal/mesh/dataplane"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/security"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/sirupsen/logrus"
)

// Version is the version of the program; the build may set it.
var Version = "0.1.0"

// Node is one running landingmastd.
type Node struct {
	settings    *config.Settings
	keyring     bundle.Keyring
	incarnation string
	started     time.Time
	log         *logrus.Entry
	metrics     *telemetry.Metrics
	recorder    *explain.Recorder
	store       platform.Store // nil without a platform
	peers       *control.Client
	transport   *http.Transport
	claims      *claims.Manager // nil for an entry
	plane       *dataplane.Plane
	spread      *spread
	servers     []*servers.Server
	listeners   []net.Listener
	callers     net.Listener // of an entry; one of listeners
	background  sync.WaitGroup

	mutex       sync.Mutex
	installed   *bundle.Installed
	previous    *bundle.Release // in force before; base of deltas
	machines    machineList
	drainedBy   string // why the node takes no new work; empty: it does
	readyToTake bool
}

// New makes a node from checked settings. Log lines go to output.
func New(settings *config.Settings, output io.Writer) (*Node, error) {
	keyring, err := settings.Keyring()
	if err != nil {
		return nil, err
	}
	identity, err := security.LoadIdentity(settings.TLS.Certificate, settings.TLS.Key, settings.TLS.Authorities)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: settings, keyring: keyring, incarnation: strconv.FormatUint(rand.Uint64(), 36), started: time.Now(),
		log: telemetry.NewLog(settings.Log, settings.Node, output), metrics: telemetry.NewMetrics(),
		recorder: explain.NewRecorder(explain.DefaultRequests),
	}
	if settings.Platform.Address != "" {
		n.store = platform.NewConsul(settings.Platform.Address, time.Duration(settings.Platform.Timeout))
	}
	n.transport = peerTransport(identity)
	n.peers = control.NewClient(n.transport, n.metrics)
	options := dataplane.Options{Node: settings.Node, Zone: settings.Zone, Metrics: n.metrics, Recorder: n.recorder, Peers: n.transport}
	if settings.Target != nil {
		n.claims = claims.New(claims.Options{
			Mesh: settings.Mesh, Self: claim.Executor{Node: settings.Node, Incarnation: n.incarnation}, Store: n.store, Peers: n.peers,
			Metrics: n.metrics, Log: n.log,
		})
		options.Target, options.Connections, options.Claims = settings.Target.Address, settings.Target.Connections, n.claims
	}
	n.plane = dataplane.New(options)
	n.spread = newSpread(n)
	return n, n.listen(identity)
}

func peerTransport(identity *security.Identity) *http.Transport {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: time.Second}, Config: identity.Client()}
	return dataplane.PeerTransport(dialer.DialContext)
}

// Bounds of the HTTP servers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	drainLimit    = 10 * time.Minute // the longest deadline that a class may have
	drainPoll     = 10 * time.Millisecond
)

// listen opens every listener before anything is served, so that an unusable
// address is refused at start.
func (n *Node) listen(identity *security.Identity) error {
	served := []struct {
		key     string
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{"listen.admin", n.settings.Listen.Admin, n.adminHandler(), nil},
		{"listen.peers", n.settings.Listen.Peers, n.plane.Ingress(control.NewServer(&peerHandler{n}, n.metrics)), identity.Server()},
		{"listen.egress", n.settings.Listen.Egress, n.plane.Egress(), nil},
		{"listen.callers", n.settings.Listen.Callers, n.plane.Entry(), nil},
	}
	for _, one := range served {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			n.closeListeners()
			return failure.Wrap(err, failure.BadInput, "name an address of this machine that is free", "settings: %s: %s", one.key, one.address)
		}
		if one.key == "listen.callers" {
			n.callers = listener
		}
		if one.tls != nil {
			listener = tls.NewListener(listener, one.tls)
		}
		n.listeners = append(n.listeners, listener)
		n.servers = append(n.servers, servers.New(listener, &http.Server{
			Handler: one.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
			ErrorLog: log.New(serverLog{n.log}, "", 0),
		}))
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// Run serves until ctx ends, then drains: new work is refused, what is in
// flight is finished, and only then does Run return. hurry ends the wait.
func (n *Node) Run(ctx, hurry context.Context) error {
	failed := make(chan error, len(n.servers))
	for _, server := range n.servers {
		go func() { failed <- server.Run() }()
	}
	background, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	n.background.Go(func() { n.spread.run(background) })
	if n.claims != nil {
		n.background.Go(func() { n.claims.Run(background) })
	}
	n.log.WithField("version", Version).WithField("incarnation", n.incarnation).Info("started")
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "look at the machine", "a listener stopped")
	case <-ctx.Done():
	}
	n.stop(hurry)
	return nil
}

// stop is the planned stop. New connections of callers are refused first; calls
// that come on open connections are still served by an entry and refused as not
// run beside a target, each with the request to close the connection. Ports stay
// open until nothing is in flight, because calls that are still running need the
// egress port and their peers.
func (n *Node) stop(hurry context.Context) {
	n.drain("stopping")
	n.plane.CloseConnections()
	if n.callers != nil {
		_ = n.callers.Close()
	}
	wait, cancel := context.WithTimeout(hurry, drainLimit)
	defer cancel()
	for began := time.Now(); wait.Err() == nil && n.awaits(began) != drain.Nothing; {
		time.Sleep(drainPoll)
	}
	n.log.WithField("in_flight", n.plane.InFlight()).Info("closing connections")
	servers.Close(wait, n.servers, func() int64 { return int64(n.plane.InFlight()) })
	n.plane.Close()
	n.log.WithField("in_flight", n.plane.InFlight()).Info("stopped")
}

// awaits is what a stop that began at a time waits for.
func (n *Node) awaits(began time.Time) drain.Awaits {
	return drain.For(drain.State{InFlight: n.plane.InFlight(), Began: time.Since(began), Kept: n.plane.SinceKept()})
}

// drain makes the node refuse new work; the first reason stays.
func (n *Node) drain(reason string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.beginDrain(reason)
}

// beginDrain is drain with the mutex held.
func (n *Node) beginDrain(reason string) {
	if n.drainedBy != "" {
		return
	}
	n.drainedBy = reason
	n.plane.Drain()
	n.log.WithField("reason", reason).Info("draining")
}

// install checks a release and puts it in force. An older or equal version
// changes nothing.
func (n *Node) install(release *bundle.Release) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.installed != nil && release.Version <= n.installed.Release.Version {
		return nil
	}
	opened, err := bundle.Open(release, n.keyring, n.installed)
	if err == nil && opened.Bundle.Mesh != n.settings.Mesh {
		err = failure.New(failure.Untrusted, "roll it in the mesh that it names", "release %d is for mesh %q", release.Version, opened.Bundle.Mesh)
	}
	if err != nil {
		if !failure.Is(err, failure.Missing) {
			n.metrics.BundlesRejected.Inc()
			n.log.WithError(err).Warning("release refused")
		}
		return err
	}
	if n.installed != nil {
		n.previous = n.installed.Release
	}
	n.installed = opened
	n.metrics.BundleVersion.Set(float64(opened.Bundle.Version))
	n.log.WithField("bundle_version", opened.Bundle.Version).WithField("signer", release.Signer).Info("bundle in force")
	n.apply()
	return nil
}

// apply brings bundle and machine list into the data plane. The mutex is held.
func (n *Node) apply() {
	if n.installed == nil {
		return
	}
	installed := n.installed.Bundle
	n.plane.SetBundle(installed, n.machines.leaving)
	self, service := installed.Node(n.settings.Node)
	if n.claims != nil && service != "" {
		n.claims.SetService(service, installed.Service(service).Targets)
	}
	n.spread.setPeers(installed, n.settings.Node)
	if self == nil {
		return
	}
	switch {
	case self.State == bundle.Leaving:
		n.beginDrain("leaving by bundle")
	case n.machines.leaving[self.Name]:
		n.beginDrain("leaving by machine list")
	}
}

func (n *Node) current() *bundle.Installed {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.installed
}

// Addresses gives the addresses listened on, for tests that use port 0.
func (n *Node) Addresses() []string {
	addresses := make([]string, 0, len(n.listeners))
	for _, listener := range n.listeners {
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}
