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

// Machine is one machine of a mesh: a node and a target.
type Machine struct {
	mesh   *Mesh
	IP     string
	Zone   string
	Target *target.Target

	out     atomic.Bool // its clients get no new work: it was not ready twice in a row
	mutex   sync.Mutex
	stop    context.CancelFunc
	hurry   context.CancelFunc
	stopped chan struct{}
	first   bool
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

// settings are those of the machine's node.
func (m *Machine) settings() *settings.Settings {
	checked := &settings.Settings{
		Node: "node-" + m.IP, Zone: m.Zone, FirstStart: m.first,
		Target: settings.Target{Service: m.Target.Service, Address: m.Target.Address},
		Listen: settings.Listen{Outbound: m.Outbound(), Inbound: m.Inbound(), Ready: m.IP + ":" + portReady, Control: m.IP + ":" + portControl},
		Store:  settings.Store{Address: m.mesh.around.StoreAddress, ReadsPerSecond: float64(m.mesh.Plan.ReadsPerSecond)},
	}
	checked.Keys.FailClosed = true
	checked.SetDefaults()
	return checked
}

// Start starts the node of a machine.
func (m *Machine) Start() error {
	m.mesh.Judge.Restarted(m.IP)
	return m.mesh.around.Nodes.Start(m, m.settings())
}

// Reload has the node take changed settings, as SIGHUP does.
func (m *Machine) Reload(change func(s *settings.Settings)) {
	changed := m.settings()
	change(changed)
	m.mesh.around.Nodes.Reload(m, changed)
}

// Stop is the planned stop of the machine's node; it returns when the node has ended.
func (m *Machine) Stop() { m.mesh.around.Nodes.Stop(m) }

// Kill ends the machine's node at once; its target goes on.
func (m *Machine) Kill() { m.mesh.around.Nodes.Kill(m) }

// Version gives the version of the configuration that is in force on the node.
func (m *Machine) Version() uint64 { return m.mesh.around.Nodes.Version(m) }

// Peers gives the number of other nodes that the node knows.
func (m *Machine) Peers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.node.Peers()
}

// Ready asks the node whether it takes work.
func (m *Machine) Ready() bool {
	client := &http.Client{Transport: &http.Transport{DialContext: m.mesh.around.Network.Dialer(m.IP), DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + m.IP + ":" + portReady + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// The platform asks each node once a second; after so many misses the clients on
// its machine are given no new work until it is ready again.
const (
	readyEvery  = time.Second
	readyMisses = 2
)

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

// Outbound is the address of the node for requests of this machine.
func (m *Machine) Outbound() string { return m.IP + ":" + portOutbound }

// Inbound is the address of the node for other nodes.
func (m *Machine) Inbound() string { return m.IP + ":" + portInbound }

// TakeOut keeps new work from the machine's clients until it was asked next whether it is ready.
func (m *Machine) TakeOut() { m.out.Store(true) }

// origin gives the machine as clients know it.
func (m *Machine) origin() client.Origin {
	return client.Origin{IP: m.IP, Outbound: m.Outbound(), Service: m.Target.Service}
}

// RestartAfter is the pause before the platform starts a process again.
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
