// Package trouble defines the faults that tests inject into a simulated deployment and
// generates random scenarios from seeds. The scenario of a seed must stay the same so that
// failures can be reproduced. Only tests import it.
package trouble

import (
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/target"
)

// Kind is a type of fault.
type Kind struct {
	Name string
	// MinServedShare is the minimum fraction of requests that must be served when this is the only
	// fault; 0 if only the invariants are checked.
	MinServedShare float64
	// Inject injects the fault and reverts it before returning.
	Inject func(mesh *testbed.Mesh, random *rand.Rand)
}

// InjectTargetFaults injects target faults into a random share of the targets for the given time.
func InjectTargetFaults(faults target.Faults, share float64, span time.Duration) func(*testbed.Mesh, *rand.Rand) {
	return func(mesh *testbed.Mesh, random *rand.Rand) {
		chosen := mesh.RandomMachines(random, share)
		for _, machine := range chosen {
			machine.Target.SetFaults(faults)
		}
		time.Sleep(span)
		for _, machine := range chosen {
			machine.Target.SetFaults(target.Faults{})
		}
	}
}

// withStoreFault injects a fault into the metadata store for the given time.
func withStoreFault(begin, end func(s *store.Store), span time.Duration) func(*testbed.Mesh, *rand.Rand) {
	return func(mesh *testbed.Mesh, _ *rand.Rand) {
		mesh.Store.Set(begin)
		mesh.Judge.StoreFault(span)
		mesh.Store.Set(end)
	}
}

// AddUnusedRoute publishes a configuration with an additional, unused route.
func AddUnusedRoute(mesh *testbed.Mesh, random *rand.Rand) {
	mesh.Configure(func(routes []deployment.Route) []deployment.Route {
		added := routes[random.IntN(len(routes))]
		added.Prefix, added.RequestsPerSecond = added.Prefix+"new/", 0
		return append(routes, added)
	})
}

