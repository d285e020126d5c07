// Package testbed runs simulated deployments in tests: a fake metadata store, machines with a
// real node and a simulated target each, clients, and a judge that checks what clients and
// targets observe. New runs the nodes in this process on an in-memory network, where time can
// be the fake clock of testing/synctest; NewInEnvironment runs them in a given Environment. Only tests
// import it.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/testbed/memnet"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/target"
	"github.com/landingmast/landingmast/platform"
)

// Mesh is a running deployment.
type Mesh struct {
	Plan     deployment.Plan
	Network  *memnet.Network // nil unless the deployment runs in memory
	Store    *store.Store
	Judge    *judge.Judge
	CrashSet *target.CrashSet
	Machines []*Machine
	Tally    *client.Stats
	Clients  *client.Clients

	mu          sync.Mutex   // guards version and the routes and tenants of Plan
	version     int          // last published configuration version
	initialKeys [][]string   // per tenant; clients keep using revoked keys
	server      *http.Server // serves Store
	group       sync.WaitGroup
	cancel      context.CancelFunc
	ctx         context.Context // canceled by Close
	env         Environment
}

// StoreHost is the host of the in-memory store.
const StoreHost = "10.0.0.1"

// StoreAddress is the listen address of the in-memory store.
const StoreAddress = StoreHost + ":80"

// StartupTime is the startup time of a deployment before the load begins.
const StartupTime = 3 * time.Second

// DrainGracePeriod is how long a draining target may still receive requests after its
// heartbeat is acknowledged.
const DrainGracePeriod = 2 * time.Second

// New starts a deployment in memory. On success the caller must call Close.
func New(plan deployment.Plan) (*Mesh, error) {
	zones := map[string]string{}
	network := memnet.New(func(from, to string) time.Duration {
		if zones[from] == zones[to] {
			return plan.Delay / 5
		}
		return plan.Delay
	})
	machineIP := func(number int) string { return fmt.Sprintf("10.1.%d.%d", number/200, number%200+1) }
	nodes := &inProcess{network: network, output: plan.LogOutput}
	m := newMesh(plan, Environment{Network: network, StoreAddress: StoreAddress, MachineIP: machineIP, Nodes: nodes})
	m.Network = network
	for _, machine := range m.Machines {
		zones[machine.IP] = machine.Zone
	}
	return m, m.start()
}

// NewInEnvironment starts a deployment in an environment. On success the caller must call Close.
func NewInEnvironment(plan deployment.Plan, env Environment) (*Mesh, error) {
	m := newMesh(plan, env)
	return m, m.start()
}

// newMesh creates a deployment without starting it.
func newMesh(plan deployment.Plan, env Environment) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		Plan: plan, Store: store.New(), Judge: judge.New(DrainGracePeriod), CrashSet: target.NewCrashSet(), ctx: ctx, cancel: cancel,
		Tally: client.NewTally(), env: env,
	}
	m.Store.ReadsPerSecond = plan.ReadsPerSecond
	m.Clients = &client.Clients{Judge: m.Judge, Tally: m.Tally, Dialer: env.Network.Dialer, PickCredentials: m.pickCredentials, PickOrigin: func() client.Origin { return m.RandomMachine().origin() }}
	m.server = &http.Server{Handler: m.Store}
	m.placeTargets()
	for _, tenant := range plan.Tenants {
		m.initialKeys = append(m.initialKeys, tenant.Keys)
	}
	m.Judge.SetTenants(nil, judgeTenants(plan.Tenants))
	return m
}

// start starts the store, the targets and the nodes.
func (m *Mesh) start() error {
	listener, err := m.env.Network.Listen(m.env.StoreAddress)
	if err != nil {
		return err
	}
	m.group.Go(func() { _ = m.server.Serve(listener) })
	m.Configure(nil)
	for _, machine := range m.Machines {
		if err := machine.Target.Start(); err != nil {
			return err
		}
		if err := machine.Start(); err != nil {
			return err
		}
		machine.firstStart = false
		m.group.Go(func() { machine.probeReadiness(m.ctx) })
	}
	return nil
}

// RandomMachine returns a random machine in rotation, or any machine if none is.
func (m *Mesh) RandomMachine() *Machine {
	candidates := make([]*Machine, 0, len(m.Machines))
	for _, machine := range m.Machines {
		if !machine.outOfRotation.Load() {
			candidates = append(candidates, machine)
		}
	}
	if len(candidates) == 0 {
		candidates = m.Machines
	}
	return candidates[rand.IntN(len(candidates))]
}

// Load sends requests at the route rates for the given time and returns when all have
// completed.
func (m *Mesh) Load(span time.Duration) {
	m.mu.Lock()
	routes := m.Plan.Routes
	m.mu.Unlock()
	m.Clients.Load(m.ctx, routes, span)
}

// Route returns a route of the last published configuration, by its index.
func (m *Mesh) Route(index int) deployment.Route {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Plan.Routes[index]
}

