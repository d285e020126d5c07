package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// busyPlan returns a deployment in which requests of waitingRoute wait for seconds at the only target of
// "pay", behind those of a more important route.
func busyPlan(kind string) deployment.Plan {
	const work = 500 * time.Millisecond
	return deployment.Plan{
		Zones: []string{"a"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"front": {Targets: 3, Slots: 50, Works: []target.Work{{Prefix: "/chain/", Time: time.Millisecond, Bytes: 100, Calls: []target.Call{{Host: deployment.Host, Path: "/wait/x", Times: 1}}}}},
			"pay":   {Targets: 1, Slots: 5, Works: []target.Work{{Prefix: "/wait/", Time: work, Bytes: 100}, {Prefix: "/first/", Time: work, Bytes: 100}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/first/", Kind: deployment.Unsafe, Service: "pay", Priority: 0, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 6 * time.Second, Deadline: 8 * time.Second},
			{Prefix: "/wait/", Kind: kind, Service: "pay", Priority: 2, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 6 * time.Second, Deadline: 8 * time.Second},
			{Prefix: "/chain/", Kind: deployment.Safe, Service: "front", Priority: 2, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 6 * time.Second, Deadline: 8 * time.Second},
		},
	}
}

// Guards against a planned stop that closes the connections of requests that it has read and that wait for
// a slot, wherever they wait.
func TestPlannedStopAnswersRequestsThatWaitForASlot(t *testing.T) {
	const front, pay = 0, 3 // indexes of machines
	for _, tc := range []struct {
		name     string
		kind     string
		prefix   string // of the route whose requests wait
		origin   int    // machine where they begin
		stops    []int
		isolated []int // machines that do not answer from the stop on
		statuses []int // allowed, besides 200
	}{
		{name: "repeatable, at another node", kind: deployment.Safe, prefix: "/wait/", origin: front, stops: []int{front}, statuses: []int{503}},
		{name: "at most once, at another node", kind: deployment.Unsafe, prefix: "/wait/", origin: front, stops: []int{front}, statuses: []int{503}},
		{name: "at the own target", kind: deployment.Unsafe, prefix: "/wait/", origin: pay, stops: []int{pay}, statuses: []int{503}},
		{name: "of another node, at the own target", kind: deployment.Unsafe, prefix: "/wait/", origin: front, stops: []int{pay}, statuses: []int{503}},
		{name: "both nodes stop", kind: deployment.Unsafe, prefix: "/wait/", origin: front, stops: []int{front, pay}, statuses: []int{503}},
		{name: "at a node that does not answer", kind: deployment.Unsafe, prefix: "/wait/", origin: front, stops: []int{front}, isolated: []int{pay}, statuses: []int{502, 503, 504}},
		{name: "calls of running requests", kind: deployment.Safe, prefix: "/chain/", origin: pay, stops: []int{front}, statuses: []int{500, 503, 504}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var mutex sync.Mutex
			counts := map[int]int{}
			var longest time.Duration
			mesh := runMesh(t, busyPlan(tc.kind), 22*time.Second, func(mesh *testbed.Mesh) {
				routes := map[string]deployment.Route{}
				for _, route := range mesh.Plan.Routes {
					routes[route.Prefix] = route
				}
				var requests, stops sync.WaitGroup
				began := time.Now()
				stopAt := began.Add(10 * time.Second)
				send := func(machine *testbed.Machine, route deployment.Route, done func(status int)) {
					origin := client.Origin{IP: machine.IP, Outbound: machine.Outbound(), Service: machine.Target.Service}
					requests.Go(func() {
						status, _ := mesh.Clients.Attempt(context.Background(), origin, route, route.Prefix+"x", "", "", time.Now().Add(route.Deadline))
						done(status)
					})
				}
				requests.Go(func() { // takes all slots from a second before the stop on
					for time.Since(began) < 17*time.Second {
						pause := 125 * time.Millisecond
						if time.Until(stopAt) > time.Second {
							pause *= 4
						}
						time.Sleep(pause)
						send(mesh.Machines[2], routes["/first/"], func(int) {})
					}
				})
				requests.Go(func() {
					for time.Until(stopAt) > -2*time.Second {
						time.Sleep(150 * time.Millisecond)
						sentAfter := time.Since(stopAt)
						send(mesh.Machines[tc.origin], routes[tc.prefix], func(status int) {
							mutex.Lock()
							defer mutex.Unlock()
							if sentAfter > -time.Second {
								counts[status]++
							}
						})
					}
				})
				time.Sleep(time.Until(stopAt))
				for _, index := range tc.isolated {
					mesh.Network.SetIsolated(mesh.Machines[index].IP, true)
				}
				for _, index := range tc.stops {
					machine := mesh.Machines[index]
					mesh.Judge.Stopping(machine.IP)
					stops.Go(func() {
						machine.Stop()
						mutex.Lock()
						defer mutex.Unlock()
						longest = max(longest, time.Since(stopAt))
					})
				}
				stops.Wait()
				for _, index := range tc.isolated {
					mesh.Network.SetIsolated(mesh.Machines[index].IP, false)
				}
				for _, index := range tc.stops {
					_ = mesh.Machines[index].Start()
				}
				requests.Wait()
			})
			t.Logf("answers %v, stop took %s", counts, longest)
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(counts[0]).To(BeZero(), "requests ended without an answer: %v", counts)
			delete(counts, 200)
			g.Expect(tc.statuses).To(ContainElements(slices.Collect(maps.Keys(counts))))
			g.Expect(counts).NotTo(BeEmpty(), "requests must have waited")
			g.Expect(longest).To(BeNumerically("<", 5700*time.Millisecond))
		})
	}
}
