package trouble

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
)

// Scenario is a random deployment with a random fault schedule, generated from a seed. A seed
// always generates the same scenario; runs of it can differ in goroutine scheduling.
type Scenario struct {
	Seed    uint64
	Plan    deployment.Plan
	Faults  []ScheduledFault
	Harmful []harmfulRequest
	// Statements are faults that overlap with Faults.
	Statements []ScheduledFault
	// Departures are faults that overlap with Faults.
	Departures []ScheduledFault
	Duration   time.Duration // how long clients send requests
}

// harmfulRequest is a request that crashes its targets and is sent repeatedly.
type harmfulRequest struct {
	route       int  // index in Plan.Routes
	viaCall     bool // sent by a target as a downstream call instead of by the client
	interval    time.Duration
	concurrency int // simultaneous clients
}

// ScheduledFault is a fault with its start time, relative to the start of the scenario.
type ScheduledFault struct {
	Start time.Duration
	Kind
}

const scenarioDuration = 14 * time.Second

// GenerateScenario generates the scenario of a seed.
func GenerateScenario(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 7))
	day := Scenario{Seed: seed, Plan: drawPlan(random), Duration: scenarioDuration}
	all := All()
	for range 2 + random.IntN(5) {
		day.Faults = append(day.Faults, ScheduledFault{
			Start: time.Duration(random.Int64N(int64(scenarioDuration * 3 / 4))), Kind: all[random.IntN(len(all))],
		})
	}
	day.drawHarmful(rand.New(rand.NewPCG(seed, 8)))
	day.drawStatements(rand.New(rand.NewPCG(seed, 9)))
	day.drawDepartures(rand.New(rand.NewPCG(seed, 10)))
	return day
}

// drawHarmful generates zero to three harmful requests; two of five scenarios have none.
func (s *Scenario) drawHarmful(random *rand.Rand) {
	for range max(random.IntN(5)-1, 0) {
		s.Harmful = append(s.Harmful, harmfulRequest{
			route: random.IntN(len(s.Plan.Routes)), viaCall: random.IntN(3) == 0,
			interval: time.Duration(500+random.IntN(4000)) * time.Millisecond, concurrency: 1 + random.IntN(3),
		})
	}
	// Requests to /s0/chain make the harmful call to the deepest service.
	first, deepest := s.Plan.Services["s0"], len(s.Plan.Services)-1
	call := target.Call{Host: deployment.Host, Path: fmt.Sprintf("/s%d/harmful-call", deepest), Times: 1}
	first.Works = append([]target.Work{{Prefix: "/s0/chain", Time: 5 * time.Millisecond, Bytes: 100, Calls: []target.Call{call}}}, first.Works...)
	s.Plan.Services["s0"] = first
}

// drawStatements generates zero to two faults of targets that state something, and in one of three
// scenarios nodes of an earlier release.
func (s *Scenario) drawStatements(random *rand.Rand) {
	all := Statements()
	for range random.IntN(3) {
		s.Statements = append(s.Statements, ScheduledFault{
			Start: time.Duration(random.Int64N(int64(scenarioDuration / 2))), Kind: all[random.IntN(len(all))],
		})
	}
	if random.IntN(3) == 0 {
		old := random.Uint64()
		s.Plan.IgnoresState = func(index int, _ string) bool { return old>>(index%64)&1 == 1 }
	}
}

// drawDepartures generates zero to two faults of targets that leave.
func (s *Scenario) drawDepartures(random *rand.Rand) {
	all := Departures(KillOrStop, MinServe)
	for range random.IntN(3) {
		s.Departures = append(s.Departures, ScheduledFault{
			Start: time.Duration(random.Int64N(int64(scenarioDuration / 2))), Kind: all[random.IntN(len(all))],
		})
	}
}

// sendHarmful repeatedly sends a harmful request for the given time.
func sendHarmful(m *testbed.Mesh, number int, req harmfulRequest, span time.Duration) {
	route := m.Route(req.route)
	path := fmt.Sprintf("%sharmful-%d", route.Prefix, number)
	harmful, sent := path, path
	if deepest := len(m.Plan.Services) - 1; req.viaCall && deepest > 0 {
		route = m.Route(0)
		harmful, sent = fmt.Sprintf("/s%d/harmful-call", deepest), "/s0/chain"
	}
	m.AddCrashing(route, harmful)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(req.interval) {
		for range req.concurrency {
			m.Go(func() { m.SendCrashing(m.RandomMachine(), route, sent) })
		}
	}
}

