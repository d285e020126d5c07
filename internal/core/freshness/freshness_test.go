package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestConfirmRequiresVersionInForce(t *testing.T) {
	for _, tc := range []struct {
		name          string
		version, held uint64
		want          bool
	}{
		{"the version in force", 4, 4, true},
		{"older than the version in force", 3, 4, true},
		{"newer than the version in force", 5, 4, false},
		{"no version in force", 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var e Evidence
			g.Expect(e.Confirm(time.Second, tc.version, tc.held)).To(Equal(tc.want))
			g.Expect(e.YoungerThan(2*time.Second, 5*time.Second)).To(Equal(tc.want))
		})
	}
}

func TestEvidenceExpires(t *testing.T) {
	g := NewWithT(t)
	var e Evidence
	g.Expect(e.YoungerThan(0, time.Hour)).To(BeFalse())
	e.Confirm(time.Second, 1, 1)
	g.Expect(e.YoungerThan(6*time.Second-1, 5*time.Second)).To(BeTrue())
	g.Expect(e.YoungerThan(6*time.Second, 5*time.Second)).To(BeFalse())
	e.Confirm(500*time.Millisecond, 1, 1)
	age, _, _ := e.Age(2 * time.Second)
	g.Expect(age).To(Equal(time.Second))
}

func TestObservedAtSubtractsAge(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ObservedAt(10*time.Second, 2*time.Second)).To(Equal(8 * time.Second))
	g.Expect(ObservedAt(10*time.Second, -time.Second)).To(Equal(10 * time.Second))
}

const bound = 5 * time.Second

// simulatedNode is a node with its own clock.
type simulatedNode struct {
	evidence    Evidence
	clockOffset time.Duration // its clock minus true time
	version     uint64
}

func (n *simulatedNode) now(at time.Duration) time.Duration { return at + n.clockOffset }

// The store revokes keys; nodes query it or each other with delayed answers, and pause between
// the arrival of a request and its run. No request sent more than the bound after a revocation
// was acknowledged is judged by the old configuration.
func TestRevokedKeyIsNotAcceptedAfterBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		nodes := make([]*simulatedNode, rapid.IntRange(2, 6).Draw(t, "nodes"))
		for index := range nodes {
			nodes[index] = &simulatedNode{clockOffset: time.Duration(random.IntN(1000)) * time.Second, version: 1}
		}
		ackedAt := []time.Duration{0, 0} // acknowledgement times by version
		type message struct {
			at      time.Duration
			deliver func(at time.Duration)
		}
		var messages []message
		delay := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)) }
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			if random.IntN(100) == 0 {
				ackedAt = append(ackedAt, at)
			}
			pending := messages[:0]
			for _, m := range messages {
				if m.at > at {
					pending = append(pending, m)
					continue
				}
				m.deliver(at)
			}
			messages = pending
			for _, n := range nodes {
				asked := n.now(at)
				switch random.IntN(20) {
				case 0: // queries the store, which answers in between
					reached := at + delay()
					messages = append(messages, message{reached, func(time.Duration) {
						newest := uint64(len(ackedAt) - 1)
						back := reached + delay()
						messages = append(messages, message{back, func(time.Duration) {
							n.version = max(n.version, newest)
							n.evidence.Confirm(asked, newest, n.version)
						}})
					}})
				case 1: // queries another node
					other := nodes[random.IntN(len(nodes))]
					reached := at + delay()
					messages = append(messages, message{reached, func(now time.Duration) {
						age, version, known := other.evidence.Age(other.now(now))
						configuration := other.version
						back := now + delay()
						messages = append(messages, message{back, func(time.Duration) {
							if random.IntN(2) == 0 {
								n.version = max(n.version, configuration)
							}
							if known {
								n.evidence.Confirm(ObservedAt(asked, age), version, n.version)
							}
						}})
					}})
				}
				// A request is sent now. A later pause of the node doesn't change its decision.
				if !n.evidence.YoungerThan(n.now(at), bound) {
					continue
				}
				for version := n.version + 1; version < uint64(len(ackedAt)); version++ {
					if at-ackedAt[version] > bound {
						t.Fatalf("a request sent %s after version %d was acknowledged is judged by version %d", at-ackedAt[version], version, n.version)
					}
				}
			}
		}
	})
}
