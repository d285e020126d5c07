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

// Machine is a simulated host with a node and a target.
type Machine struct {
	mesh   *Mesh
	Index  int // in Mesh.Machines
	IP     string
	Zone   string
	Target *target.Target

	outOfRotation atomic.Bool        // clients send no new requests from this machine
	mu            sync.Mutex         // guards stop, abort, stopped, killed and node
	stop          context.CancelFunc // starts a graceful shutdown of an in-process node
	abort         context.CancelFunc // aborts the graceful shutdown
	stopped       chan struct{}      // closed when the node has stopped
	killed        *atomic.Bool       // cuts an in-process node off
	firstStart    bool               // the node has not been started before
	ignoresState  bool               // the node does not follow what targets state
	node          *sidecar.Node
	clock         *machineClock
}

// Ports of nodes and targets.
const (
	portTarget   = "8001"
	portOutbound = "8002"
	portInbound  = "8003"
	portReady    = "8004"
	portControl  = "8005"
)

func (m *Machine) settings() *settings.Settings {
	chosen := &settings.Settings{
		Node: "node-" + m.IP, Zone: m.Zone, FirstStart: m.firstStart,
		Target: settings.Target{Service: m.Target.Service, Address: m.Target.Address},
		Listen: settings.Listen{Outbound: m.Outbound(), Inbound: m.Inbound(), Ready: m.IP + ":" + portReady, Control: m.IP + ":" + portControl},
		Store:  settings.Store{Address: m.mesh.env.StoreAddress, ReadsPerSecond: float64(m.mesh.Plan.ReadsPerSecond)},
	}
	chosen.Keys.FailClosed = true
	chosen.Policy.Off = append(chosen.Policy.Off, m.mesh.Plan.PolicyOff...)
	if m.ignoresState {
		chosen.Policy.Off = append(chosen.Policy.Off, settings.TargetState)
	}
	chosen.SetDefaults()
	return chosen
}

// Start starts the node.
func (m *Machine) Start() error {
	m.mesh.Judge.Restarted(m.IP)
	return m.mesh.env.Nodes.Start(m, m.settings())
}

// Reload applies changed settings, like SIGHUP.
func (m *Machine) Reload(change func(s *settings.Settings)) {
	changed := m.settings()
	change(changed)
	m.mesh.env.Nodes.Reload(m, changed)
}

// Stop shuts the node down gracefully and returns when it has stopped.
func (m *Machine) Stop() { m.mesh.env.Nodes.Stop(m) }

// Kill stops the node immediately; the target keeps running.
func (m *Machine) Kill() { m.mesh.env.Nodes.Kill(m) }

// Version returns the active configuration version of the node, or 0 if there is none.
func (m *Machine) Version() uint64 { return m.mesh.env.Nodes.Version(m) }

// Peers returns the number of peers known to the node. In-process nodes only.
func (m *Machine) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Peers()
}

// BodyBytes returns the memory that the node has reserved for bodies. In-process nodes only.
func (m *Machine) BodyBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.BodyBytes()
}

// Ready reports whether the readiness endpoint of the node returns 200.
func (m *Machine) Ready() bool {
	prober := &http.Client{Transport: &http.Transport{DialContext: m.mesh.env.Network.Dialer(m.IP), DisableKeepAlives: true}, Timeout: time.Second}
	response, err := prober.Get("http://" + m.IP + ":" + portReady + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Readiness probing.
const (
	readinessInterval  = time.Second
	readinessThreshold = 2 // consecutive failures that take the machine out of rotation
)

// probeReadiness polls the readiness endpoint until ctx is done.
func (m *Machine) probeReadiness(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readinessInterval):
		}
		if m.Ready() {
			failures = 0
		} else {
			failures++
		}
		m.outOfRotation.Store(failures >= readinessThreshold)
	}
}

// Outbound returns the node address for requests from local clients.
func (m *Machine) Outbound() string { return m.IP + ":" + portOutbound }

// Inbound returns the node address for requests from other nodes.
func (m *Machine) Inbound() string { return m.IP + ":" + portInbound }

// RemoveFromRotation takes the machine out of rotation until the next readiness probe.
func (m *Machine) RemoveFromRotation() { m.outOfRotation.Store(true) }

// origin returns the machine as an origin of client requests.
func (m *Machine) origin() client.Origin {
	return client.Origin{IP: m.IP, Outbound: m.Outbound(), Service: m.Target.Service}
}

// RestartAfter is the delay before the platform restarts a process.
const RestartAfter = 400 * time.Millisecond

// KillAndRestart resets the connections of machines, kills their nodes and restarts them.
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