// drawPlan generates a deployment with one to six zones and a chain of one to four services
// with one to six targets each.
func drawPlan(random *rand.Rand) deployment.Plan {
	plan := deployment.Plan{Delay: time.Duration(1+random.IntN(4)) * 500 * time.Microsecond, Services: map[string]deployment.Service{}}
	for zone := range 1 + random.IntN(6) {
		plan.Zones = append(plan.Zones, fmt.Sprintf("zone-%d", zone))
	}
	depth := 1 + random.IntN(4)
	for level := range depth {
		name := fmt.Sprintf("s%d", level)
		read := target.Work{Prefix: "/" + name + "/", Time: time.Duration(5+random.IntN(30)) * time.Millisecond, Bytes: 100 + random.IntN(3000)}
		order := target.Work{Prefix: "/order" + name + "/", Time: time.Duration(5+random.IntN(30)) * time.Millisecond, Bytes: 100 + random.IntN(1000)}
		if level+1 < depth {
			call := target.Call{Host: deployment.Host, Path: fmt.Sprintf("/s%d/x", level+1), Times: 1 + random.IntN(2)}
			read.Calls, order.Calls = []target.Call{call}, []target.Call{call}
		}
		plan.Services[name] = deployment.Service{
			Targets: 1 + random.IntN(6), Slots: 10 + random.IntN(30), Speeds: []float64{0.6, 1, 1.5}[:1+random.IntN(3)], Works: []target.Work{read, order},
		}
		tries := 1 + random.IntN(3)
		plan.Routes = append(plan.Routes, deployment.Route{
			Prefix: read.Prefix, Kind: deployment.Safe, Service: name, Priority: random.IntN(3), MaxAttempts: tries, Timeout: time.Second,
			Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: float64(random.IntN(60)),
		}, deployment.Route{
			Prefix: order.Prefix, Kind: deployment.Unsafe, Service: name, Priority: 0, MaxAttempts: tries, Timeout: time.Second,
			Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: float64(random.IntN(20)), Body: 200,
		})
	}
	return plan
}

// Run runs the client load with the scheduled faults, one at a time, and the harmful
// requests. It returns when all have completed.
func (s Scenario) Run(mesh *testbed.Mesh) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 1) // a mutex is not durably blocking in synctest and would stall the fake clock
	for index, fault := range s.Faults {
		group.Go(func() {
			time.Sleep(fault.Start)
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			fault.Inject(mesh, rand.New(rand.NewPCG(s.Seed, uint64(index))))
		})
	}
	for index, statement := range s.Statements {
		group.Go(func() {
			time.Sleep(statement.Start)
			statement.Inject(mesh, rand.New(rand.NewPCG(s.Seed, uint64(len(s.Faults)+index))))
		})
	}
	for index, departure := range s.Departures {
		group.Go(func() {
			time.Sleep(departure.Start)
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			departure.Inject(mesh, rand.New(rand.NewPCG(s.Seed, uint64(len(s.Faults)+len(s.Statements)+index))))
		})
	}
	for number, harmful := range s.Harmful {
		group.Go(func() { sendHarmful(mesh, number, harmful, s.Duration) })
	}
	mesh.Load(s.Duration)
	group.Wait()
}

// Describe returns a one-line summary of the deployment and its faults.
func (s Scenario) Describe() string {
	text := fmt.Sprintf("%d targets in %d services, %d zones:", s.Plan.Targets(), len(s.Plan.Services), len(s.Plan.Zones))
	for _, fault := range s.Faults {
		text += fmt.Sprintf(" %s at %.1fs;", fault.Name, fault.Start.Seconds())
	}
	for _, departure := range s.Departures {
		text += fmt.Sprintf(" %s at %.1fs;", departure.Name, departure.Start.Seconds())
	}
	for _, statement := range s.Statements {
		text += fmt.Sprintf(" %s at %.1fs;", statement.Name, statement.Start.Seconds())
	}
	if s.Plan.IgnoresState != nil {
		text += " nodes of an earlier release;"
	}
	return text + fmt.Sprintf(" %d harmful requests", len(s.Harmful))
}
