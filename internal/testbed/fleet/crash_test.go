package fleet

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// A request that crashes every target it reaches must be rejected after a few crashes, also when
// clients send it again. Guards against treating each crash as a lost response and retrying it.
func TestRequestThatEndsItsTargetsIsHeldBack(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route int // index in the plan
	}{
		{"safe", 0},
		{"unsafe", 1},
		{"safe, deep", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.ThreeTierWithSpares()
			mesh := runMesh(t, plan, 30*time.Second, func(mesh *testbed.Mesh) { sendHarmfulRepeatedly(mesh, plan.Routes[tc.route], 7) })
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			ended, falsePositives := mesh.Judge.HarmfulStats()
			t.Logf("%d crashes by harmful requests, %d harmless requests rejected, %v", ended, falsePositives, mesh.Tally.Status)
			g.Expect(falsePositives).To(BeZero())
		})
	}
}

// Requests that crash their targets must be rejected during other faults as well, both as client
// requests and as calls, without rejecting harmless requests.
func TestHarmfulRequestsInTrouble(t *testing.T) {
	all := func(mesh *testbed.Mesh) []*testbed.Machine { return mesh.Machines }
	for _, tc := range []struct {
		name    string
		paths   []string // of harmful requests
		trouble func(mesh *testbed.Mesh)
	}{
		{"several concurrently", []string{"/front/a", "/front/b", "/deep/c"}, func(*testbed.Mesh) {}},
		{"as a call", []string{"/deep/harmful"}, func(*testbed.Mesh) {}},
		{"targets restart immediately", []string{"/front/a", "/deep/c"}, func(mesh *testbed.Mesh) { mesh.CrashSet.SetRestartDelay(0) }},
		{"all nodes are killed", []string{"/front/a"}, func(mesh *testbed.Mesh) {
			time.Sleep(6 * time.Second)
			testbed.KillAndRestart(all(mesh))
			time.Sleep(6 * time.Second)
			testbed.KillAndRestart(all(mesh))
		}},
		{"nodes are killed in turn", []string{"/front/a"}, func(mesh *testbed.Mesh) {
			for _, machine := range mesh.Machines {
				time.Sleep(time.Second)
				testbed.KillAndRestart([]*testbed.Machine{machine})
			}
		}},
		{"the store is down during the crashes, then all nodes are killed", []string{"/front/a"}, func(mesh *testbed.Mesh) {
			storeOutage(mesh, 8*time.Second)
			time.Sleep(2 * time.Second)
			testbed.KillAndRestart(all(mesh))
		}},
		{"some nodes are disconnected during the crashes", []string{"/front/a"}, func(mesh *testbed.Mesh) {
			time.Sleep(3 * time.Second)
			trouble.Partition(mesh, mesh.RandomMachines(rand.New(rand.NewPCG(2, 2)), 0.3), 5*time.Second)
		}},
		{"writes of the store are lost, then all nodes are killed", []string{"/front/a"}, func(mesh *testbed.Mesh) {
			mesh.Store.Set(func(s *store.Store) { s.DropTxnResponses = true })
			time.Sleep(8 * time.Second)
			mesh.Store.Set(func(s *store.Store) { s.DropTxnResponses = false })
			testbed.KillAndRestart(all(mesh))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := deployment.ThreeTierWithSpares()
			mesh := runMesh(t, plan, 30*time.Second, func(mesh *testbed.Mesh) {
				var group sync.WaitGroup
				for _, path := range tc.paths {
					group.Go(func() { sendHarmfulPath(mesh, path, 7) })
				}
				group.Go(func() { tc.trouble(mesh) })
				group.Wait()
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			ended, falsePositives := mesh.Judge.HarmfulStats()
			t.Logf("%d crashes by harmful requests, %d harmless requests rejected, %v", ended, falsePositives, mesh.Tally.Status)
			g.Expect(falsePositives).To(BeZero())
		})
	}
}

// Targets that stop while frequent requests are in flight must not get those requests rejected.
func TestPopularRequestsAreNotHeldBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runMesh(t, deployment.ThreeTierWithSpares(), 30*time.Second, func(mesh *testbed.Mesh) {
		random := rand.New(rand.NewPCG(4, 4))
		for range 8 {
			time.Sleep(3 * time.Second)
			chosen := mesh.RandomMachines(random, 0.3)
			for _, machine := range chosen {
				machine.Target.Stop()
			}
			time.Sleep(500 * time.Millisecond)
			for _, machine := range chosen {
				_ = machine.Target.Start()
			}
		}
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	_, falsePositives := mesh.Judge.HarmfulStats()
	g.Expect(falsePositives).To(BeZero())
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">", 0.95), "%v", mesh.Tally.Status)
}

// sendHarmfulPath repeatedly sends pairs of harmful requests for a path: as client requests, or
// through /front/chain for the path that it calls.
func sendHarmfulPath(m *testbed.Mesh, path string, times int) {
	routes := m.Plan.Routes
	route := routes[0]
	if strings.HasPrefix(path, "/deep/") {
		route = routes[3]
	}
	m.AddCrashing(route, path)
	sent := path
	if path == "/deep/harmful" {
		route, sent = routes[0], "/front/chain"
	}
	for range times {
		time.Sleep(3500 * time.Millisecond)
		for range 2 {
			m.Go(func() { m.SendCrashing(m.RandomMachine(), route, sent) })
		}
	}
}

// storeOutage makes the store answer every request with 503 for a span.
func storeOutage(m *testbed.Mesh, span time.Duration) {
	m.Store.Set(func(s *store.Store) { s.Down = true })
	m.Judge.StoreFault(span)
	m.Store.Set(func(s *store.Store) { s.Down = false })
}

// sendHarmfulRepeatedly sends a harmful request every few seconds through any machine.
func sendHarmfulRepeatedly(m *testbed.Mesh, route deployment.Route, times int) {
	path := route.Prefix + "harmful"
	m.AddCrashing(route, path)
	for range times {
		time.Sleep(3500 * time.Millisecond)
		m.SendCrashing(m.RandomMachine(), route, path)
	}
}
