package testbed

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/target"
)

// Machine is a machine of a deployment: a node and a target.
type Machine struct {
	mesh   *Mesh
	IP     string
	Zone   string
	Target *target.Target

	out     atomic.Bool        // its clients get no new work
	mu      sync.Mutex         // of node, stop, hurry and stopped
	stop    context.CancelFunc // asks the node in this process to stop
	hurry   context.CancelFunc // cuts its stop short
	stopped chan struct{}      // closed when it has ended
	first   bool               // the node starts for the first time
	node    *sidecar.Node
	clock   *machineClock
}

// Ports of every machine.
const (
	portTarget   = "8001"
	portOutbound = "8002"
	portInbound  = "8003"
	portReady    = "8004"
	portControl  = "8005"
)

// settings returns the settings of the node.
func (m *Machine) settings() *settings.Settings {
	chosen := &settings.Settings{
		Node: "node-" + m.IP, Zone: m.Zone, FirstStart: m.first,
		Target: settings.Target{Service: m.Target.Service, Address: m.Target.Address},
		Listen: settings.Listen{Outbound: m.Outbound(), Inbound: m.Inbound(), Ready: m.IP + ":" + portReady, Control: m.IP + ":" + portControl},
		Store:  settings.Store{Address: m.mesh.env.StoreAddress, ReadsPerSecond: float64(m.mesh.Plan.ReadsPerSecond)},
	}
	chosen.Keys.FailClosed = true
	chosen.SetDefaults()
	return chosen
}

// Start starts the node.
func (m *Machine) Start() error {
	m.mesh.Judge.Restarted(m.IP)
	return m.mesh.env.Nodes.Start(m, m.settings())
}

// Reload makes the node read changed settings, as SIGHUP does.
func (m *Machine) Reload(change func(s *settings.Settings)) {
	changed := m.settings()
	change(changed)
	m.mesh.env.Nodes.Reload(m, changed)
}

// Stop stops the node as planned and returns when it has ended.
func (m *Machine) Stop() { m.mesh.env.Nodes.Stop(m) }

// Kill ends the node at once; the target goes on.
func (m *Machine) Kill() { m.mesh.env.Nodes.Kill(m) }

// Version returns the version of the configuration in force on the node; 0: none is known.
func (m *Machine) Version() uint64 { return m.mesh.env.Nodes.Version(m) }

// Peers returns the number of other nodes that the node knows. It works in memory only.
func (m *Machine) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Peers()
}

// Ready reports whether the node says that it takes requests.
func (m *Machine) Ready() bool {
	prober := &http.Client{Transport: &http.Transport{DialContext: m.mesh.env.Network.Dialer(m.IP), DisableKeepAlives: true}, Timeout: time.Second}
	response, err := prober.Get("http://" + m.IP + ":" + portReady + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// How the platform probes whether nodes are ready.
const (
	readyEvery  = time.Second
	readyMisses = 2 // in a row, after which clients on the machine get no new work
)

// askReady probes the node until ctx is done.
func (m *Machine) askReady(ctx context.Context) {
	misses := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyEvery):
		}
		if m.Ready() {
			misses = 0
		} else {
			misses++
		}
		m.out.Store(misses >= readyMisses)
	}
}

// Outbound returns the address of the node for requests from its machine.
func (m *Machine) Outbound() string { return m.IP + ":" + portOutbound }

// Inbound returns the address of the node for other nodes.
func (m *Machine) Inbound() string { return m.IP + ":" + portInbound }

// TakeOut keeps new work from the clients of the machine until the next probe.
func (m *Machine) TakeOut() { m.out.Store(true) }

// origin returns the machine as clients know it.
func (m *Machine) origin() client.Origin {
	return client.Origin{IP: m.IP, Outbound: m.Outbound(), Service: m.Target.Service}
}

// RestartAfter is the pause in which the platform starts a process again.
const RestartAfter = 400 * time.Millisecond

// KillAndRestart breaks the connections of machines, kills their nodes and starts them again.
func KillAndRestart(machines []*Machine) {
	for _, machine := range machines {
		machine.mesh.Network.Reset(machine.IP, nil)
		machine.Kill()
	}
	time.Sleep(RestartAfter)
	for _, machine := range machines {
		_ = machine.Start()
	}
}
