package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/target"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
)

// runFaults injects random faults for a span, atOnce at a time, while some clients open a connection
// per request and others reuse theirs. It returns the number of injections of each fault.
func (s *soak) runFaults(span time.Duration, seed uint64, atOnce int) string {
	ctx, end := context.WithTimeout(context.Background(), span)
	defer end()
	var clients, actors sync.WaitGroup
	for _, route := range s.mesh.Plan.Routes {
		if route.RequestsPerSecond > 0 {
			for range 4 {
				clients.Go(func() { s.mesh.Clients.SendPersistent(ctx, route) })
			}
		}
	}
	clients.Go(func() { s.mesh.Load(span) })
	counts, mu := map[string]int{}, sync.Mutex{}
	for actor := range atOnce {
		random := rand.New(rand.NewPCG(seed, uint64(actor)))
		actors.Go(func() {
			for ctx.Err() == nil {
				drawn := faults[random.IntN(len(faults))]
				mu.Lock()
				counts[drawn.name]++
				mu.Unlock()
				drawn.play(s, random)
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
	}
	actors.Go(func() { s.runStatements(ctx, rand.New(rand.NewPCG(seed, statementActor))) })
	actors.Go(func() { s.runDepartures(ctx, rand.New(rand.NewPCG(seed, departureActor))) })
	actors.Wait()
	clients.Wait()
	names := make([]string, 0, len(counts))
	for name, count := range counts {
		names = append(names, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// statementActor is the random stream of runStatements, apart from those of the other faults, so that a
// seed keeps what it draws of them.
const statementActor = 1 << 32

// runStatements has targets state rates or that they leave, beside the other faults.
func (s *soak) runStatements(ctx context.Context, random *rand.Rand) {
	kinds := trouble.Statements()
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))].Inject(s.mesh, random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// lateTolerance is added to time limits, because all processes of a run share the CPU of one host.
const lateTolerance = 3 * time.Second

// departureActor is the random stream of runDepartures.
const departureActor = 2 << 32

// minServe is how long a leaving target serves on at least, which exceeds what the judge allows for
// after a disturbance.
const minServe = testbed.DrainGracePeriod + judge.FaultRecovery + lateTolerance + time.Second

// runDepartures has targets leave while their nodes are restarted or suspended, beside the other faults.
func (s *soak) runDepartures(ctx context.Context, random *rand.Rand) {
	kinds := trouble.Departures(s.disturbNode, minServe)
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))].Inject(s.mesh, random)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// disturbNode kills, stops or suspends the node of a machine, unless another fault holds the machine.
func (s *soak) disturbNode(machine *testbed.Machine, random *rand.Rand) {
	way, span := random.IntN(4), time.Duration(random.IntN(2000))*time.Millisecond
	release, reserved := s.reserve(machine)
	if !reserved {
		return
	}
	defer release()
	over := s.reportDisturbed(machine)
	defer over()
	switch way {
	case 0:
		machine.Stop()
		restart(machine)
	case 1:
		s.pause(machine, span)
	default:
		machine.Kill()
		restart(machine)
	}
}

// readyTimeout is how long machines may take to become ready after the last fault.
const readyTimeout = 20 * time.Second

// waitReady waits until all machines are ready and their time limits apply again. It returns
// false after readyTimeout.
func (s *soak) waitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(s.mesh.Machines, func(machine *testbed.Machine) bool { return !machine.Ready() }) {
			time.Sleep(judge.FaultRecovery)
			return true
		}
	}
	return false
}

// servedAfterRecovery returns the share of requests served during a few seconds of load.
func (s *soak) servedAfterRecovery() float64 {
	s.mesh.Tally.ResetRequests()
	s.mesh.Load(3 * time.Second)
	served, asked := s.mesh.Tally.Totals()
	return float64(served) / float64(max(asked, 1))
}

// fault is a kind of fault that a soak injects.
type fault struct {
	name string
	play func(s *soak, random *rand.Rand)
}

// onReserved calls f concurrently for a random share of the machines, except those that another
// fault has reserved.
func (s *soak) onReserved(random *rand.Rand, share float64, f func(machine *testbed.Machine)) {
	var group sync.WaitGroup
	for _, machine := range s.mesh.RandomMachines(random, share) {
		release, taken := s.reserve(machine)
		if !taken {
			continue
		}
		group.Go(func() {
			defer release()
			f(machine)
		})
	}
	group.Wait()
}

// reportDisturbed reports a machine to the judge as faulty until the returned function is called.
func (s *soak) reportDisturbed(machine *testbed.Machine) (over func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			s.mesh.Judge.MarkDisturbed(machine.IP)
			select {
			case <-ended:
				s.mesh.Judge.MarkDisturbed(machine.IP)
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return func() { close(ended); <-done }
}

// restart starts a node again after the restart delay of the platform.
func restart(machine *testbed.Machine) {
	time.Sleep(testbed.RestartAfter)
	_ = machine.Start()
}

// killAndRestart kills and restarts the nodes of a random share of the machines.
func killAndRestart(s *soak, random *rand.Rand, share float64) {
	s.onReserved(random, share, func(machine *testbed.Machine) {
		over := s.reportDisturbed(machine)
		defer over()
		machine.Kill()
		restart(machine)
	})
}

// storeFault returns a function that injects a store fault for one to four seconds.
func storeFault(begin, end func(s *store.Store)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		s.mesh.Store.Set(begin)
		s.mesh.Judge.StoreFault(time.Duration(1+random.IntN(4)) * time.Second)
		s.mesh.Store.Set(end)
	}
}

// relayFault returns a function that injects a fault for one to four seconds into the relays in
// front of the store (0) or the target (1) of a random share of the machines.
func relayFault(which int, share float64, begin, end func(r *relay)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		span := time.Duration(1+random.IntN(4)) * time.Second
		var group sync.WaitGroup
		for _, machine := range s.mesh.RandomMachines(random, share) {
			relays, err := s.relaysOf(machine)
			if err != nil {
				continue
			}
			group.Go(func() {
				over := s.reportDisturbed(machine)
				defer over()
				begin(relays[which])
				time.Sleep(span)
				relays[which].set(end)
			})
		}
		group.Wait()
	}
}

