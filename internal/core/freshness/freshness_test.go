package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestEvidenceForAVersionThatIsNotHeldCountsNothing(t *testing.T) {
	for _, tc := range []struct {
		name          string
		version, held uint64
		want          bool
	}{
		{"the version in force", 4, 4, true},
		{"an older one than in force", 3, 4, true},
		{"a newer one", 5, 4, false},
		{"none is in force", 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var e Evidence
			g.Expect(e.Confirm(time.Second, tc.version, tc.held)).To(Equal(tc.want))
			g.Expect(e.Within(2*time.Second, 5*time.Second)).To(Equal(tc.want))
		})
	}
}

func TestEvidenceGrowsOld(t *testing.T) {
	g := NewWithT(t)
	var e Evidence
	g.Expect(e.Within(0, time.Hour)).To(BeFalse())
	e.Confirm(time.Second, 1, 1)
	g.Expect(e.Within(6*time.Second-1, 5*time.Second)).To(BeTrue())
	g.Expect(e.Within(6*time.Second, 5*time.Second)).To(BeFalse())
	e.Confirm(500*time.Millisecond, 1, 1)
	age, _, _ := e.Age(2 * time.Second)
	g.Expect(age).To(Equal(time.Second))
}

func TestAnAgeThatWasToldCountsFromTheQuestion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Told(10*time.Second, 2*time.Second)).To(Equal(8 * time.Second))
	g.Expect(Told(10*time.Second, -time.Second)).To(Equal(10 * time.Second))
}

const bound = 5 * time.Second

// believer is a node of the property below, on a clock of its own.
type believer struct {
	evidence Evidence
	clock    time.Duration // its clock less the true time
	version  uint64
}

func (b *believer) now(at time.Duration) time.Duration { return at + b.clock }

// The store takes keys away; nodes confirm at it or ask one another, answers are late, and
// nodes are paused between the arrival of a request and its run. No request that was sent
// longer than the bound after the acknowledgement runs with the key.
func TestNoKeyIsBelievedForLongerThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		nodes := make([]*believer, rapid.IntRange(2, 6).Draw(t, "nodes"))
		for index := range nodes {
			nodes[index] = &believer{clock: time.Duration(random.IntN(1000)) * time.Second, version: 1}
		}
		acked := []time.Duration{0, 0} // by version: when the store acknowledged it
		type late struct {
			at time.Duration
			do func(at time.Duration)
		}
		var messages []late
		delay := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)) }
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			if random.IntN(100) == 0 {
				acked = append(acked, at)
			}
			kept := messages[:0]
			for _, one := range messages {
				if one.at > at {
					kept = append(kept, one)
					continue
				}
				one.do(at)
			}
			messages = kept
			for _, n := range nodes {
				asked := n.now(at)
				switch random.IntN(20) {
				case 0: // at the store, which answers in between
					reached := at + delay()
					messages = append(messages, late{reached, func(time.Duration) {
						newest := uint64(len(acked) - 1)
						back := reached + delay()
						messages = append(messages, late{back, func(time.Duration) {
							n.version = max(n.version, newest)
							n.evidence.Confirm(asked, newest, n.version)
						}})
					}})
				case 1: // another node
					other := nodes[random.IntN(len(nodes))]
					reached := at + delay()
					messages = append(messages, late{reached, func(now time.Duration) {
						age, version, known := other.evidence.Age(other.now(now))
						configuration := other.version
						back := now + delay()
						messages = append(messages, late{back, func(time.Duration) {
							if random.IntN(2) == 0 {
								n.version = max(n.version, configuration)
							}
							if known {
								n.evidence.Confirm(Told(asked, age), version, n.version)
							}
						}})
					}})
				}
				// A request that is sent now; the node's answer is the same however long it
				// pauses afterwards.
				if !n.evidence.Within(n.now(at), bound) {
					continue
				}
				for version := n.version + 1; version < uint64(len(acked)); version++ {
					if at-acked[version] > bound {
						t.Fatalf("a request sent %s after version %d was acknowledged is judged by version %d", at-acked[version], version, n.version)
					}
				}
			}
		}
	})
}
