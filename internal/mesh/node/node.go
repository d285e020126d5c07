// Package node assembles a landingmastd process from the data plane, the claim protocol, bundle
// dissemination and the admin API, and controls its startup and graceful shutdown.
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

// Version is the program version, overridable at link time.
var Version = "0.1.0"

// Node is a landingmastd node.
type Node struct {
	settings       *config.Settings
	keyring        bundle.Keyring
	incarnation    string
	startTime      time.Time
	log            *logrus.Entry
	metrics        *telemetry.Metrics
	recorder       *explain.Recorder
	store          platform.Store // nil if no platform is configured
	controlClient  *control.Client
	transport      *http.Transport
	claims         *claims.Manager // nil for an entry (a node without a target)
	dataPlane      *dataplane.Plane
	disseminator   *disseminator
	servers        []*servers.Server
	listeners      []net.Listener
	callerListener net.Listener // listener for external callers, also in listeners; nil if not an entry
	background     sync.WaitGroup

	mu           sync.Mutex
	installed    *bundle.Installed
	previous     *bundle.Release // release before installed, the base of delta replies
	machines     machineList
	drainReason  string // empty while the node accepts new calls
	bootstrapped bool
}

// New returns a node with open listeners. The settings must be valid; log lines are written to
// output.
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
		settings: settings, keyring: keyring, incarnation: strconv.FormatUint(rand.Uint64(), 36), startTime: time.Now(),
		log: telemetry.NewLogger(settings.Log, settings.Node, output), metrics: telemetry.NewMetrics(),
		recorder: explain.NewRecorder(explain.DefaultRequests),
	}
	if settings.Platform.Address != "" {
		n.store = platform.NewConsul(settings.Platform.Address, time.Duration(settings.Platform.Timeout))
	}
	n.transport = peerTransport(identity)
	n.controlClient = control.NewClient(n.transport, n.metrics)
	options := dataplane.Options{Node: settings.Node, Zone: settings.Zone, Metrics: n.metrics, Recorder: n.recorder, Peers: n.transport}
	if settings.Target != nil {
		n.claims = claims.New(claims.Options{
			Mesh: settings.Mesh, Self: claim.Executor{Node: settings.Node, Incarnation: n.incarnation}, Store: n.store, Peers: n.controlClient,
			Metrics: n.metrics, Log: n.log,
		})
		options.Target, options.MaxConnections, options.Claims = settings.Target.Address, settings.Target.Connections, n.claims
	}
	n.dataPlane = dataplane.New(options)
	n.disseminator = newDisseminator(n)
	return n, n.listen(identity)
}

func peerTransport(identity *security.Identity) *http.Transport {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: time.Second}, Config: identity.Client()}
	return dataplane.PeerTransport(dialer.DialContext)
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	drainTimeout      = 10 * time.Minute // maximum deadline of a class
	drainPollInterval = 10 * time.Millisecond
)

// listen opens all listeners before any is served, so that an address that cannot be bound fails
// the start.
func (n *Node) listen(identity *security.Identity) error {
	endpoints := []struct {
		key     string
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{"listen.admin", n.settings.Listen.Admin, n.adminHandler(), nil},
		{"listen.peers", n.settings.Listen.Peers, n.dataPlane.Ingress(control.NewServer(&peerHandler{n}, n.metrics)), identity.Server()},
		{"listen.egress", n.settings.Listen.Egress, n.dataPlane.Egress(), nil},
		{"listen.callers", n.settings.Listen.Callers, n.dataPlane.Entry(), nil},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			n.closeListeners()
			return failure.Wrap(err, failure.BadInput, "configure a free address of this host", "settings: %s: cannot listen on %s", endpoint.key, endpoint.address)
		}
		if endpoint.key == "listen.callers" {
			n.callerListener = listener
		}
		if endpoint.tls != nil {
			listener = tls.NewListener(listener, endpoint.tls)
		}
		n.listeners = append(n.listeners, listener)
		n.servers = append(n.servers, servers.New(listener, &http.Server{
			Handler: endpoint.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: log.New(httpErrorLog{n.log}, "", 0),
		}))
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// Run serves until ctx is done, then shuts down gracefully: it refuses new calls and returns after
// the calls in flight have completed. Cancelling force ends that wait.
func (n *Node) Run(ctx, force context.Context) error {
	failed := make(chan error, len(n.servers))
	for _, server := range n.servers {
		go func() { failed <- server.Run() }()
	}
	background, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	n.background.Go(func() { n.disseminator.run(background) })
	if n.claims != nil {
		n.background.Go(func() { n.claims.Run(background) })
	}
	n.log.WithField("version", Version).WithField("incarnation", n.incarnation).Info("started")
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "check the network of the host and restart the node", "server failed")
	case <-ctx.Done():
	}
	n.stop(force)
	return nil
}