// noop is the end of a fault that needs no cleanup.
func noop(*relay) {}

// meshFault adapts a fault of package trouble.
func meshFault(play func(mesh *testbed.Mesh, random *rand.Rand)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) { play(s.mesh, random) }
}

// faults lists all faults. Seeds select them by index, so their order matters.
var faults = []fault{
	{"kill", func(s *soak, random *rand.Rand) { killAndRestart(s, random, 0.15) }},
	{"kill many", func(s *soak, random *rand.Rand) { killAndRestart(s, random, 0.6) }},
	{"kill all", func(s *soak, random *rand.Rand) { killAndRestart(s, random, 1) }},
	{"suspend", func(s *soak, random *rand.Rand) {
		span := time.Duration(500+random.IntN(4000)) * time.Millisecond
		s.onReserved(random, 0.2, func(machine *testbed.Machine) {
			over := s.reportDisturbed(machine)
			defer over()
			s.pause(machine, span)
		})
	}},
	{"rolling stop", func(s *soak, random *rand.Rand) {
		for _, machine := range s.mesh.RandomMachines(random, 0.3) {
			if release, taken := s.reserve(machine); taken {
				machine.Stop()
				restart(machine)
				release()
			}
		}
	}},
	{"concurrent stop", func(s *soak, random *rand.Rand) {
		s.onReserved(random, 0.3, func(machine *testbed.Machine) { machine.Stop(); restart(machine) })
	}},
	{"stop, then kill", func(s *soak, random *rand.Rand) {
		wait := time.Duration(random.IntN(1500)) * time.Millisecond
		s.onReserved(random, 0.1, func(machine *testbed.Machine) {
			over := s.reportDisturbed(machine)
			defer over()
			s.terminate(machine)
			time.Sleep(wait)
			machine.Kill()
			restart(machine)
		})
	}},
	{"settings", func(s *soak, random *rand.Rand) {
		allowance := float64(30 + random.IntN(30))
		for _, machine := range s.mesh.RandomMachines(random, 0.5) {
			if release, taken := s.reserve(machine); taken {
				machine.Reload(func(s *settings.Settings) { s.Retries.Allowance = allowance })
				release()
			}
		}
	}},
	{"configuration", func(s *soak, random *rand.Rand) { trouble.AddUnusedRoute(s.mesh, random) }},
	{"successive configurations", func(s *soak, random *rand.Rand) {
		for range 10 {
			trouble.AddUnusedRoute(s.mesh, random)
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"store down", storeFault(func(s *store.Store) { s.Down = true }, func(s *store.Store) { s.Down = false })},
	{"store slow", storeFault(func(s *store.Store) { s.Slow = 300 * time.Millisecond }, func(s *store.Store) { s.Slow = 0 })},
	{"store loses responses", storeFault(func(s *store.Store) { s.DropTxnResponses = true }, func(s *store.Store) { s.DropTxnResponses = false })},
	{"store compacted and leases expired", func(s *soak, _ *rand.Rand) { s.mesh.Store.Compact(); s.mesh.Store.EndLeases() }},
	{"store unresponsive for some nodes", relayFault(0, 0.3, func(r *relay) { r.set(func(r *relay) { r.blockedDirs = [2]bool{true, true} }) }, func(r *relay) { r.blockedDirs = [2]bool{} })},
	{"store responses blocked for some nodes", relayFault(0, 0.3, func(r *relay) { r.set(func(r *relay) { r.blockedDirs[toClient] = true }) }, func(r *relay) { r.blockedDirs = [2]bool{} })},
	{"connections to the store reset", relayFault(0, 0.5, (*relay).reset, noop)},
	{"connections to the store blackholed", relayFault(0, 0.5, (*relay).blackhole, noop)},
	{"connections to targets reset", relayFault(1, 0.3, (*relay).reset, noop)},
	{"connections to targets blackholed", relayFault(1, 0.2, (*relay).blackhole, noop)},
	{"targets delayed", relayFault(1, 0.2, func(r *relay) { r.set(func(r *relay) { r.delay = 50 * time.Millisecond }) }, func(r *relay) { r.delay = 0 })},
	{"targets crash", func(s *soak, random *rand.Rand) {
		s.onReserved(random, 0.15, func(machine *testbed.Machine) {
			machine.Target.Stop()
			time.Sleep(2 * time.Second)
			_ = machine.Target.Start()
		})
	}},
	{"targets lose responses", meshFault(trouble.InjectTargetFaults(target.Faults{DropResponse: 0.1, TruncateResponse: 0.02, MalformedResponse: 0.02}, 0.5, 3*time.Second))},
	{"targets slow", meshFault(trouble.InjectTargetFaults(target.Faults{Slow: 5}, 0.2, 3*time.Second))},
	{"targets decline", meshFault(trouble.InjectTargetFaults(target.Faults{RejectRequest: 0.4, DuplicateResponse: 0.2}, 0.2, 3*time.Second))},
	{"harmful request", func(s *soak, random *rand.Rand) {
		route := s.mesh.Route([]int{0, 1, 3}[random.IntN(3)])
		path := fmt.Sprintf("%sharmful-%d", route.Prefix, random.IntN(1000))
		s.mesh.AddCrashing(route, path)
		for range 4 {
			s.mesh.SendCrashing(s.mesh.RandomMachine(), route, path)
			time.Sleep(time.Second)
		}
	}},
	{"burst", func(s *soak, _ *rand.Rand) {
		s.mesh.Clients.SetRateFactor(2)
		time.Sleep(2 * time.Second)
		s.mesh.Clients.SetRateFactor(0)
	}},
	{"clients disconnect", func(s *soak, _ *rand.Rand) {
		s.mesh.Clients.SetAbandonAfter(20 * time.Millisecond)
		time.Sleep(2 * time.Second)
		s.mesh.Clients.SetAbandonAfter(0)
	}},
}
