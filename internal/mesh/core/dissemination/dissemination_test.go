package dissemination

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// mesh simulates the nodes of a mesh in virtual time over a lossy network.
type mesh struct {
	states          map[string]*State
	names           []string
	platformVersion int64
	isolated        map[string]bool
	dropMessage     func() bool
	reads           int
}

func newMesh(nodes int, seed uint64) *mesh {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &mesh{states: map[string]*State{}, isolated: map[string]bool{}, dropMessage: func() bool { return random.Float64() < 0.1 }}
	for i := range nodes {
		m.names = append(m.names, "n"+strconv.Itoa(i))
	}
	for _, name := range m.names {
		state := New(DefaultConfig(), random)
		var peers []string
		for _, other := range m.names {
			if other != name {
				peers = append(peers, other)
			}
		}
		state.SetPeers(peers)
		m.states[name] = state
	}
	return m
}

func (m *mesh) perform(now time.Duration, name string, actions []Action) {
	state := m.states[name]
	for _, action := range actions {
		if m.isolated[name] || m.dropMessage() {
			continue
		}
		switch action.Kind {
		case ReadPlatform:
			m.reads++
			state.HandleInstalled(now, m.platformVersion)
		case SendVersion:
			if other := m.states[action.Peer]; !m.isolated[action.Peer] {
				m.perform(now, action.Peer, other.HandleVersion(now, name, action.Version))
				m.perform(now, name, state.HandleVersion(now, action.Peer, other.Version()))
			}
		case Fetch:
			if !m.isolated[action.Peer] {
				state.HandleInstalled(now, m.states[action.Peer].Version())
			}
		}
	}
}

func (m *mesh) run(from, to time.Duration) {
	for now := from; now < to; now += 75 * time.Millisecond {
		for _, name := range m.names {
			m.perform(now, name, m.states[name].Tick(now))
		}
	}
}

func (m *mesh) countOutdated() int {
	count := 0
	for _, state := range m.states {
		if state.Version() != m.platformVersion {
			count++
		}
	}
	return count
}

func TestNewVersionReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{10, 100, 400} {
		g := NewWithT(t)
		m := newMesh(nodes, uint64(nodes))
		m.platformVersion = 1
		m.run(0, 20*time.Second)
		g.Expect(m.countOutdated()).To(BeZero())
		m.platformVersion = 2
		before := m.reads
		m.run(20*time.Second, 30*time.Second)
		g.Expect(m.countOutdated()).To(BeZero())
		g.Expect(m.reads - before).To(BeNumerically("<", 80)) // PlatformReadsPerSecond is 4
	}
}

func TestIsolatedNodeCatchesUpAndNeverDowngrades(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(20, 1)
	m.platformVersion = 1
	m.run(0, 10*time.Second)
	m.isolated["n3"] = true
	m.platformVersion = 5
	m.run(10*time.Second, 20*time.Second)
	g.Expect(m.states["n3"].Version()).To(Equal(int64(1)))
	m.isolated["n3"] = false
	m.run(20*time.Second, 30*time.Second)
	g.Expect(m.countOutdated()).To(BeZero())
	m.states["n3"].HandleInstalled(31*time.Second, 2)
	g.Expect(m.states["n3"].Version()).To(Equal(int64(5)))
}

// TestLowerVersionFromPeerSendsNoReply guards against two nodes that exchange messages
// in a tight loop until a fetch completes.
func TestLowerVersionFromPeerSendsNoReply(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(2, 1)
	m.states["n0"].HandleInstalled(0, 7)
	g.Expect(m.states["n0"].HandleVersion(time.Second, "n1", 3)).To(BeEmpty())
	g.Expect(m.states["n1"].HandleVersion(time.Second, "n0", 7)).To(Equal([]Action{{Kind: Fetch, Peer: "n0", Version: 0}}))
	g.Expect(m.states["n1"].HandleVersion(time.Second, "n0", 7)).To(BeEmpty()) // a fetch is pending
}

// TestMeshGrowthLeavesNoHubs guards against nodes that keep the first nodes of a small
// mesh as neighbors after it has grown.
func TestMeshGrowthLeavesNoHubs(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	var first, all []string
	for i := range 400 {
		all = append(all, strconv.Itoa(i))
	}
	first = all[:20]
	degree := map[string]int{}
	for range all {
		state := New(DefaultConfig(), random)
		state.SetPeers(first)
		state.SetPeers(all)
		for _, neighbor := range state.neighbors {
			degree[neighbor]++
		}
	}
	maxDegree := 0
	for _, count := range degree {
		maxDegree = max(maxDegree, count)
	}
	g.Expect(maxDegree).To(BeNumerically("<", 40)) // the mean is 8
}

func TestVersionsSpreadWithoutPlatform(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(50, 2)
	m.platformVersion = 1
	m.run(0, 10*time.Second)
	m.states["n7"].HandleInstalled(10*time.Second, 2)
	m.platformVersion = 0 // reads return no newer version
	m.run(10*time.Second, 15*time.Second)
	for _, state := range m.states {
		g.Expect(state.Version()).To(Equal(int64(2)))
	}
}
