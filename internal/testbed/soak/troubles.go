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

// troubled plays random troubles for a span, atOnce at a time, beside clients that open a
// connection for each request and clients that keep theirs. It returns how often it played each.
func (s *soak) troubled(span time.Duration, seed uint64, atOnce int) string {
	ctx, end := context.WithTimeout(context.Background(), span)
	defer end()
	var clients, actors sync.WaitGroup
	for _, route := range s.mesh.Plan.Routes {
		if route.PerSecond > 0 {
			for range 4 {
				clients.Go(func() { s.mesh.Clients.Keep(ctx, route) })
			}
		}
	}
	clients.Go(func() { s.mesh.Load(span) })
	counts, mu := map[string]int{}, sync.Mutex{}
	for actor := range atOnce {
		random := rand.New(rand.NewPCG(seed, uint64(actor)))
		actors.Go(func() {
			for ctx.Err() == nil {
				drawn := kinds[random.IntN(len(kinds))]
				mu.Lock()
				counts[drawn.name]++
				mu.Unlock()
				drawn.play(s, random)
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
	}
	actors.Wait()
	clients.Wait()
	names := make([]string, 0, len(counts))
	for name, count := range counts {
		names = append(names, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// calmTime is the time in which all machines have to be ready after the last trouble.
const calmTime = 20 * time.Second

// calmDown waits until all machines are ready and in touch; false: they were not in calmTime.
func (s *soak) calmDown() bool {
	for end := time.Now().Add(calmTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(s.mesh.Machines, func(machine *testbed.Machine) bool { return !machine.Ready() }) {
			time.Sleep(judge.Contact)
			return true
		}
	}
	return false
}

// servedInCalm returns the served share of the requests of some seconds.
func (s *soak) servedInCalm() float64 {
	s.mesh.Tally.ClearServed()
	s.mesh.Load(3 * time.Second)
	served, asked := s.mesh.Tally.Sums()
	return float64(served) / float64(max(asked, 1))
}

// kind is one kind of trouble of real processes.
type kind struct {
	name string
	play func(s *soak, random *rand.Rand)
}

// alone calls f for each machine of a random share, at the same time, and leaves out those that
// another trouble holds.
func (s *soak) alone(random *rand.Rand, share float64, f func(machine *testbed.Machine)) {
	var group sync.WaitGroup
	for _, machine := range s.mesh.Some(random, share) {
		release, taken := s.take(machine)
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

// unplanned reports a machine as disturbed to the judge until the returned function is called.
func (s *soak) unplanned(machine *testbed.Machine) (over func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			s.mesh.Judge.Harmed(machine.IP)
			select {
			case <-ended:
				s.mesh.Judge.Harmed(machine.IP)
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return func() { close(ended); <-done }
}

// restart starts a node again as the platform does.
func restart(machine *testbed.Machine) {
	time.Sleep(testbed.RestartAfter)
	_ = machine.Start()
}

// killed kills the nodes of a random share of the machines and starts them again.
func killed(s *soak, random *rand.Rand, share float64) {
	s.alone(random, share, func(machine *testbed.Machine) {
		over := s.unplanned(machine)
		defer over()
		machine.Kill()
		restart(machine)
	})
}

// storeFor sets a fault of the store for one to four seconds.
func storeFor(begin, end func(s *store.Store)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		s.mesh.Store.Set(begin)
		s.mesh.Judge.StoreTrouble(time.Duration(1+random.IntN(4)) * time.Second)
		s.mesh.Store.Set(end)
	}
}

// onRelays sets a fault of the relays before the store (0) or the target (1) of a random share
// of the machines for one to four seconds.
func onRelays(which int, share float64, begin, end func(r *relay)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		span := time.Duration(1+random.IntN(4)) * time.Second
		var group sync.WaitGroup
		for _, machine := range s.mesh.Some(random, share) {
			relays, err := s.relaysOf(machine)
			if err != nil {
				continue
			}
			group.Go(func() {
				over := s.unplanned(machine)
				defer over()
				begin(relays[which])
				time.Sleep(span)
				relays[which].set(end)
			})
		}
		group.Wait()
	}
}

// nothing ends a fault that needs no end.
func nothing(*relay) {}

// onMesh makes a trouble of every deployment one of the soak.
func onMesh(play func(mesh *testbed.Mesh, random *rand.Rand)) func(s *soak, random *rand.Rand) {
	return func(s *soak, random *rand.Rand) { play(s.mesh, random) }
}

// kinds are all kinds of trouble; a seed draws from them by index.
var kinds = []kind{
	{"kill", func(s *soak, random *rand.Rand) { killed(s, random, 0.15) }},
	{"kill many", func(s *soak, random *rand.Rand) { killed(s, random, 0.6) }},
	{"kill all", func(s *soak, random *rand.Rand) { killed(s, random, 1) }},
	{"freeze", func(s *soak, random *rand.Rand) {
		span := time.Duration(500+random.IntN(4000)) * time.Millisecond
		s.alone(random, 0.2, func(machine *testbed.Machine) {
			over := s.unplanned(machine)
			defer over()
			s.pause(machine, span)
		})
	}},
	{"stop in turn", func(s *soak, random *rand.Rand) {
		for _, machine := range s.mesh.Some(random, 0.3) {
			if release, taken := s.take(machine); taken {
				machine.Stop()
				restart(machine)
				release()
			}
		}
	}},
	{"stop at once", func(s *soak, random *rand.Rand) {
		s.alone(random, 0.3, func(machine *testbed.Machine) { machine.Stop(); restart(machine) })
	}},
	{"stop, then kill", func(s *soak, random *rand.Rand) {
		wait := time.Duration(random.IntN(1500)) * time.Millisecond
		s.alone(random, 0.1, func(machine *testbed.Machine) {
			over := s.unplanned(machine)
			defer over()
			s.stopping(machine)
			time.Sleep(wait)
			machine.Kill()
			restart(machine)
		})
	}},
	{"settings", func(s *soak, random *rand.Rand) {
		allowance := float64(30 + random.IntN(30))
		for _, machine := range s.mesh.Some(random, 0.5) {
			if release, taken := s.take(machine); taken {
				machine.Reload(func(s *settings.Settings) { s.Retries.Allowance = allowance })
				release()
			}
		}
	}},
	{"configuration", func(s *soak, random *rand.Rand) { trouble.NewRoute(s.mesh, random) }},
	{"configurations in series", func(s *soak, random *rand.Rand) {
		for range 10 {
			trouble.NewRoute(s.mesh, random)
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"store down", storeFor(func(s *store.Store) { s.Down = true }, func(s *store.Store) { s.Down = false })},
	{"store slow", storeFor(func(s *store.Store) { s.Slow = 300 * time.Millisecond }, func(s *store.Store) { s.Slow = 0 })},
	{"store loses answers", storeFor(func(s *store.Store) { s.LoseWrites = true }, func(s *store.Store) { s.LoseWrites = false })},
	{"store forgets", func(s *soak, _ *rand.Rand) { s.mesh.Store.Compact(); s.mesh.Store.EndLeases() }},
	{"store silent for some", onRelays(0, 0.3, func(r *relay) { r.set(func(r *relay) { r.cut = [2]bool{true, true} }) }, func(r *relay) { r.cut = [2]bool{} })},
	{"store cut one way for some", onRelays(0, 0.3, func(r *relay) { r.set(func(r *relay) { r.cut[back] = true }) }, func(r *relay) { r.cut = [2]bool{} })},
	{"connections to the store reset", onRelays(0, 0.5, (*relay).reset, nothing)},
	{"connections to the store silent for good", onRelays(0, 0.5, (*relay).silence, nothing)},
	{"connections to targets reset", onRelays(1, 0.3, (*relay).reset, nothing)},
	{"connections to targets silent for good", onRelays(1, 0.2, (*relay).silence, nothing)},
	{"targets delayed", onRelays(1, 0.2, func(r *relay) { r.set(func(r *relay) { r.delay = 50 * time.Millisecond }) }, func(r *relay) { r.delay = 0 })},
	{"targets crash", func(s *soak, random *rand.Rand) {
		s.alone(random, 0.15, func(machine *testbed.Machine) {
			machine.Target.Stop()
			time.Sleep(2 * time.Second)
			_ = machine.Target.Start()
		})
	}},
	{"targets lose answers", onMesh(trouble.Faulty(target.Faults{LoseAnswer: 0.1, CutShort: 0.02, Garbage: 0.02}, 0.5, 3*time.Second))},
	{"targets slow", onMesh(trouble.Faulty(target.Faults{Slow: 5}, 0.2, 3*time.Second))},
	{"targets decline", onMesh(trouble.Faulty(target.Faults{Decline: 0.4}, 0.2, 3*time.Second))},
	{"harmful request", func(s *soak, random *rand.Rand) {
		route := s.mesh.Plan.Routes[[]int{0, 1, 3}[random.IntN(3)]]
		path := fmt.Sprintf("%sharmful-%d", route.Prefix, random.IntN(1000))
		s.mesh.AddHarmful(route, path)
		for range 4 {
			s.mesh.SendHarmful(s.mesh.Any(), route, path)
			time.Sleep(time.Second)
		}
	}},
	{"burst", func(s *soak, _ *rand.Rand) {
		s.mesh.Clients.SetBurst(2)
		time.Sleep(2 * time.Second)
		s.mesh.Clients.SetBurst(0)
	}},
	{"clients leave", func(s *soak, _ *rand.Rand) {
		s.mesh.Clients.SetGiveUp(20 * time.Millisecond)
		time.Sleep(2 * time.Second)
		s.mesh.Clients.SetGiveUp(0)
	}},
}
