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

// Day is a day of random troubles in a random deployment, drawn from a seed. The
// draw is the same each time; which goroutine runs first is the runtime's choice,
// so that two plays of a day can differ by it.
type Day struct {
	Seed     uint64
	Plan     deployment.Plan
	Troubles []Timed
	Harmful  []harmfulPlan
	Span     time.Duration
}

// harmfulPlan is a request that ends its targets and comes again all day.
type harmfulPlan struct {
	route  int
	call   bool // it is made as a call of a harmless one
	every  time.Duration
	atOnce int
}

// Timed is a trouble and when it comes.
type Timed struct {
	At time.Duration
	Kind
}

const daySpan = 14 * time.Second

// Draw draws a day.
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

// drawHarmful draws none to three harmful requests; a day has some in two of three cases.
func (d *Day) drawHarmful(random *rand.Rand) {
	for range max(random.IntN(5)-1, 0) {
		d.Harmful = append(d.Harmful, harmfulPlan{
			route: random.IntN(len(d.Plan.Routes)), call: random.IntN(3) == 0,
			every: time.Duration(500+random.IntN(4000)) * time.Millisecond, atOnce: 1 + random.IntN(3),
		})
	}
	// Requests to /chain call what is harmful in the deepest service.
	first, deepest := d.Plan.Services["s0"], len(d.Plan.Services)-1
	call := target.Call{Host: deployment.Host, Path: fmt.Sprintf("/s%d/harmful-call", deepest), Times: 1}
	first.Works = append([]target.Work{{Prefix: "/s0/chain", Time: 5 * time.Millisecond, Bytes: 100, Calls: []target.Call{call}}}, first.Works...)
	d.Plan.Services["s0"] = first
}

// sendHarm sends a harmful request again and again.
func sendHarm(m *testbed.Mesh, number int, one harmfulPlan, span time.Duration) {
	route := m.Plan.Routes[one.route]
	path := fmt.Sprintf("%sharmful-%d", route.Prefix, number)
	harmful, sent := path, path
	if deepest := len(m.Plan.Services) - 1; one.call && deepest > 0 {
		route = m.Plan.Routes[0]
		harmful, sent = fmt.Sprintf("/s%d/harmful-call", deepest), "/s0/chain"
	}
	m.AddHarmful(route, harmful)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(one.every) {
		for range one.atOnce {
			m.Go(func() { m.SendHarmful(m.Any(), route, sent) })
		}
	}
}

// drawPlan draws a deployment: one zone to six, services of one target to six,
// chains one to four deep.
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

// Play plays the troubles and the harmful requests of the day beside the clients' requests.
func (d Day) Play(mesh *testbed.Mesh) {
	var troubles sync.WaitGroup
	one := make(chan struct{}, 1) // troubles wait for each other; a mutex would stop virtual time
	for index, timed := range d.Troubles {
		troubles.Go(func() {
			time.Sleep(timed.At)
			one <- struct{}{}
			defer func() { <-one }()
			timed.Play(mesh, rand.New(rand.NewPCG(d.Seed, uint64(index))))
		})
	}
	for number, harmful := range d.Harmful {
		troubles.Go(func() { sendHarm(mesh, number, harmful, d.Span) })
	}
	mesh.Load(d.Span)
	troubles.Wait()
}

// Describe gives the troubles of a day on one line.
func (d Day) Describe() string {
	text := fmt.Sprintf("%d targets in %d services, %d zones:", d.Plan.Targets(), len(d.Plan.Services), len(d.Plan.Zones))
	for _, timed := range d.Troubles {
		text += fmt.Sprintf(" %s at %.1fs;", timed.Name, timed.At.Seconds())
	}
	return text + fmt.Sprintf(" %d harmful requests", len(d.Harmful))
}
