package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	. "github.com/onsi/gomega"
)

func newTargets(count int, zones ...string) []Target {
	result := make([]Target, count)
	for index := range result {
		result[index] = Target{Node: "n" + strconv.Itoa(index), Zone: zones[index%len(zones)]}
	}
	return result
}

func newBalancer(count int, zones ...string) *Balancer {
	b := New(DefaultConfig(), "self", zones[0], rand.New(rand.NewPCG(1, 2)))
	b.Update(0, newTargets(count, zones...))
	return b
}

// countCalls sends calls that all succeed and counts them by node.
func countCalls(b *Balancer, now time.Duration, calls int, request Request) map[string]int {
	counts := map[string]int{}
	for range calls {
		choice, reason := b.Pick(now, request)
		if reason != outcome.ReasonNone {
			continue
		}
		counts[choice.Target.Node]++
		b.Started(choice.Target.Node)
		b.Finished(now, Result{Node: choice.Target.Node, Latency: 10 * time.Millisecond})
	}
	return counts
}

func TestFailingTargetIsEjectedAndReturnsWithSlowStart(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(4, "a")
	for range 4 {
		b.Started("n1")
		b.Finished(0, Result{Node: "n1", Failed: true})
	}
	g.Expect(countCalls(b, time.Millisecond, 400, Request{})["n1"]).To(BeZero())
	back := countCalls(b, 1100*time.Millisecond, 400, Request{})["n1"]
	g.Expect(back).To(BeNumerically("<", 60))
	g.Expect(countCalls(b, 20*time.Second, 400, Request{})["n1"]).To(BeNumerically(">", 20))
}

// Guards against a target that declines calls being preferred because it has few
// in flight. It must recover its share once it stops declining.
func TestATargetThatDeclinesGetsLess(t *testing.T) {
	for _, tc := range []struct {
		name      string
		declining int // targets of three
		least     int // bounds of the calls to n0, of 900
		most      int
	}{
		{"none", 0, 200, 400},
		{"one", 1, 1, 150},
		{"all", 3, 200, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBalancer(3, "a")
			callsToN0 := 0
			now, finishing := time.Duration(0), map[time.Duration][]string{}
			for call := range 900 {
				now += time.Millisecond
				for _, node := range finishing[now] {
					b.Finished(now, Result{Node: node, Latency: 10 * time.Millisecond})
				}
				choice, _ := b.Pick(now, Request{})
				node := choice.Target.Node
				b.Started(node)
				if node == "n0" {
					callsToN0++
				}
				if place, _ := strconv.Atoi(node[1:]); place < tc.declining && call%2 == 0 {
					b.Finished(now, Result{Node: node, Declined: true})
					continue
				}
				finishing[now+10*time.Millisecond] = append(finishing[now+10*time.Millisecond], node)
			}
			g.Expect(callsToN0).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most)))
			g.Expect(countCalls(b, now, 900, Request{})["n0"]).To(BeNumerically(">", 200), "share after it stopped declining")
		})
	}
}

func TestAtMostHalfOfTheTargetsIsEjected(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(4, "a")
	for _, node := range []string{"n0", "n1", "n2", "n3"} {
		for range 6 {
			b.Started(node)
			b.Finished(0, Result{Node: node, Failed: true})
		}
	}
	g.Expect(countCalls(b, time.Millisecond, 100, Request{})).To(HaveLen(2))
}

func TestLeavingAndDrainingTargetsGetNoCalls(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(3, "a")
	changed := newTargets(3, "a")
	changed[0].Leaving = true
	b.Update(time.Second, changed)
	b.Started("n1")
	b.Finished(time.Second, Result{Node: "n1", Draining: true})
	counts := countCalls(b, 1100*time.Millisecond, 100, Request{})
	g.Expect(counts).To(Equal(map[string]int{"n2": 100}))
}

func TestOwnZoneIsPreferredAndTheSubsetIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := New(DefaultConfig(), "self", "a", rand.New(rand.NewPCG(1, 2)))
	b.Update(0, newTargets(100, "a", "b", "c", "d"))
	g.Expect(b.subset).To(HaveLen(DefaultConfig().SubsetSize))
	near := 0
	for _, ep := range b.subset {
		if ep.target.Zone == "a" {
			near++
		}
	}
	g.Expect(near).To(Equal(12))
	counts := countCalls(b, 0, 1000, Request{})
	ownZone := 0
	for node, count := range counts {
		if b.endpoints[node].target.Zone == "a" {
			ownZone += count
		}
	}
	g.Expect(ownZone).To(BeNumerically(">", 750))
}

func TestRanksAboveAllCursorsAreRefusedLocally(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(2, "a")
	for _, node := range []string{"n0", "n1"} {
		b.Started(node)
		b.Finished(time.Second, Result{Node: node, HasCursor: true, Cursor: 100, Neutral: true})
	}
	countCalls(b, time.Second, 2, Request{Rank: 200}) // probes
	_, reason := b.Pick(time.Second, Request{Rank: 200})
	g.Expect(reason).To(Equal(outcome.ReasonOverloadCursor))
	_, reason = b.Pick(time.Second, Request{Rank: 100})
	g.Expect(reason).To(Equal(outcome.ReasonNone))
	route := NewRoute(b, false)
	g.Expect(route.Cursor(time.Second)).To(Equal(100))
}

func TestRanksAbovePathCursorAreRefusedLocally(t *testing.T) {
	g := NewWithT(t)
	route := NewRoute(newBalancer(2, "a"), false)
	choice, _ := route.Pick(time.Second, "bulk", Request{Rank: 200})
	route.Finished(time.Second, "bulk", Result{Node: choice.Target.Node, Latency: 1}, 100)
	_, reason := route.Pick(time.Second, "bulk", Request{Rank: 200}) // probe
	g.Expect(reason).To(Equal(outcome.ReasonNone))
	_, reason = route.Pick(time.Second, "bulk", Request{Rank: 200})
	g.Expect(reason).To(Equal(outcome.ReasonOverloadCursor))
	_, reason = route.Pick(time.Second, "other", Request{Rank: 200})
	g.Expect(reason).To(Equal(outcome.ReasonNone))
}

func TestSameKeySelectsSameTarget(t *testing.T) {
	g := NewWithT(t)
	left, right := newBalancer(5, "a", "b"), New(DefaultConfig(), "other", "b", rand.New(rand.NewPCG(9, 9)))
	right.Update(0, newTargets(5, "a", "b"))
	for number := range 50 {
		request := Request{Key: strconv.Itoa(number), Rank: admission.Rank(0)}
		first, _ := left.Pick(0, request)
		second, _ := right.Pick(0, request)
		g.Expect(first.Target.Node).To(Equal(second.Target.Node))
	}
}