// stop shuts the node down gracefully. It first closes the listener for external callers. On open
// connections, an entry still serves calls and a node with a target refuses them as not run; both
// ask the sender to close the connection. The other ports stay open until no calls are in flight,
// because running calls need the egress port and the peers.
func (n *Node) stop(force context.Context) {
	n.drain("stopping")
	n.dataPlane.CloseConnections()
	if n.callerListener != nil {
		_ = n.callerListener.Close()
	}
	drainCtx, cancel := context.WithTimeout(force, drainTimeout)
	defer cancel()
	for began := time.Now(); drainCtx.Err() == nil && n.drainPending(began) != drain.WaitNone; {
		time.Sleep(drainPollInterval)
	}
	n.log.WithField("in_flight", n.dataPlane.InFlight()).Info("closing connections")
	servers.Close(drainCtx, n.servers, func() int64 { return int64(n.dataPlane.InFlight()) })
	n.dataPlane.Close()
	n.log.WithField("in_flight", n.dataPlane.InFlight()).Info("stopped")
}

// drainPending returns what a shutdown that started at began still waits for.
func (n *Node) drainPending(began time.Time) drain.WaitCondition {
	return drain.NextWait(drain.State{InFlight: n.dataPlane.InFlight(), SinceStop: time.Since(began), SinceKeepAlive: n.dataPlane.SinceKeepAlive()})
}

// drain makes the node refuse new calls. Only the first call has an effect.
func (n *Node) drain(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drainLocked(reason)
}

// drainLocked is drain for callers that hold n.mu.
func (n *Node) drainLocked(reason string) {
	if n.drainReason != "" {
		return
	}
	n.drainReason = reason
	n.dataPlane.Drain()
	n.log.WithField("reason", reason).Info("draining")
}

// install verifies a release and applies its bundle. It ignores versions that aren't newer than
// the installed one.
func (n *Node) install(release *bundle.Release) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.installed != nil && release.Version <= n.installed.Release.Version {
		return nil
	}
	opened, err := bundle.Verify(release, n.keyring, n.installed)
	if err == nil && opened.Bundle.Mesh != n.settings.Mesh {
		err = failure.New(failure.Untrusted, "roll the release in the mesh that it names", "release %d is for mesh %q", release.Version, opened.Bundle.Mesh)
	}
	if err != nil {
		if !failure.Is(err, failure.NotFound) {
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
	n.applyLocked()
	return nil
}

// applyLocked applies the installed bundle and the machine list to the data plane, the claims and
// the dissemination. The caller holds n.mu.
func (n *Node) applyLocked() {
	if n.installed == nil {
		return
	}
	installed := n.installed.Bundle
	n.dataPlane.SetBundle(installed, n.machines.leaving)
	self, service := installed.Node(n.settings.Node)
	if n.claims != nil && service != "" {
		n.claims.SetService(service, installed.Service(service).Targets)
	}
	n.disseminator.setPeers(installed, n.settings.Node)
	if self == nil {
		return
	}
	switch {
	case self.State == bundle.Leaving:
		n.drainLocked("marked as leaving in the bundle")
	case n.machines.leaving[self.Name]:
		n.drainLocked("marked as leaving in the machine list")
	}
}

func (n *Node) currentBundle() *bundle.Installed {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.installed
}

// Addresses returns the listen addresses, for tests that use port 0.
func (n *Node) Addresses() []string {
	addresses := make([]string, 0, len(n.listeners))
	for _, listener := range n.listeners {
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}
