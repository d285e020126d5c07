// Package testbed runs whole deployments for tests: the stand-in of the platform's store, machines
// with a node and the stand-in of a target each, clients, and the judge of what clients and
// targets see. New runs nodes in this process over a network in memory, which is virtual time in
// a bubble of testing/synctest; NewIn runs them where an Environment says.
//
// It owns the machines, who of them gets work, and the configuration that the store has. It
// relies on the packages below it for the stand-ins, and on the sidecar and the platform's
// adapter for the nodes; neither knows of it. Only tests import it.
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

// Mesh is a running deployment: store, machines and clients.
type Mesh struct {
	Plan     deployment.Plan
	Network  *memnet.Network // nil if the deployment does not run in memory
	Store    *store.Store
	Judge    *judge.Judge
	Harmful  *target.Harmful
	Machines []*Machine
	Tally    *client.Tally
	Clients  *client.Clients

	mu        sync.Mutex   // of the plan's routes and tenants, and of version
	version   int          // of the configuration that was written last
	firstKeys [][]string   // of the tenants: clients go on using keys that are taken away
	server    *http.Server // of the store
	group     sync.WaitGroup
	end       context.CancelFunc
	running   context.Context // done by end
	env       Environment
}

// StoreHost is the host of the store in memory.
const StoreHost = "10.0.0.1"

// StoreAddress is where the store in memory listens.
const StoreAddress = StoreHost + ":80"

// Settle is the time that a deployment has before clients come.
const Settle = 3 * time.Second

// DrainBound is how long after its acknowledgement a leaving target may be reached.
const DrainBound = 2 * time.Second

// New starts a deployment in memory. After a success Close must be called.
func New(plan deployment.Plan) (*Mesh, error) {
	zones := map[string]string{}
	network := memnet.New(func(from, to string) time.Duration {
		if zones[from] == zones[to] {
			return plan.Delay / 5
		}
		return plan.Delay
	})
	machineIP := func(number int) string { return fmt.Sprintf("10.1.%d.%d", number/200, number%200+1) }
	nodes := &inProcess{network: network, output: plan.Output}
	m := newMesh(plan, Environment{Network: network, StoreAddress: StoreAddress, MachineIP: machineIP, Nodes: nodes})
	m.Network = network
	for _, machine := range m.Machines {
		zones[machine.IP] = machine.Zone
	}
	return m, m.start()
}

// NewIn starts a deployment in an environment. After a success Close must be called.
func NewIn(plan deployment.Plan, env Environment) (*Mesh, error) {
	m := newMesh(plan, env)
	return m, m.start()
}

// newMesh makes a deployment of which nothing runs yet.
func newMesh(plan deployment.Plan, env Environment) *Mesh {
	running, end := context.WithCancel(context.Background())
	m := &Mesh{
		Plan: plan, Store: store.New(), Judge: judge.New(DrainBound), Harmful: target.NewHarmful(), running: running, end: end,
		Tally: client.NewTally(), env: env,
	}
	m.Store.ReadsPerSecond = plan.ReadsPerSecond
	m.Clients = &client.Clients{Judge: m.Judge, Tally: m.Tally, Dialer: env.Network.Dialer, PickCredentials: m.caller, PickOrigin: func() client.Origin { return m.Any().origin() }}
	m.server = &http.Server{Handler: m.Store}
	m.place()
	for _, tenant := range plan.Tenants {
		m.firstKeys = append(m.firstKeys, tenant.Keys)
	}
	m.Judge.SetTenants(nil, tenantsOf(plan.Tenants))
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
		machine.first = false
		m.group.Go(func() { machine.askReady(m.running) })
	}
	return nil
}

