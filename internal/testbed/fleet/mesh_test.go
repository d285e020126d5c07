// Package fleet tests whole fleets of sidecar nodes, which run in one process, in virtual time
// and over a network in memory. Beside the tests it holds the deployment that they play, its
// targets and clients, the judge of what those saw, and the kinds of trouble.
package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/testbed/memnet"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/target"
	"github.com/landingmast/landingmast/platform"
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
	busy    sync.Mutex // held by a trouble of a soak
}

// Mesh is a deployment in memory: store, machines and clients.
type Mesh struct {
	Plan     deployment.Plan
	Network  *memnet.Network // nil in a soak
	Store    *store.Store
	Judge    *judge.Judge
	Harmful  *target.Harmful
	Machines []*Machine
	Tally    *client.Tally
	Clients  *client.Clients

	mutex     sync.Mutex // of the plan's routes and tenants, and the version
	version   int
	firstKeys [][]string // of the tenants; clients go on with keys that are taken away
	server    *http.Server
	group     sync.WaitGroup
	end       context.CancelFunc
	running   context.Context
	wires     wires
	soak      *soak // nil: nodes in this process, in virtual time
}

// wires are what the stand-ins speak over.
type wires interface {
	Listen(address string) (net.Listener, error)
	Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error)
}

const storeHost = "10.0.0.1"

// storeAddress is where the store listens.
const storeAddress = storeHost + ":80"

// Ports of every machine.
const (
	portTarget   = "8001"
	portOutbound = "8002"
	portInbound  = "8003"
	portReady    = "8004"
	portControl  = "8005"
)

// DrainBound is the bound of the rule DRAIN in a mesh.
const DrainBound = 2 * time.Second

// NewMesh starts a deployment in memory. Close must follow.
func NewMesh(plan deployment.Plan) (*Mesh, error) { return newMesh(plan, nil) }

// newMesh starts a deployment, with processes of their own for the nodes where it is a soak.
func newMesh(plan deployment.Plan, soak *soak) (*Mesh, error) {
	running, end := context.WithCancel(context.Background())
	m := &Mesh{
		Plan: plan, Store: store.New(), Judge: judge.New(DrainBound), Harmful: target.NewHarmful(), running: running, end: end,
		Tally: client.NewTally(),
	}
	m.Store.ReadsPerSecond = plan.ReadsPerSecond
	zones := map[string]string{}
	at := storeAddress
	if soak != nil {
		m.soak, m.wires, at = soak, loopback{}, soak.storeAddress()
	} else {
		m.Network = memnet.New(func(from, to string) time.Duration {
			if zones[from] == zones[to] {
				return plan.Delay / 5
			}
			return plan.Delay
		})
		m.wires = m.Network
	}
	m.Clients = &client.Clients{Judge: m.Judge, Tally: m.Tally, Dialer: m.wires.Dialer, Caller: m.caller, Any: func() client.Origin { return m.anyIn().origin() }}
	listener, err := m.wires.Listen(at)
	if err != nil {
		return nil, err
	}
	m.server = &http.Server{Handler: m.Store}
	m.group.Go(func() { _ = m.server.Serve(listener) })
	m.place(zones)
	for _, tenant := range plan.Tenants {
		m.firstKeys = append(m.firstKeys, tenant.Keys)
	}
	m.Judge.SetTenants(nil, tenantsOf(plan.Tenants))
	m.Configure(nil)
	for _, machine := range m.Machines {
		if err := machine.Target.Start(); err != nil {
			return nil, err
		}
		if err := machine.Start(); err != nil {
			return nil, err
		}
		machine.first = false
		m.group.Go(func() { machine.askReady(running) })
	}
	return m, nil
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

// anyIn gives a machine whose clients get work.
func (m *Mesh) anyIn() *Machine {
	in := make([]*Machine, 0, len(m.Machines))
	for _, machine := range m.Machines {
		if !machine.out.Load() {
			in = append(in, machine)
		}
	}
	if len(in) == 0 {
		in = m.Machines
	}
	return in[rand.IntN(len(in))]
}

// origin gives the machine as clients know it.
func (m *Machine) origin() client.Origin {
	return client.Origin{IP: m.IP, Outbound: m.IP + ":" + portOutbound, Service: m.Target.Service}
}

// Load sends the clients' requests for some time and waits for their ends.
func (m *Mesh) Load(span time.Duration) {
	m.mutex.Lock()
	routes := m.Plan.Routes
	m.mutex.Unlock()
	m.Clients.Load(m.running, routes, span)
}

// attempt is one attempt of a client without a key.
func (m *Mesh) attempt(machine *Machine, route deployment.Route, uri string, deadline time.Time) {
	m.Clients.Attempt(m.running, machine.origin(), route, uri, "", "", deadline)
}

// sendHarmful sends a harmful request on a route as a client does, with its retry.
func (m *Mesh) sendHarmful(machine *Machine, route deployment.Route, path string) {
	m.Clients.SendHarmful(m.running, machine.origin(), route, path)
}

// place lays the targets out over the zones in turn.
func (m *Mesh) place(zones map[string]string) {
	for _, name := range m.Plan.ServiceNames() {
		service := m.Plan.Services[name]
		for index := range service.Targets {
			ip := fmt.Sprintf("10.1.%d.%d", len(m.Machines)/200, len(m.Machines)%200+1)
			if m.soak != nil {
				ip = m.soak.machineIP(len(m.Machines))
			}
			zone := m.Plan.Zones[len(m.Machines)%len(m.Plan.Zones)]
			zones[ip] = zone
			speed := 0.0
			if len(service.Speeds) > 0 {
				speed = service.Speeds[index%len(service.Speeds)]
			}
			m.Machines = append(m.Machines, &Machine{mesh: m, IP: ip, Zone: zone, first: true, clock: newMachineClock(), Target: &target.Target{
				Service: name, Address: ip + ":" + portTarget, Outbound: ip + ":" + portOutbound, Control: ip + ":" + portControl,
				Zone: zone, Slots: service.Slots, Speed: speed, Works: service.Works, Judge: m.Judge, Harmful: m.Harmful,
				Dial: m.wires.Dialer(ip), Listen: m.wires.Listen,
			}})
		}
	}
}

// Configure writes a new version of the configuration; change may alter the
// routes before.
func (m *Mesh) Configure(change func(routes []deployment.Route) []deployment.Route) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if change != nil {
		m.Plan.Routes = change(append([]deployment.Route(nil), m.Plan.Routes...))
	}
	m.version += 2
	m.Store.Write(platform.ConfigurationKey, m.Plan.Configuration(m.version))
	return m.version
}

