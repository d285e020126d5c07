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

// recorded counts the records of nodes that the store has.
func recorded(m *testbed.Mesh) int { return m.Store.Count(platform.NodePrefix) }

// revoke takes the records of some machines away; no call of theirs shows it.
func revoke(m *testbed.Mesh, machines []*testbed.Machine) {
	keys := make([]string, 0, len(machines))
	for _, machine := range machines {
		keys = append(keys, platform.NodePrefix+"node-"+machine.IP)
	}
	m.Store.Revoke(keys)
}

// returnBound is the time in which records have to be back after the store's return.
const returnBound = 2 * time.Second

// Records that went while the store was away, or that it took away from some
// machines, are back within two seconds. No node is forgotten that lives.
func TestLostRecordsComeBack(t *testing.T) {
	const nodes = 30
	for _, tc := range []struct {
		name string
		play func(mesh *testbed.Mesh, chosen []*testbed.Machine)
	}{
		{"leases run out while the store is away", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) { s.Down = true })
			time.Sleep(4 * time.Second)
			mesh.Store.EndLeases()
			mesh.Store.Set(func(s *store.Store) { s.Down = false })
		}},
		{"records taken away", func(mesh *testbed.Mesh, chosen []*testbed.Machine) { revoke(mesh, chosen) }},
		{"records of machines taken away that are turned away", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range chosen {
					s.Refuse[machine.IP] = true
				}
			})
			revoke(mesh, chosen)
			time.Sleep(9 * time.Second)
			mesh.Store.Set(func(s *store.Store) { clear(s.Refuse) })
		}},
		{"all restart after their records were taken away", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			revoke(mesh, mesh.Machines)
			testbed.KillAndRestart(mesh.Machines)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(wide(nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.Settle)
				g.Expect(recorded(mesh)).To(Equal(nodes))
				tc.play(mesh, mesh.Some(rand.New(rand.NewPCG(3, 4)), 0.35))
				time.Sleep(returnBound)
				g.Expect(recorded(mesh)).To(Equal(nodes))
				for _, machine := range mesh.Machines {
					g.Expect(machine.Peers()).To(Equal(nodes-1), machine.IP)
				}
			})
		})
	}
}

// A record that stays missing counts as gone, whoever answers at the address: the
// store takes it away again as often as it is written.
func TestNodeWhoseRecordStaysMissingIsGone(t *testing.T) {
	const nodes = 30
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mesh, err := testbed.New(wide(nodes))
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.Settle)
		lost := mesh.Machines[:1]
		mesh.Network.Dark(lost[0].IP, true)
		revoke(mesh, lost)
		time.Sleep(4 * time.Second)
		for _, machine := range mesh.Machines[1:] {
			g.Expect(machine.Peers()).To(Equal(nodes-2), machine.IP)
		}
		mesh.Network.Dark(lost[0].IP, false)
		time.Sleep(4 * time.Second)
		g.Expect(recorded(mesh)).To(Equal(nodes), "it comes back when it is told that it is gone")
		for _, machine := range mesh.Machines[1:] {
			g.Expect(machine.Peers()).To(Equal(nodes-1), machine.IP)
		}
	})
}

// The calls of all nodes grow with their number, not with its square. Found on
// nsm-mast-large: 20 calls a node on a calm day and 80 when all stop in turn, since
// each record that changed woke the watches of all.
func TestStoreCallsGrowWithTheFleet(t *testing.T) {
	for _, tc := range []struct {
		name    string
		most    float64 // calls a node, at every size
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
		{"configurations in a row", 4, func(mesh *testbed.Mesh) {
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
					mesh, err := testbed.New(wide(nodes))
					g.Expect(err).NotTo(HaveOccurred())
					defer mesh.Close()
					time.Sleep(testbed.Settle)
					mesh.Store.Set(func(s *store.Store) { s.Calls = map[string]int{} })
					tc.disturb(mesh)
					mesh.Store.Set(func(s *store.Store) { t.Logf("%d nodes: %v", nodes, s.Calls) })
					g.Expect(mesh.Store.Cost() / float64(nodes)).To(BeNumerically("<=", tc.most))
				})
			})
		}
	}
}

// A configuration is in force in time though the nodes that follow the store die,
// are cut off from it or turned away with it.
func TestConfigurationReachesAllWithoutItsFollowers(t *testing.T) {
	const nodes = 30
	for _, tc := range []struct {
		name string
		harm func(mesh *testbed.Mesh, chosen []*testbed.Machine)
	}{
		{"followers die", func(_ *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				machine.Kill()
			}
		}},
		{"followers are cut off from the store", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				mesh.Network.Cut(machine.IP, testbed.StoreHost, true)
				mesh.Network.Cut(testbed.StoreHost, machine.IP, true)
			}
		}},
		{"followers fall silent", func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			for _, machine := range chosen {
				mesh.Network.Dark(machine.IP, true)
			}
		}},
		{"one zone is turned away", func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range mesh.Machines {
					if machine.Zone == "a" {
						s.Refuse[machine.IP] = true
					}
				}
			})
			mesh.Store.CutWatches()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(wide(nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.Settle)
				chosen := mesh.Followers()
				g.Expect(len(chosen)).To(BeNumerically("<=", 8))
				tc.harm(mesh, chosen)
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
