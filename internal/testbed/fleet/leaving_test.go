package fleet

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/store"
	. "github.com/onsi/gomega"
)

// leavings are the ways in which a target announces that it leaves.
var leavings = []struct {
	name  string
	leave func(machine *testbed.Machine)
}{
	{"draining", func(machine *testbed.Machine) { machine.Target.Drain(12 * time.Second) }},
	{"deregistered", func(machine *testbed.Machine) { machine.Target.Depart(12 * time.Second) }},
}

// restarts are the ways in which the node beside a leaving target is restarted.
var restarts = []struct {
	name string
	play func(mesh *testbed.Mesh, machine *testbed.Machine)
}{
	{"killed", func(_ *testbed.Mesh, machine *testbed.Machine) {
		testbed.KillAndRestart([]*testbed.Machine{machine})
	}},
	{"killed repeatedly", func(_ *testbed.Mesh, machine *testbed.Machine) {
		for range 4 {
			testbed.KillAndRestart([]*testbed.Machine{machine})
			time.Sleep(300 * time.Millisecond)
		}
	}},
	{"killed with all others", func(mesh *testbed.Mesh, _ *testbed.Machine) {
		testbed.KillAndRestart(mesh.Machines)
	}},
	{"stopped", func(_ *testbed.Mesh, machine *testbed.Machine) {
		machine.Stop()
		time.Sleep(testbed.RestartAfter)
		_ = machine.Start()
	}},
	{"killed while the store is down", func(mesh *testbed.Mesh, machine *testbed.Machine) {
		mesh.Store.Set(func(s *store.Store) { s.Down = true })
		testbed.KillAndRestart([]*testbed.Machine{machine})
		mesh.Judge.StoreFault(6 * time.Second)
		mesh.Store.Set(func(s *store.Store) { s.Down = false })
	}},
	{"killed after its lease has ended", func(mesh *testbed.Mesh, machine *testbed.Machine) {
		mesh.Network.Reset(machine.IP, nil)
		machine.Kill()
		mesh.Store.EndLeases()
		time.Sleep(testbed.RestartAfter)
		_ = machine.Start()
	}},
}

// A target that has deregistered and serves on must get no requests when its node restarts. Guards
// against an acknowledgement that only the memory of a process holds.
func TestDepartedTargetGetsNothingAfterItsNodeRestarts(t *testing.T) {
	for _, tc := range restarts {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, deployment.ThreeTier(), 16*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				machine := targetsOf(mesh, "front")[0]
				go machine.Target.Depart(12 * time.Second)
				time.Sleep(time.Second)
				tc.play(mesh, machine)
				time.Sleep(6 * time.Second)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// A heartbeat that the network has delayed must not open the gate of a target that has announced that
// it leaves, although the process that acknowledged this has ended.
func TestLateHeartbeatAfterARestartDoesNotUndoLeaving(t *testing.T) {
	for _, tc := range leavings {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, deployment.ThreeTier(), 16*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				machine := targetsOf(mesh, "front")[0]
				deliver := machine.Target.DelayHeartbeat()
				go tc.leave(machine)
				time.Sleep(3 * time.Second)
				testbed.KillAndRestart([]*testbed.Machine{machine})
				time.Sleep(20 * time.Millisecond)
				deliver()
				time.Sleep(4 * time.Second)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// A target whose announcement cannot be stored may still not get requests after an acknowledgement.
func TestTargetThatLeavesDuringAnOutageOfTheStoreGetsNothing(t *testing.T) {
	for _, tc := range []struct {
		name       string
		begin, end func(s *store.Store)
	}{
		{"down", func(s *store.Store) { s.Down = true }, func(s *store.Store) { s.Down = false }},
		{"slow", func(s *store.Store) { s.Slow = 300 * time.Millisecond }, func(s *store.Store) { s.Slow = 0 }},
		{"loses responses", func(s *store.Store) { s.DropTxnResponses = true }, func(s *store.Store) { s.DropTxnResponses = false }},
	} {
		for _, outage := range []time.Duration{time.Second, 5 * time.Second} {
			t.Run(tc.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				mesh := runMesh(t, deployment.ThreeTier(), 18*time.Second, func(mesh *testbed.Mesh) {
					time.Sleep(2 * time.Second)
					machine := targetsOf(mesh, "front")[0]
					mesh.Store.Set(tc.begin)
					go machine.Target.Depart(12 * time.Second)
					mesh.Judge.StoreFault(outage)
					testbed.KillAndRestart(mesh.Machines)
					mesh.Store.Set(tc.end)
					time.Sleep(8 * time.Second)
				})
				g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			})
		}
	}
}

// A request that is admitted before its target announces that it leaves must not reach it seconds
// later. Guards against requests that wait for a connection meanwhile.
func TestRequestThatWaitsForAConnectionIsNotSentToALeavingTarget(t *testing.T) {
	for _, tc := range leavings {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.ThreeTier()
			for index := range plan.Routes {
				plan.Routes[index].Timeout, plan.Routes[index].Deadline = 5*time.Second, 6*time.Second
			}
			mesh := runMesh(t, plan, 10*time.Second, func(mesh *testbed.Mesh) {
				time.Sleep(2 * time.Second)
				leaving := targetsOf(mesh, "front")[:2]
				for _, machine := range leaving {
					mesh.Network.DelayAccepts(machine.Target.Address, 3*time.Second)
					mesh.Network.ResetTo(machine.Target.Address)
				}
				time.Sleep(600 * time.Millisecond)
				go tc.leave(leaving[0])
				tc.leave(leaving[1])
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		})
	}
}

// What a target has stated in its responses must outlive all processes too, although its heartbeats still
// report that it is ready.
func TestStatedLeavingOutlivesARestartOfAllNodes(t *testing.T) {
	g := NewWithT(t)
	received := 0
	mesh := runMesh(t, deployment.ThreeTier(), 14*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		leaving := targetsOf(mesh, "deep")[0].Target
		go leaving.Leave(10 * time.Second)
		time.Sleep(4 * time.Second)
		testbed.KillAndRestart(mesh.Machines)
		before := leaving.Requests()
		time.Sleep(5 * time.Second)
		received = leaving.Requests() - before
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(received).To(BeZero())
}
