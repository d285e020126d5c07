package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// pacePlan returns a deployment whose service "deep" is asked for load times its slots by chains of four
// short calls.
func pacePlan(load float64) deployment.Plan {
	return deployment.Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"front": {Targets: 6, Slots: 100, Works: []target.Work{{Prefix: "/book/", Time: 20 * time.Millisecond, Bytes: 500, Calls: []target.Call{{Host: deployment.Host, Path: "/deep/x", Times: 4}}}}},
			"deep":  {Targets: 10, Slots: 12, Speeds: []float64{0.6, 1, 1.4, 1, 1}, Works: []target.Work{{Prefix: "/deep/", Time: 50 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/book/", Kind: deployment.Safe, Service: "front", Priority: 1, MaxAttempts: 2, Timeout: 1200 * time.Millisecond, Objective: 310 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: 590 * load},
			{Prefix: "/deep/", Kind: deployment.Safe, Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: 700 * time.Millisecond, Objective: 300 * time.Millisecond},
		},
	}
}

// varyPace makes 15 in 100 targets of "deep" take 2.5 times as long, drawn anew each 600 ms, until the
// load ends.
func varyPace(mesh *testbed.Mesh, span time.Duration, state bool) {
	random := rand.New(rand.NewPCG(5, 6))
	machines := targetsOf(mesh, "deep")
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(600 * time.Millisecond) {
		for _, machine := range machines {
			slow := 1.0
			if random.Float64() < 0.15 {
				slow = 2.5
			}
			machine.Target.SetFaults(target.Faults{Slow: slow})
			if state {
				machine.Target.StatePace()
			}
		}
	}
}

// Where some targets are slow for moments and state so, no fewer requests may be served in time than
// where they do not state it. Guards against senders that follow figures which are no longer true.
func TestStatedPaceServesNoFewerInTime(t *testing.T) {
	const span = 10 * time.Second
	for _, load := range []float64{0.5} {
		g := NewWithT(t)
		share := map[bool]float64{}
		for _, state := range []bool{false, true} {
			mesh := runMesh(t, pacePlan(load), span, func(mesh *testbed.Mesh) { varyPace(mesh, span, state) })
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			share[state] = float64(mesh.Tally.InTime["/book/"]) / float64(mesh.Tally.Sent["/book/"])
			t.Logf("load %.2f, stated %v: %.3f in time, %.3f served, answers %v", load, state, share[state], mesh.Tally.Share("/book/"), mesh.Tally.Status)
		}
		g.Expect(share[true]).To(BeNumerically(">=", share[false]))
	}
}
