package election

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// zone simulates the nodes of a zone. Beats reach all live nodes.
type zone struct {
	nodes  map[string]*Election
	dead   map[string]bool
	cutOff map[string]bool // can't reach the store
	now    time.Duration
}

func newZone(size int) *zone {
	z := &zone{nodes: map[string]*Election{}, dead: map[string]bool{}, cutOff: map[string]bool{}}
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	for _, name := range names {
		z.nodes[name] = New(DefaultConfig(), name, 0)
		z.nodes[name].SetMembers(names)
	}
	return z
}

const tick = 100 * time.Millisecond

// run simulates the zone for some time and returns the followers at the end.
func (z *zone) run(span time.Duration) (following []string) {
	for end := z.now + span; z.now < end; z.now += tick {
		following = following[:0]
		for name, e := range z.nodes {
			if z.dead[name] || !e.IsFollower(z.now) {
				continue
			}
			e.SetStoreReachable(!z.cutOff[name])
			following = append(following, name)
		}
		for _, from := range following {
			for name, e := range z.nodes {
				if !z.dead[name] {
					e.Beat(z.now, from, !z.cutOff[from])
				}
			}
		}
	}
	return following
}

func TestOneFollowerPerZone(t *testing.T) {
	for _, size := range []int{1, 2, 16, 140} {
		g := NewWithT(t)
		z := newZone(size)
		g.Expect(z.run(5*time.Second)).To(HaveLen(1), "of %d", size)
	}
}

// Small sites must learn configuration changes within 2 s, so failover has to take less, whichever
// node fails.
func TestFailover(t *testing.T) {
	const bound = 1600 * time.Millisecond
	for _, tc := range []struct {
		name   string
		inject func(z *zone, node string)
	}{
		{"dead", func(z *zone, node string) { z.dead[node] = true }},
		{"cut off from the store", func(z *zone, node string) { z.cutOff[node] = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(16)
			first := z.run(3 * time.Second)
			tc.inject(z, first[0])
			followers := z.run(bound)
			g.Expect(followers).NotTo(BeEmpty())
			well := 0
			for _, name := range followers {
				if !z.cutOff[name] {
					well++
				}
			}
			g.Expect(well).To(Equal(1), "%v", followers)
		})
	}
}

// Most nodes of a zone don't call a store that is unavailable to all.
func TestFewNodesRetryUnavailableStore(t *testing.T) {
	g := NewWithT(t)
	z := newZone(16)
	z.run(3 * time.Second)
	for name := range z.nodes {
		z.cutOff[name] = true
	}
	g.Expect(len(z.run(4 * time.Second))).To(BeNumerically("<=", 6))
	clear(z.cutOff)
	g.Expect(z.run(2 * time.Second)).To(HaveLen(1))
}

func TestResignHandsOver(t *testing.T) {
	g := NewWithT(t)
	z := newZone(5)
	first := z.run(3 * time.Second)
	z.nodes[first[0]].Resign()
	g.Expect(z.run(1500 * time.Millisecond)).To(And(HaveLen(1), Not(ContainElement(first[0]))))
}
