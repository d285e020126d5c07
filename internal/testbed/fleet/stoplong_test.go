package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// Guards against a planned stop that takes requests late in the grace period, passes them on, and closes their
// connections without an answer at its end. The targets work up to, and beyond, that end.
func TestPlannedStopAnswersLongRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  string
		stops []int // indexes of machines; the targets of the service "work" are at 2 to 4
	}{
		{"at most once, at another node", deployment.Unsafe, []int{0}},
		{"repeatable, at another node", deployment.Safe, []int{0}},
		{"at most once, at the own target", deployment.Unsafe, []int{2}},
		{"at most once, two nodes stop", deployment.Unsafe, []int{0, 2}},
		{"long bodies", deployment.Upload, []int{0, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			route := func(prefix string) deployment.Route {
				return deployment.Route{Prefix: prefix, Kind: tc.kind, Service: "work", MaxAttempts: 2, Timeout: 8 * time.Second, Objective: 8 * time.Second, Deadline: 9 * time.Second, Body: 100 << 10}
			}
			plan := deployment.Plan{
				Zones: []string{"a"}, Delay: time.Millisecond,
				Services: map[string]deployment.Service{
					"front": {Targets: 2, Slots: 50},
					"work": {Targets: 3, Slots: 200, Works: []target.Work{
						{Prefix: "/short/", Time: 50 * time.Millisecond, Bytes: 300},
						{Prefix: "/long/", Time: 3 * time.Second, Bytes: 300},
						{Prefix: "/longest/", Time: 6 * time.Second, Bytes: 300},
					}},
				},
				Routes: []deployment.Route{route("/short/"), route("/long/"), route("/longest/")},
			}
			var mutex sync.Mutex
			answers, cut := map[int]int{}, 0
			mesh := runMesh(t, plan, 20*time.Second, func(mesh *testbed.Mesh) {
				began := time.Now()
				stopAt := began.Add(8 * time.Second)
				var requests, stops sync.WaitGroup
				for _, index := range tc.stops {
					machine := mesh.Machines[index]
					origin := client.Origin{IP: machine.IP, Outbound: machine.Outbound(), Service: machine.Target.Service}
					for _, route := range mesh.Plan.Routes {
						requests.Go(func() {
							for time.Until(stopAt) > -5*time.Second {
								time.Sleep(100 * time.Millisecond)
								sent := time.Now()
								requests.Go(func() {
									status, _ := mesh.Clients.Attempt(context.Background(), origin, route, route.Prefix+"x", "", "", sent.Add(route.Deadline))
									mutex.Lock()
									defer mutex.Unlock()
									answers[status]++
									// A connection that is refused ends at once: the node reads no request then.
									if status == 0 && time.Since(sent) > 100*time.Millisecond {
										cut++
									}
								})
							}
						})
					}
				}
				time.Sleep(time.Until(stopAt))
				for _, index := range tc.stops {
					mesh.Judge.Stopping(mesh.Machines[index].IP)
					stops.Go(mesh.Machines[index].Stop)
				}
				stops.Wait()
				for _, index := range tc.stops {
					_ = mesh.Machines[index].Start()
				}
				requests.Wait()
			})
			t.Logf("answers %v", answers)
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(cut).To(BeZero(), "requests ended without an answer: %v", answers)
			g.Expect(answers[200]).To(BeNumerically(">", 100))
		})
	}
}