// closeTime lets dials that hang and timers of the nodes come to their ends.
const closeTime = 10 * time.Second

// Close ends everything.
func (m *Mesh) Close() {
	m.end()
	m.Harmful.Close()
	for _, machine := range m.Machines {
		machine.Target.Stop()
		machine.Kill()
	}
	_ = m.server.Close()
	if m.soak != nil {
		m.group.Wait()
		return
	}
	m.Network.Close()
	m.group.Wait()
	time.Sleep(closeTime)
}

// settings are those of the machine's node.
func (m *Machine) settings() *settings.Settings {
	checked := &settings.Settings{
		Node: "node-" + m.IP, Zone: m.Zone, FirstStart: m.first,
		Target: settings.Target{Service: m.Target.Service, Address: m.Target.Address},
		Listen: settings.Listen{Outbound: m.IP + ":" + portOutbound, Inbound: m.IP + ":" + portInbound, Ready: m.IP + ":" + portReady, Control: m.IP + ":" + portControl},
		Store:  settings.Store{Address: storeAddress, ReadsPerSecond: float64(m.mesh.Plan.ReadsPerSecond)},
	}
	checked.Keys.FailClosed = true
	checked.SetDefaults()
	return checked
}

// Start starts the node of a machine.
func (m *Machine) Start() error {
	m.mesh.Judge.Restarted(m.IP)
	if m.mesh.soak != nil {
		return m.mesh.soak.start(m)
	}
	checked := m.settings()
	output := m.mesh.Plan.Output
	if output == nil {
		output = io.Discard
	}
	store := platform.NewStore(storeAddress, m.mesh.Network.Dialer(m.IP))
	node, err := sidecar.New(checked, sidecar.Options{
		Headers: platform.Headers(), Store: store, ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, NodePrefix: platform.NodePrefix, QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashKey,
		ReadIntent: platform.ReadIntent, Control: func(targets *sidecar.Targets) http.Handler { return platform.Heartbeats(targets) },
		Ready: platform.Readiness, Output: output, Listen: m.mesh.Network.Listen, Dial: m.mesh.Network.Dialer(m.IP), Clock: m.clock,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	now, hurry := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	m.mutex.Lock()
	m.node, m.stop, m.hurry, m.stopped = node, stop, hurry, stopped
	m.mutex.Unlock()
	go func() {
		defer close(stopped)
		_ = node.Run(ctx, now)
		store.Close()
	}()
	return nil
}

// Reload has the node take changed settings, as SIGHUP does.
func (m *Machine) Reload(change func(s *settings.Settings)) {
	changed := m.settings()
	change(changed)
	if m.mesh.soak != nil {
		m.mesh.soak.reload(m, changed)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.node.Reload(changed)
}

// Stop is the planned stop of the machine's node; it returns when the node has ended.
func (m *Machine) Stop() {
	if m.mesh.soak != nil {
		m.mesh.soak.stop(m)
		return
	}
	m.mutex.Lock()
	stop, stopped := m.stop, m.stopped
	m.mutex.Unlock()
	stop()
	<-stopped
}

// Kill ends the machine's node at once; its target goes on.
func (m *Machine) Kill() {
	if m.mesh.soak != nil {
		m.mesh.soak.kill(m)
		return
	}
	m.mutex.Lock()
	stop, hurry, stopped := m.stop, m.hurry, m.stopped
	m.mutex.Unlock()
	if stop == nil {
		return
	}
	hurry()
	stop()
	<-stopped
}

// Version gives the version of the configuration that is in force on the node.
func (m *Machine) Version() uint64 {
	if m.mesh.soak != nil {
		return m.mesh.soak.version(m)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.node.Version()
}

// peers gives the number of other nodes that the node knows.
func (m *Machine) peers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.node.Peers()
}

// followers gives the machines whose nodes follow the store.
func (m *Mesh) followers() (found []*Machine) {
	for _, machine := range m.Machines {
		machine.mutex.Lock()
		if machine.node.Follows() {
			found = append(found, machine)
		}
		machine.mutex.Unlock()
	}
	return found
}

// Ready asks the node whether it takes work.
func (m *Machine) Ready() bool {
	client := &http.Client{Transport: &http.Transport{DialContext: m.mesh.wires.Dialer(m.IP), DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + m.IP + ":" + portReady + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// inForceAfter is when the last version must be in force on every node, whatever
// happened before: the bound, and its stretch after disruptions of the store.
const inForceAfter = 7 * time.Second

// checkEnd ends a day: rules that count are held against what was seen, and after
// some quiet time the last configuration is in force everywhere.
func (m *Mesh) checkEnd() {
	m.Judge.CheckDay()
	time.Sleep(inForceAfter)
	m.mutex.Lock()
	last := uint64(m.version)
	m.mutex.Unlock()
	for _, machine := range m.Machines {
		m.Judge.CheckVersion(machine.IP, machine.Version(), last)
	}
}
