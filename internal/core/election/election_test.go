package election

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// zone is a zone of nodes whose beats reach all that live.
type zone struct {
	nodes map[string]*Election
	dead  map[string]bool
	deaf  map[string]bool // the store turns them away
	now   time.Duration
}

func newZone(size int) *zone {
	z := &zone{nodes: map[string]*Election{}, dead: map[string]bool{}, deaf: map[string]bool{}}
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

// run plays the zone for some time and gives those that follow at its end.
func (z *zone) run(span time.Duration) (following []string) {
	for end := z.now + span; z.now < end; z.now += tick {
		following = following[:0]
		for name, e := range z.nodes {
			if z.dead[name] || !e.Follows(z.now) {
				continue
			}
			e.SetWell(!z.deaf[name])
			following = append(following, name)
		}
		for _, from := range following {
			for name, e := range z.nodes {
				if !z.dead[name] {
					e.Beat(z.now, from, !z.deaf[from])
				}
			}
		}
	}
	return following
}

func TestOneNodeOfAZoneFollows(t *testing.T) {
	for _, size := range []int{1, 2, 16, 140} {
		g := NewWithT(t)
		z := newZone(size)
		g.Expect(z.run(5*time.Second)).To(HaveLen(1), "of %d", size)
	}
}

// The bound of configuration is 2 s on the smaller sites: another node has to
// follow well within it, whichever nodes die.
func TestAnotherNodeTakesOver(t *testing.T) {
	const bound = 1600 * time.Millisecond
	for _, tc := range []struct {
		name string
		harm func(z *zone, node string)
	}{
		{"dead", func(z *zone, node string) { z.dead[node] = true }},
		{"turned away", func(z *zone, node string) { z.deaf[node] = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(16)
			first := z.run(3 * time.Second)
			tc.harm(z, first[0])
			after := z.run(bound)
			g.Expect(after).NotTo(BeEmpty())
			well := 0
			for _, name := range after {
				if !z.deaf[name] {
					well++
				}
			}
			g.Expect(well).To(Equal(1), "%v", after)
		})
	}
}

// While the store is away for all, most of a zone leaves it alone.
func TestFewNodesTryAStoreThatIsAway(t *testing.T) {
	g := NewWithT(t)
	z := newZone(16)
	z.run(3 * time.Second)
	for name := range z.nodes {
		z.deaf[name] = true
	}
	g.Expect(len(z.run(4 * time.Second))).To(BeNumerically("<=", 6))
	clear(z.deaf)
	g.Expect(z.run(2 * time.Second)).To(HaveLen(1))
}

func TestStoppingNodeHandsOver(t *testing.T) {
	g := NewWithT(t)
	z := newZone(5)
	first := z.run(3 * time.Second)
	z.nodes[first[0]].Resign()
	g.Expect(z.run(1500 * time.Millisecond)).To(And(HaveLen(1), Not(ContainElement(first[0]))))
}