// All returns all types of faults. The platform's names are used where it has one.
func All() []Kind {
	return []Kind{
		{"node_kill", 0.97, func(mesh *testbed.Mesh, random *rand.Rand) { testbed.KillAndRestart(mesh.RandomMachines(random, 0.1)) }},
		{"herd_kill", 0.85, func(mesh *testbed.Mesh, random *rand.Rand) { testbed.KillAndRestart(mesh.RandomMachines(random, 0.6)) }},
		{"roll_term", 0.98, func(mesh *testbed.Mesh, random *rand.Rand) {
			for _, machine := range mesh.RandomMachines(random, 0.4) {
				mesh.Judge.Stopping(machine.IP)
				machine.Stop()
				time.Sleep(testbed.RestartAfter)
				_ = machine.Start()
			}
		}},
		{"node_freeze", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.1)
			for _, machine := range chosen {
				mesh.Network.SetIsolated(machine.IP, true)
				mesh.Judge.Frozen(machine.IP)
			}
			mesh.ReportDisturbance(chosen, 3*time.Second)
			for _, machine := range chosen {
				mesh.Network.SetIsolated(machine.IP, false)
				mesh.Judge.Frozen(machine.IP)
			}
		}},
		{"suspended", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			mesh.Suspend(mesh.RandomMachines(random, 0.1), time.Duration(1+random.IntN(6))*time.Second)
		}},
		{"node_cut", 0.85, func(mesh *testbed.Mesh, random *rand.Rand) {
			Partition(mesh, mesh.RandomMachines(random, 0.2), 3*time.Second)
		}},
		{"core_cut", 0.99, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.2)
			for _, machine := range chosen {
				mesh.Network.SetBlocked(machine.IP, testbed.StoreHost, true)
				mesh.Network.SetBlocked(testbed.StoreHost, machine.IP, true)
			}
			mesh.Judge.StoreFault(4 * time.Second)
			for _, machine := range chosen {
				mesh.Network.SetBlocked(machine.IP, testbed.StoreHost, false)
				mesh.Network.SetBlocked(testbed.StoreHost, machine.IP, false)
			}
		}},
		{"reset_conns", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			for _, machine := range mesh.RandomMachines(random, 0.4) {
				mesh.Network.Reset(machine.IP, func() bool { return random.IntN(2) == 0 })
			}
		}},
		{"srv_slow", 0.97, InjectTargetFaults(target.Faults{Slow: 5}, 0.15, 4*time.Second)},
		{"srv_crash", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.15)
			for _, machine := range chosen {
				machine.Target.Stop()
			}
			time.Sleep(3 * time.Second)
			for _, machine := range chosen {
				_ = machine.Target.Start()
			}
		}},
		{"srv_grey shed", 0.9, InjectTargetFaults(target.Faults{RejectRequest: 0.45}, 0.15, 4*time.Second)},
		{"answer_lost", 0.9, InjectTargetFaults(target.Faults{DropResponse: 0.1}, 0.5, 3*time.Second)},
		{"garble", 0.95, InjectTargetFaults(target.Faults{TruncateResponse: 0.02, MalformedResponse: 0.02}, 0.5, 3*time.Second)},
		{"garble extra late", 0.95, InjectTargetFaults(target.Faults{DuplicateResponse: 0.2, RejectRequest: 0.1}, 0.6, 4*time.Second)},
		{"scale_in", 0.98, func(mesh *testbed.Mesh, random *rand.Rand) {
			target := mesh.RandomMachines(random, 0.05)[0].Target
			target.Drain(testbed.DrainGracePeriod + time.Second)
			_ = target.Start()
		}},
		{"platform_down", 0.99, withStoreFault(func(s *store.Store) { s.Down = true }, func(s *store.Store) { s.Down = false }, 4*time.Second)},
		{"platform_slow", 0.99, withStoreFault(func(s *store.Store) { s.Slow = 300 * time.Millisecond }, func(s *store.Store) { s.Slow = 0 }, 4*time.Second)},
		{"platform_lost", 0.99, withStoreFault(func(s *store.Store) { s.DropTxnResponses = true }, func(s *store.Store) { s.DropTxnResponses = false }, 4*time.Second)},
		{"platform_down lapse", 0.99, func(mesh *testbed.Mesh, _ *rand.Rand) {
			mesh.Store.Set(func(s *store.Store) { s.Down = true })
			mesh.Judge.StoreFault(2 * time.Second)
			mesh.Store.EndLeases()
			mesh.Store.Set(func(s *store.Store) { s.Down = false })
		}},
		{"platform_compact", 0.99, func(mesh *testbed.Mesh, random *rand.Rand) {
			mesh.Store.HideEvents()
			AddUnusedRoute(mesh, random)
			mesh.Judge.StoreFault(time.Second)
			mesh.Store.Compact()
		}},
		{"store refuses some", 0.97, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.3)
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range chosen {
					s.RateLimitedIPs[machine.IP] = true
				}
			})
			testbed.KillAndRestart(chosen)
			mesh.Judge.StoreFault(4 * time.Second)
			mesh.Store.Set(func(s *store.Store) { clear(s.RateLimitedIPs) })
		}},
		{"burst", 0.9, func(mesh *testbed.Mesh, _ *rand.Rand) {
			mesh.Clients.SetRateFactor(2)
			time.Sleep(3 * time.Second)
			mesh.Clients.SetRateFactor(0)
		}},
		// Abandoned requests are not served; the judge checks that none is executed after the client
		// has left.
		{"give_up", 0, func(mesh *testbed.Mesh, _ *rand.Rand) {
			mesh.Clients.SetAbandonAfter(20 * time.Millisecond)
			time.Sleep(4 * time.Second)
			mesh.Clients.SetAbandonAfter(0)
		}},
		{"hup", 0.99, func(mesh *testbed.Mesh, random *rand.Rand) {
			for _, machine := range mesh.RandomMachines(random, 0.5) {
				machine.Reload(func(s *settings.Settings) { s.Retries.Allowance = 40 })
				time.Sleep(200 * time.Millisecond)
			}
		}},
		{"config_storm", 0.99, func(mesh *testbed.Mesh, random *rand.Rand) {
			for range 20 {
				AddUnusedRoute(mesh, random)
				time.Sleep(100 * time.Millisecond)
			}
		}},
	}
}

// Partition partitions machines from all others for the given time without resetting
// connections.
func Partition(mesh *testbed.Mesh, chosen []*testbed.Machine, span time.Duration) {
	set := func(cut bool) {
		for _, machine := range chosen {
			for _, other := range mesh.Machines {
				if other != machine {
					mesh.Network.SetBlocked(machine.IP, other.IP, cut)
					mesh.Network.SetBlocked(other.IP, machine.IP, cut)
				}
			}
		}
	}
	set(true)
	mesh.ReportDisturbance(chosen, span)
	set(false)
}
