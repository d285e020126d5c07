package testbed

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/memnet"
	"github.com/landingmast/landingmast/platform"
)

// Environment is where a deployment runs.
type Environment struct {
	Network      Network
	StoreAddress string                  // where the store listens
	MachineIP    func(number int) string // of the machines, from 0 on
	Nodes        Nodes
}

// Network is what the stand-ins communicate over.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dialer returns the function with which a host opens connections.
	Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error)
}

// Nodes runs the nodes of machines.
type Nodes interface {
	// Start starts a node with settings.
	Start(m *Machine, chosen *settings.Settings) error
	// Reload makes a node read changed settings.
	Reload(m *Machine, changed *settings.Settings)
	// Stop stops a node as planned and returns when it has ended.
	Stop(m *Machine)
	// Kill ends a node at once, if it runs.
	Kill(m *Machine)
	// Version returns the version of the configuration in force; 0: none is known.
	Version(m *Machine) uint64
}

// inProcess runs nodes in this process, over a network in memory.
type inProcess struct {
	network *memnet.Network
	output  io.Writer // takes the logs; nil: dropped
}

// Start implements Nodes.
func (p *inProcess) Start(m *Machine, chosen *settings.Settings) error {
	output := p.output
	if output == nil {
		output = io.Discard
	}
	store := platform.NewStore(StoreAddress, p.network.Dialer(m.IP))
	node, err := sidecar.New(chosen, sidecar.Options{
		Headers: platform.Headers(), Store: store, ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, NodePrefix: platform.NodePrefix, QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashKey,
		ReadIntent: platform.ReadIntent, Control: func(targets *sidecar.Targets) http.Handler { return platform.Heartbeats(targets) },
		Ready: platform.Readiness, Output: output, Listen: p.network.Listen, Dial: p.network.Dialer(m.IP), Clock: m.clock,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	now, hurry := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	m.mu.Lock()
	m.node, m.stop, m.hurry, m.stopped = node, stop, hurry, stopped
	m.mu.Unlock()
	go func() {
		defer close(stopped)
		_ = node.Run(ctx, now)
		store.Close()
	}()
	return nil
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

// Kill implements Nodes.
func (p *inProcess) Kill(m *Machine) {
	m.mu.Lock()
	stop, hurry, stopped := m.stop, m.hurry, m.stopped
	m.mu.Unlock()
	if stop == nil {
		return
	}
	hurry()
	stop()
	<-stopped
}

// Version implements Nodes.
func (p *inProcess) Version(m *Machine) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Version()
}
