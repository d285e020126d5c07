package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// targetsOf returns the machines whose targets belong to a service.
func targetsOf(mesh *testbed.Mesh, service string) (found []*testbed.Machine) {
	for _, machine := range mesh.Machines {
		if machine.Target.Service == service {
			found = append(found, machine)
		}
	}
	return found
}

// A target that states a rate limit must get no more than that from all nodes together. Guards
// against passing the statement on to clients without reading it.
func TestTargetGetsNoMoreThanItsStatedRate(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service string
		rate    float64
	}{
		{"called by targets", "deep", 5},
		{"called by clients", "front", 3.6},
		{"requests that may run at most once", "middle", 8.9},
		{"a fraction of a request a second", "deep", 0.5},
		{"no requests", "front", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, deployment.ThreeTier(), 12*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				targetsOf(mesh, tc.service)[0].Target.StateRate(tc.rate)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// aroundStatedRate runs a mesh in which the first target of a service states a rate, and calls
// disturb with its machine while it does.
func aroundStatedRate(t *testing.T, plan deployment.Plan, service string, rate float64, disturb func(mesh *testbed.Mesh, machine *testbed.Machine)) *testbed.Mesh {
	t.Helper()
	return runMesh(t, plan, 14*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		machine := targetsOf(mesh, service)[0]
		machine.Target.StateRate(rate)
		time.Sleep(4 * time.Second)
		disturb(mesh, machine)
	})
}

// The stated rate must hold beside nodes of an earlier release, which read no statements: next to the
// target, where the others have to share the rate, and where requests begin.
func TestStatedRateHoldsBesideEarlierRelease(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ignores func(index int, service string) bool
	}{
		{"at the targets", func(_ int, service string) bool { return service == "deep" }},
		{"where requests begin", func(_ int, service string) bool { return service != "deep" }},
		{"at every other machine", func(index int, _ string) bool { return index%2 == 0 }},
	} {
		for _, rate := range []float64{0, 3.6, 8.9} {
			t.Run(tc.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				plan := deployment.ThreeTier()
				plan.IgnoresState = tc.ignores
				mesh := aroundStatedRate(t, plan, "deep", rate, func(*testbed.Mesh, *testbed.Machine) {})
				g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			})
		}
	}
}

// A node that is restarted next to a target that states a rate does not know the rate. Guards against
// a burst until the target's first response.
func TestStatedRateHoldsWhenItsNodeRestarts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ignores func(index int, service string) bool
	}{
		{"senders know the rate", nil},
		{"senders of an earlier release", func(_ int, service string) bool { return service != "front" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.ThreeTier()
			plan.IgnoresState = tc.ignores
			mesh := aroundStatedRate(t, plan, "front", 3.6, func(_ *testbed.Mesh, machine *testbed.Machine) {
				for range 3 {
					testbed.KillAndRestart([]*testbed.Machine{machine})
					time.Sleep(1500 * time.Millisecond)
				}
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// A target whose limit is lifted must get its part of the requests again, also one that stated 0:
// only a response can say so.
func TestTargetGetsRequestsAgainWhenItsLimitIsLifted(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 3.6} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var before, limited, lifted int
			mesh := runMesh(t, deployment.ThreeTier(), 16*time.Second, func(mesh *testbed.Mesh) {
				target := targetsOf(mesh, "front")[0].Target
				requestsIn := func(span time.Duration) int {
					count := target.Requests()
					time.Sleep(span)
					return target.Requests() - count
				}
				time.Sleep(time.Second)
				before = requestsIn(2 * time.Second)
				target.StateRate(rate)
				time.Sleep(2 * time.Second)
				limited = requestsIn(2 * time.Second)
				target.LiftRate()
				time.Sleep(5 * time.Second)
				lifted = requestsIn(2 * time.Second)
			})
			t.Logf("rate %.1f: requests in 2 s: %d before it was stated, %d while it was, %d afterwards", rate, before, limited, lifted)
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(lifted).To(BeNumerically(">=", before/2))
		})
	}
}

// A limit that the demand does not reach must change nothing.
func TestLimitAboveTheDemandChangesNothing(t *testing.T) {
	g := NewWithT(t)
	mesh := runMesh(t, deployment.ThreeTier(), 10*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(time.Second)
		for _, machine := range mesh.Machines {
			machine.Target.StateRate(1000)
		}
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	for _, prefix := range []string{"/front/", "/order/", "/deep/"} {
		g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">", 0.99), "%s: %v", prefix, mesh.Tally.Status)
	}
}

// Where other targets of the service have room, a limit must cost callers next to nothing.
func TestOtherTargetsTakeWhatALimitTurnsAway(t *testing.T) {
	g := NewWithT(t)
	plan := deployment.ThreeTier()
	front := plan.Services["front"]
	front.Targets = 5
	plan.Services["front"] = front
	mesh := aroundStatedRate(t, plan, "front", 3.6, func(*testbed.Mesh, *testbed.Machine) {})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">=", 0.99), "%v", mesh.Tally.Status)
}

// Where all targets of a service state a rate, what they take must be used, and the rest refused.
func TestStatedRatesOfAWholeServiceAreUsed(t *testing.T) {
	g := NewWithT(t)
	const rate = 10.0
	requests, span := 0, 6*time.Second
	mesh := runMesh(t, deployment.ThreeTier(), 14*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		for _, machine := range targetsOf(mesh, "front") {
			machine.Target.StateRate(rate)
		}
		time.Sleep(3 * time.Second)
		count := func() (sum int) {
			for _, machine := range targetsOf(mesh, "front") {
				sum += machine.Target.Requests()
			}
			return sum
		}
		before := count()
		time.Sleep(span)
		requests = count() - before
	})
	t.Logf("%d of %.0f requests, answers %v", requests, 3*rate*span.Seconds(), mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(requests).To(BeNumerically(">=", 0.9*3*rate*span.Seconds()))
	g.Expect(mesh.Tally.Status[504]+mesh.Tally.Status[502]+mesh.Tally.Status[0]).To(BeZero(), "%v", mesh.Tally.Status)
}

// A target that states in its responses that it leaves must get no new requests, also while its
// heartbeats say nothing. Guards against passing the statement on to clients without reading it.
func TestTargetThatStatesThatItLeavesGetsNoNewRequests(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ignores func(index int, service string) bool
	}{
		{"all nodes follow it", nil},
		{"its node is of an earlier release", func(_ int, service string) bool { return service == "deep" }},
		{"senders are of an earlier release", func(_ int, service string) bool { return service != "deep" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.ThreeTier()
			plan.IgnoresState = tc.ignores
			mesh := runMesh(t, plan, 10*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				targetsOf(mesh, "deep")[0].Target.Leave(5 * time.Second)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(mesh.Tally.Share("/deep/")).To(BeNumerically(">", 0.97), "%v", mesh.Tally.Status)
		})
	}
}

// A node that is restarted next to a leaving target forgets that it leaves; the senders must not.
func TestLeavingTargetGetsNothingWhenItsNodeRestarts(t *testing.T) {
	g := NewWithT(t)
	mesh := runMesh(t, deployment.ThreeTier(), 12*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		machine := targetsOf(mesh, "deep")[0]
		go machine.Target.Leave(8 * time.Second)
		time.Sleep(2500 * time.Millisecond)
		testbed.KillAndRestart([]*testbed.Machine{machine})
		time.Sleep(6 * time.Second)
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
}