// Any returns a random machine whose clients get work; of all, if none does.
func (m *Mesh) Any() *Machine {
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

// Load sends requests at the rates of the routes for a span and returns when all have ended.
func (m *Mesh) Load(span time.Duration) {
	m.mu.Lock()
	routes := m.Plan.Routes
	m.mu.Unlock()
	m.Clients.Load(m.running, routes, span)
}

// Attempt sends a request of a client without a key once.
func (m *Mesh) Attempt(machine *Machine, route deployment.Route, uri string, deadline time.Time) {
	m.Clients.Attempt(m.running, machine.origin(), route, uri, "", "", deadline)
}

// SendHarmful sends a harmful request on a route and repeats it once, as a client does.
func (m *Mesh) SendHarmful(machine *Machine, route deployment.Route, path string) {
	m.Clients.SendHarmful(m.running, machine.origin(), route, path)
}

// AddHarmful makes the requests with a path on a route end their targets.
func (m *Mesh) AddHarmful(route deployment.Route, path string) {
	body := client.RequestBody(route)
	m.Judge.ExpectHarmful(path, body)
	m.Harmful.Add(path, body)
}

// Some returns a random share of the machines, one at least.
func (m *Mesh) Some(random *rand.Rand, share float64) []*Machine {
	count := max(int(share*float64(len(m.Machines))+0.5), 1)
	chosen := make([]*Machine, 0, count)
	for _, index := range random.Perm(len(m.Machines))[:count] {
		chosen = append(chosen, m.Machines[index])
	}
	return chosen
}

// harmedEvery is how often the judge is reminded of disturbed links.
const harmedEvery = 100 * time.Millisecond

// HarmedFor returns after a span in which the judge knows that the links of machines are
// disturbed.
func (m *Mesh) HarmedFor(machines []*Machine, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(harmedEvery) {
		for _, machine := range machines {
			m.Judge.Harmed(machine.IP)
		}
	}
}

// Go runs f beside the mesh; Close waits for its end.
func (m *Mesh) Go(f func()) { m.group.Go(f) }

// Version returns the version of the configuration that was written last.
func (m *Mesh) Version() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// place distributes the targets over the zones in turn, each on a machine of its own.
func (m *Mesh) place() {
	for _, name := range m.Plan.ServiceNames() {
		service := m.Plan.Services[name]
		for index := range service.Targets {
			ip := m.env.MachineIP(len(m.Machines))
			zone := m.Plan.Zones[len(m.Machines)%len(m.Plan.Zones)]
			speed := 0.0
			if len(service.Speeds) > 0 {
				speed = service.Speeds[index%len(service.Speeds)]
			}
			m.Machines = append(m.Machines, &Machine{mesh: m, IP: ip, Zone: zone, first: true, clock: newMachineClock(), Target: &target.Target{
				Service: name, Address: ip + ":" + portTarget, Outbound: ip + ":" + portOutbound, Control: ip + ":" + portControl,
				Zone: zone, Slots: service.Slots, Speed: speed, Works: service.Works, Judge: m.Judge, Harmful: m.Harmful,
				Dial: m.env.Network.Dialer(ip), Listen: m.env.Network.Listen,
			}})
		}
	}
}

// Configure writes a new version of the configuration to the store, with the routes that change
// returns; a nil change leaves them.
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

// closeTime is the time in which dials that hang and timers of the nodes end.
const closeTime = 10 * time.Second

// Close stops clients, targets, nodes and the store.
func (m *Mesh) Close() {
	m.end()
	m.Harmful.Close()
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
	time.Sleep(closeTime)
}

// Followers returns the machines whose nodes read the store for others. It works in memory only.
func (m *Mesh) Followers() (found []*Machine) {
	for _, machine := range m.Machines {
		machine.mu.Lock()
		if machine.node.Follows() {
			found = append(found, machine)
		}
		machine.mu.Unlock()
	}
	return found
}

// inForceAfter is the time in which the last configuration has to be in force on every node,
// whatever happened before: 2 s, and 5 s more after disturbances of the store.
const inForceAfter = 7 * time.Second

// CheckEnd checks what is checked at the end: the rules that count over the whole time, and,
// after inForceAfter, that the last configuration is in force on every node.
func (m *Mesh) CheckEnd() {
	m.Judge.CheckDay()
	time.Sleep(inForceAfter)
	last := uint64(m.Version())
	for _, machine := range m.Machines {
		m.Judge.CheckVersion(machine.IP, machine.Version(), last)
	}
}
