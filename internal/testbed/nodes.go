package testbed

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/memnet"
	"github.com/landingmast/landingmast/platform"
)

// Environment determines where a deployment runs.
type Environment struct {
	Network      Network
	StoreAddress string                  // listen address of the store
	MachineIP    func(number int) string // IP of a machine by its index
	Nodes        Nodes
}

// Network is the network of clients, targets and the store.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dialer returns the dial function of a host.
	Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error)
}

// Nodes manages the nodes of machines.
type Nodes interface {
	// Start starts a node with the given settings.
	Start(m *Machine, chosen *settings.Settings) error
	// Reload applies changed settings to a node.
	Reload(m *Machine, changed *settings.Settings)
	// Stop shuts a node down gracefully and returns when it has stopped.
	Stop(m *Machine)
	// Kill stops a node immediately if it is running.
	Kill(m *Machine)
	// Version returns the active configuration version, or 0 if there is none.
	Version(m *Machine) uint64
}

// inProcess runs nodes in this process on an in-memory network.
type inProcess struct {
	network *memnet.Network
	output  io.Writer // destination of the logs; nil discards them
}

// Start implements Nodes.
func (p *inProcess) Start(m *Machine, chosen *settings.Settings) error {
	output := p.output
	if output == nil {
		output = io.Discard
	}
	killed := &atomic.Bool{}
	dial := p.dialer(m.IP, killed)
	store := platform.NewStore(StoreAddress, dial)
	node, err := sidecar.New(chosen, sidecar.Options{
		Headers: platform.Headers(), Store: store, ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, NodePrefix: platform.NodePrefix, DeparturePrefix: platform.DeparturePrefix, QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashesKey,
		ParseIntent: platform.ParseConfiguration, Control: func(targets *sidecar.Targets) http.Handler { return platform.HeartbeatHandler(targets) },
		Ready: platform.ReadinessHandler, Output: output, Listen: p.network.Listen, Dial: dial, Clock: m.clock,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	m.mu.Lock()
	m.node, m.stop, m.abort, m.stopped, m.killed = node, stop, abort, stopped, killed
	m.mu.Unlock()
	go func() {
		defer close(stopped)
		_ = node.Run(ctx, abortCtx)
		store.Close()
	}()
	return nil
}

// dialer returns the dial function of a process, which fails once the process is killed.
func (p *inProcess) dialer(ip string, killed *atomic.Bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := p.network.Dialer(ip)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if killed.Load() {
			return nil, net.ErrClosed
		}
		return dial(ctx, network, address)
	}
}

// Reload implements Nodes.
func (p *inProcess) Reload(m *Machine, changed *settings.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.Reload(changed)
}

// Stop implements Nodes.
func (p *inProcess) Stop(m *Machine) {
	m.mu.Lock()
	stop, stopped := m.stop, m.stopped
	m.mu.Unlock()
	stop()
	<-stopped
}

// Kill implements Nodes. The code of a node that runs afterwards cannot reach any other process.
func (p *inProcess) Kill(m *Machine) {
	m.mu.Lock()
	stop, abort, stopped, killed := m.stop, m.abort, m.stopped, m.killed
	m.mu.Unlock()
	if stop == nil {
		return
	}
	killed.Store(true)
	p.network.Reset(m.IP, nil)
	abort()
	stop()
	<-stopped
}

// Version implements Nodes.
func (p *inProcess) Version(m *Machine) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Version()
}