// Attempt sends a client request without an API key once.
func (m *Mesh) Attempt(machine *Machine, route deployment.Route, uri string, deadline time.Time) {
	m.Clients.Attempt(m.ctx, machine.origin(), route, uri, "", "", deadline)
}

// SendCrashing sends a request that crashes its target and retries it once on another machine.
func (m *Mesh) SendCrashing(machine *Machine, route deployment.Route, path string) {
	m.Clients.SendCrashing(m.ctx, machine.origin(), route, path)
}

// AddCrashing makes requests with the given path on a route crash their targets.
func (m *Mesh) AddCrashing(route deployment.Route, path string) {
	body := client.RequestBody(route)
	m.Judge.ExpectHarmful(path, body)
	m.CrashSet.Add(path, body)
}

// RandomMachines returns a random share of the machines, at least one.
func (m *Mesh) RandomMachines(random *rand.Rand, share float64) []*Machine {
	count := max(int(share*float64(len(m.Machines))+0.5), 1)
	chosen := make([]*Machine, 0, count)
	for _, index := range random.Perm(len(m.Machines))[:count] {
		chosen = append(chosen, m.Machines[index])
	}
	return chosen
}

// disturbanceInterval is how often ReportDisturbance notifies the judge.
const disturbanceInterval = 100 * time.Millisecond

// ReportDisturbance reports the links of machines as disturbed to the judge for the given time
// and then returns.
func (m *Mesh) ReportDisturbance(machines []*Machine, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(disturbanceInterval) {
		for _, machine := range machines {
			m.Judge.MarkDisturbed(machine.IP)
		}
	}
}

// Go runs f in a goroutine that Close waits for.
func (m *Mesh) Go(f func()) { m.group.Go(f) }

// Version returns the last published configuration version.
func (m *Mesh) Version() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// placeTargets creates a machine for each target, assigning zones round-robin.
func (m *Mesh) placeTargets() {
	for _, name := range m.Plan.ServiceNames() {
		service := m.Plan.Services[name]
		for index := range service.Targets {
			ip := m.env.MachineIP(len(m.Machines))
			zone := m.Plan.Zones[len(m.Machines)%len(m.Plan.Zones)]
			speed := 0.0
			if len(service.Speeds) > 0 {
				speed = service.Speeds[index%len(service.Speeds)]
			}
			m.Machines = append(m.Machines, &Machine{mesh: m, Index: len(m.Machines), IP: ip, Zone: zone, firstStart: true, clock: newMachineClock(), Target: &target.Target{
				Service: name, Address: ip + ":" + portTarget, Outbound: ip + ":" + portOutbound, Control: ip + ":" + portControl,
				Zone: zone, Slots: service.Slots, Speed: speed, Works: service.Works, Judge: m.Judge, CrashSet: m.CrashSet,
				Dial: m.env.Network.Dialer(ip), Listen: m.env.Network.Listen,
			}})
			if ignores := m.Plan.IgnoresState; ignores != nil && ignores(len(m.Machines)-1, name) {
				m.Machines[len(m.Machines)-1].ignoresState = true
				m.Judge.IgnoresState(ip)
			}
		}
	}
}

// Configure publishes a new configuration version with the routes returned by change; a nil
// change keeps them.
func (m *Mesh) Configure(change func(routes []deployment.Route) []deployment.Route) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if change != nil {
		m.Plan.Routes = change(append([]deployment.Route(nil), m.Plan.Routes...))
	}
	m.version += 2
	m.Store.Write(platform.ConfigurationKey, m.Plan.Configuration(m.version))
	return m.version
}

// closeGracePeriod lets pending dials and node timers finish before Close returns.
const closeGracePeriod = 10 * time.Second

// Close stops clients, targets, nodes and the store.
func (m *Mesh) Close() {
	m.cancel()
	m.CrashSet.Close()
	for _, machine := range m.Machines {
		machine.Target.Stop()
		machine.Kill()
	}
	_ = m.server.Close()
	if m.Network == nil {
		m.group.Wait()
		return
	}
	m.Network.Close()
	m.group.Wait()
	time.Sleep(closeGracePeriod)
}

// Followers returns the machines whose nodes read the store on behalf of others. In-process
// nodes only.
func (m *Mesh) Followers() (found []*Machine) {
	for _, machine := range m.Machines {
		machine.mu.Lock()
		if machine.node.IsFollower() {
			found = append(found, machine)
		}
		machine.mu.Unlock()
	}
	return found
}

// convergenceTimeout is the time within which all nodes must activate the last configuration:
// 2 s, plus 5 s for recovery from store faults.
const convergenceTimeout = 7 * time.Second

// CheckFinal runs the final checks: the invariants over the whole run and, after
// convergenceTimeout, that every node has activated the last configuration.
func (m *Mesh) CheckFinal() {
	m.Judge.CheckRun()
	time.Sleep(convergenceTimeout)
	last := uint64(m.Version())
	for _, machine := range m.Machines {
		m.Judge.CheckVersion(machine.IP, machine.Version(), last)
	}
}
