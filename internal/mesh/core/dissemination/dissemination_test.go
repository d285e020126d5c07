package dissemination

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// mesh runs the states of many nodes in virtual time over a network that may
// lose messages.
type mesh struct {
	states   map[string]*State
	order    []string
	platform int64
	cut      map[string]bool
	lose     func() bool
	reads    int
}

func newMesh(nodes int, seed uint64) *mesh {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &mesh{states: map[string]*State{}, cut: map[string]bool{}, lose: func() bool { return random.Float64() < 0.1 }}
	for number := range nodes {
		m.order = append(m.order, "n"+strconv.Itoa(number))
	}
	for _, name := range m.order {
		state := New(DefaultConfig(), random)
		var peers []string
		for _, other := range m.order {
			if other != name {
				peers = append(peers, other)
			}
		}
		state.SetPeers(peers)
		m.states[name] = state
	}
	return m
}

func (m *mesh) do(now time.Duration, name string, actions []Action) {
	state := m.states[name]
	for _, action := range actions {
		if m.cut[name] || m.lose() {
			continue
		}
		switch action.Kind {
		case ReadPlatform:
			m.reads++
			state.Installed(now, m.platform)
		case Tell:
			if other := m.states[action.Peer]; !m.cut[action.Peer] {
				m.do(now, action.Peer, other.Heard(now, name, action.Version))
				m.do(now, name, state.Heard(now, action.Peer, other.Version()))
			}
		case Fetch:
			if !m.cut[action.Peer] {
				state.Installed(now, m.states[action.Peer].Version())
			}
		}
	}
}

func (m *mesh) run(from, to time.Duration) {
	for now := from; now < to; now += 75 * time.Millisecond {
		for _, name := range m.order {
			m.do(now, name, m.states[name].Tick(now))
		}
	}
}

func (m *mesh) behind() int {
	count := 0
	for _, state := range m.states {
		if state.Version() != m.platform {
			count++
		}
	}
	return count
}

func TestANewVersionReachesEveryNode(t *testing.T) {
	for _, nodes := range []int{10, 100, 400} {
		g := NewWithT(t)
		m := newMesh(nodes, uint64(nodes))
		m.platform = 1
		m.run(0, 20*time.Second)
		g.Expect(m.behind()).To(BeZero())
		m.platform = 2
		before := m.reads
		m.run(20*time.Second, 30*time.Second)
		g.Expect(m.behind()).To(BeZero())
		g.Expect(m.reads - before).To(BeNumerically("<", 80)) // 4 a second at every size
	}
}

func TestANodeThatWasCutOffCatchesUpAndNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(20, 1)
	m.platform = 1
	m.run(0, 10*time.Second)
	m.cut["n3"] = true
	m.platform = 5
	m.run(10*time.Second, 20*time.Second)
	g.Expect(m.states["n3"].Version()).To(Equal(int64(1)))
	m.cut["n3"] = false
	m.run(20*time.Second, 30*time.Second)
	g.Expect(m.behind()).To(BeZero())
	m.states["n3"].Installed(31*time.Second, 2)
	g.Expect(m.states["n3"].Version()).To(Equal(int64(5)))
}

// TestAPeerThatIsBehindIsNotToldAgain holds a finding of the scale run: answering
// a lower version with a new message made two nodes talk in a tight loop until
// the fetch was over, twenty messages a second instead of three.
func TestAPeerThatIsBehindIsNotToldAgain(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(2, 1)
	m.states["n0"].Installed(0, 7)
	g.Expect(m.states["n0"].Heard(time.Second, "n1", 3)).To(BeEmpty())
	g.Expect(m.states["n1"].Heard(time.Second, "n0", 7)).To(Equal([]Action{{Kind: Fetch, Peer: "n0", Version: 0}}))
	g.Expect(m.states["n1"].Heard(time.Second, "n0", 7)).To(BeEmpty()) // one fetch at a time
}

// TestAGrownMeshHasNoHubs holds the other finding of the scale run: nodes that
// knew a small mesh first kept its few nodes as neighbors.
func TestAGrownMeshHasNoHubs(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	var first, all []string
	for number := range 400 {
		all = append(all, strconv.Itoa(number))
	}
	first = all[:20]
	degree := map[string]int{}
	for range all {
		state := New(DefaultConfig(), random)
		state.SetPeers(first)
		state.SetPeers(all)
		for _, neighbor := range state.peers {
			degree[neighbor]++
		}
	}
	most := 0
	for _, count := range degree {
		most = max(most, count)
	}
	g.Expect(most).To(BeNumerically("<", 40)) // 8 on the average
}

func TestVersionsSpreadWhileThePlatformIsDown(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(50, 2)
	m.platform = 1
	m.run(0, 10*time.Second)
	m.states["n7"].Installed(10*time.Second, 2)
	m.platform = 0 // reads give nothing new
	m.run(10*time.Second, 15*time.Second)
	for _, state := range m.states {
		g.Expect(state.Version()).To(Equal(int64(2)))
	}
}
