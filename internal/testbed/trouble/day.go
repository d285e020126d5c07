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

// Day is a random deployment and random troubles in it, drawn from a seed. A seed always draws
// the same day; two plays of it can differ, since the runtime chooses which goroutine runs
// first.
type Day struct {
	Seed     uint64
	Plan     deployment.Plan
	Troubles []Timed
	Harmful  []harmfulPlan
	Span     time.Duration // of the clients' requests
}

// harmfulPlan is a request that ends its targets and is sent again and again.
type harmfulPlan struct {
	route  int  // index in the plan
	call   bool // it reaches its targets as a call that a harmless request makes
	every  time.Duration
	atOnce int // clients that send it at a time
}

// Timed is a trouble and when it begins, counted from the begin of the day.
type Timed struct {
	At time.Duration
	Kind
}

// daySpan is the length of a day.
const daySpan = 14 * time.Second

// Draw draws the day of a seed.
func Draw(seed uint64) Day {
	random := rand.New(rand.NewPCG(seed, 7))
	day := Day{Seed: seed, Plan: drawPlan(random), Span: daySpan}
	all := All()
	for range 2 + random.IntN(5) {
		day.Troubles = append(day.Troubles, Timed{
			At: time.Duration(random.Int64N(int64(daySpan * 3 / 4))), Kind: all[random.IntN(len(all))],
		})
	}
	day.drawHarmful(rand.New(rand.NewPCG(seed, 8)))
	return day
}

// drawHarmful draws up to three harmful requests: none in two of five days.
func (d *Day) drawHarmful(random *rand.Rand) {
	for range max(random.IntN(5)-1, 0) {
		d.Harmful = append(d.Harmful, harmfulPlan{
			route: random.IntN(len(d.Plan.Routes)), call: random.IntN(3) == 0,
			every: time.Duration(500+random.IntN(4000)) * time.Millisecond, atOnce: 1 + random.IntN(3),
		})
	}
	// Requests to /s0/chain make the harmful call to the deepest service.
	first, deepest := d.Plan.Services["s0"], len(d.Plan.Services)-1
	call := target.Call{Host: deployment.Host, Path: fmt.Sprintf("/s%d/harmful-call", deepest), Times: 1}
	first.Works = append([]target.Work{{Prefix: "/s0/chain", Time: 5 * time.Millisecond, Bytes: 100, Calls: []target.Call{call}}}, first.Works...)
	d.Plan.Services["s0"] = first
}

// sendHarm sends a harmful request again and again for a span.
func sendHarm(m *testbed.Mesh, number int, plan harmfulPlan, span time.Duration) {
	route := m.Plan.Routes[plan.route]
	path := fmt.Sprintf("%sharmful-%d", route.Prefix, number)
	harmful, sent := path, path
	if deepest := len(m.Plan.Services) - 1; plan.call && deepest > 0 {
		route = m.Plan.Routes[0]
		harmful, sent = fmt.Sprintf("/s%d/harmful-call", deepest), "/s0/chain"
	}
	m.AddHarmful(route, harmful)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(plan.every) {
		for range plan.atOnce {
			m.Go(func() { m.SendHarmful(m.Any(), route, sent) })
		}
	}
}

// drawPlan draws a deployment: one to six zones, one to six targets a service, chains of one to
// four services.
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
			Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: float64(random.IntN(60)),
		}, deployment.Route{
			Prefix: order.Prefix, Kind: deployment.Unsafe, Service: name, Priority: 0, MaxAttempts: tries, Timeout: time.Second,
			Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: float64(random.IntN(20)), Body: 200,
		})
	}
	return plan
}

// Play plays the troubles of the day, one at a time, and its harmful requests beside the
// clients' requests. It returns when all have ended.
func (d Day) Play(mesh *testbed.Mesh) {
	var troubles sync.WaitGroup
	turn := make(chan struct{}, 1) // of a trouble; waiting for a mutex would stop virtual time
	for index, timed := range d.Troubles {
		troubles.Go(func() {
			time.Sleep(timed.At)
			turn <- struct{}{}
			defer func() { <-turn }()
			timed.Play(mesh, rand.New(rand.NewPCG(d.Seed, uint64(index))))
		})
	}
	for number, harmful := range d.Harmful {
		troubles.Go(func() { sendHarm(mesh, number, harmful, d.Span) })
	}
	mesh.Load(d.Span)
	troubles.Wait()
}

// Describe returns the deployment and the troubles of the day on one line.
func (d Day) Describe() string {
	text := fmt.Sprintf("%d targets in %d services, %d zones:", d.Plan.Targets(), len(d.Plan.Services), len(d.Plan.Zones))
	for _, timed := range d.Troubles {
		text += fmt.Sprintf(" %s at %.1fs;", timed.Name, timed.At.Seconds())
	}
	return text + fmt.Sprintf(" %d harmful requests", len(d.Harmful))
}
