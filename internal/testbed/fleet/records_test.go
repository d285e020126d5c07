package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/platform"
	. "github.com/onsi/gomega"
)

// countNodeRecords returns the number of node records in the store.
func countNodeRecords(m *testbed.Mesh) int { return m.Store.Count(platform.NodePrefix) }

// deleteNodeRecords deletes the records of machines without notifying them.
func deleteNodeRecords(m *testbed.Mesh, machines []*testbed.Machine) {
	keys := make([]string, 0, len(machines))
	for _, machine := range machines {
		keys = append(keys, platform.NodePrefix+"node-"+machine.IP)
	}
	m.Store.DeleteKeys(keys)
}

// recordRecoveryBound is how long nodes may take to write their records again.
const recordRecoveryBound = 2 * time.Second

// Nodes must write their records again within two seconds after the store lost them, and live
// nodes must stay members.
func TestLostRecordsComeBack(t *testing.T) {
	const nodes = 30
	for _, tc := range []struct {
		name string
		play func(mesh *testbed.Mesh, chosen []*testbed.Machine)
	}{
		{"leases expire while the store is down", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) { s.Down = true })
			time.Sleep(4 * time.Second)
			mesh.Store.EndLeases()
			mesh.Store.Set(func(s *store.Store) { s.Down = false })
		}},
		{"records deleted", func(mesh *testbed.Mesh, chosen []*testbed.Machine) { deleteNodeRecords(mesh, chosen) }},
		{"records of machines that the store refuses deleted", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range chosen {
					s.RateLimitedIPs[machine.IP] = true
				}
			})
			deleteNodeRecords(mesh, chosen)
			time.Sleep(9 * time.Second)
			mesh.Store.Set(func(s *store.Store) { clear(s.RateLimitedIPs) })
		}},
		{"all restart after their records were deleted", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			deleteNodeRecords(mesh, mesh.Machines)
			testbed.KillAndRestart(mesh.Machines)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(largePlan(nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				g.Expect(countNodeRecords(mesh)).To(Equal(nodes))
				tc.play(mesh, mesh.RandomMachines(rand.New(rand.NewPCG(3, 4)), 0.35))
				time.Sleep(recordRecoveryBound)
				g.Expect(countNodeRecords(mesh)).To(Equal(nodes))
				for _, machine := range mesh.Machines {
					g.Expect(machine.Peers()).To(Equal(nodes-1), machine.IP)
				}
			})
		})
	}
}

// A node whose record stays missing must be removed by its peers, and must rejoin once it is
// reachable again.
func TestNodeWithoutRecordIsRemoved(t *testing.T) {
	const nodes = 30
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mesh, err := testbed.New(largePlan(nodes))
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		lost := mesh.Machines[:1]
		mesh.Network.SetIsolated(lost[0].IP, true)
		deleteNodeRecords(mesh, lost)
		time.Sleep(4 * time.Second)
		for _, machine := range mesh.Machines[1:] {
			g.Expect(machine.Peers()).To(Equal(nodes-2), machine.IP)
		}
		mesh.Network.SetIsolated(lost[0].IP, false)
		time.Sleep(4 * time.Second)
		g.Expect(countNodeRecords(mesh)).To(Equal(nodes), "the node must rejoin when it learns that it was removed")
		for _, machine := range mesh.Machines[1:] {
			g.Expect(machine.Peers()).To(Equal(nodes-1), machine.IP)
		}
	})
}

// Store calls must grow linearly with the number of nodes. Guards against every node watching
// every record.
func TestStoreCallsGrowWithTheFleet(t *testing.T) {
	for _, tc := range []struct {
		name    string
		most    float64 // calls per node, at every size
		disturb func(mesh *testbed.Mesh)
	}{
		{"quiet", 2, func(*testbed.Mesh) { time.Sleep(30 * time.Second) }},
		{"all stop in turn", 6, func(mesh *testbed.Mesh) {
			for _, machine := range mesh.Machines {
				machine.Kill()
				time.Sleep(300 * time.Millisecond)
				_ = machine.Start()
			}
			time.Sleep(2 * time.Second)
		}},
		{"successive configurations", 4, func(mesh *testbed.Mesh) {
			for range 10 {
				mesh.Configure(nil)
				time.Sleep(330 * time.Millisecond)
			}
		}},
	} {
		for _, nodes := range []int{20, 90} {
			t.Run(tc.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					mesh, err := testbed.New(largePlan(nodes))
					g.Expect(err).NotTo(HaveOccurred())
					defer mesh.Close()
					time.Sleep(testbed.StartupTime)
					mesh.Store.Set(func(s *store.Store) { s.Calls = map[string]int{} })
					tc.disturb(mesh)
					mesh.Store.Set(func(s *store.Store) { t.Logf("%d nodes: %v", nodes, s.Calls) })
					g.Expect(mesh.Store.Cost() / float64(nodes)).To(BeNumerically("<=", tc.most))
				})
			})
		}
	}
}

// A configuration must reach all nodes in time when the nodes that watch the store are killed,
// disconnected or refused.
func TestConfigurationReachesAllWithoutItsFollowers(t *testing.T) {
	const nodes = 30
	for _, tc := range []struct {
		name    string
		disable func(mesh *testbed.Mesh, chosen []*testbed.Machine)
	}{
		{"followers are killed", func(_ *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				machine.Kill()
			}
		}},
		{"followers are cut off from the store", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				mesh.Network.SetBlocked(machine.IP, testbed.StoreHost, true)
				mesh.Network.SetBlocked(testbed.StoreHost, machine.IP, true)
			}
		}},
		{"followers are unreachable", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				mesh.Network.SetIsolated(machine.IP, true)
			}
		}},
		{"the store refuses one zone", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range mesh.Machines {
					if machine.Zone == "a" {
						s.RateLimitedIPs[machine.IP] = true
					}
				}
			})
			mesh.Store.AbortWatches()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(largePlan(nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				chosen := mesh.Followers()
				g.Expect(len(chosen)).To(BeNumerically("<=", 8))
				tc.disable(mesh, chosen)
				mesh.Configure(nil)
				time.Sleep(applyBound)
				harmed := map[*testbed.Machine]bool{}
				for _, machine := range chosen {
					harmed[machine] = true
				}
				for _, machine := range mesh.Machines {
					if !harmed[machine] {
						g.Expect(machine.Version()).To(Equal(uint64(mesh.Version())), machine.IP)
					}
				}
			})
		})
	}
}
