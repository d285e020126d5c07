package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func evidence(path, query, instance string) Evidence {
	return Evidence{Fingerprint: FingerprintOf(Request{Path: path, Query: query}), Instance: instance, Service: "s", Route: "r"}
}

// isolatedEvidence returns evidence of a crash with no other suspect present.
func isolatedEvidence(path, query, instance string) Evidence {
	e := evidence(path, query, instance)
	e.Isolated = true
	return e
}

// callerEvidence returns isolated evidence against a request of the given caller.
func callerEvidence(path, query, caller, instance string) Evidence {
	e := isolatedEvidence(path, query, instance)
	e.Fingerprint = FingerprintOf(Request{Path: path, Query: query, Caller: caller})
	return e
}

// isolatedCrashes returns evidence of crashes with a request as the only suspect.
func isolatedCrashes(path string, crashes int) (seen []Evidence) {
	for target := range crashes {
		seen = append(seen, isolatedEvidence(path, "q", fmt.Sprint("i-", target+1)))
	}
	return seen
}

func TestState(t *testing.T) {
	fingerprint := FingerprintOf(Request{Path: "/a", Query: "q"})
	for _, tc := range []struct {
		name      string
		evidence  []Evidence
		successes []Fingerprint
		recently  bool
		want      State
	}{
		{"no evidence", nil, nil, false, Free},
		{"one crash", []Evidence{evidence("/a", "q", "i-1")}, nil, false, Suspected},
		{"three crashes, isolated at one", []Evidence{evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")}, nil, false, Held},
		{"three crashes, isolated at none", []Evidence{evidence("/a", "q", "i-1"), evidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")}, nil, false, Doubtful},
		{"three crashes, isolation reported later", []Evidence{evidence("/a", "q", "i-1"), evidence("/a", "q", "i-2"), evidence("/a", "q", "i-3"), isolatedEvidence("/a", "q", "i-3")}, nil, false, Held},
		{"one crash, reported three times", []Evidence{evidence("/a", "q", "i-1"), evidence("/a", "q", "i-1"), evidence("/a", "q", "i-1")}, nil, false, Suspected},
		{"three crashes, then success", []Evidence{evidence("/a", "q", "i-1"), evidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")}, []Fingerprint{fingerprint}, false, Free},
		{"three crashes despite a recent success", []Evidence{evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")}, nil, true, Held},
		{"three crashes, shared with a request at several", append(isolatedCrashes("/b", 3), evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")), nil, false, Suspected},
		{"the same, and one isolated crash of its own", append(isolatedCrashes("/b", 3), evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3"), isolatedEvidence("/a", "q", "i-9")), nil, false, Held},
		{"four crashes, all shared with one other request", append(isolatedCrashes("/b", 4), evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3"), isolatedEvidence("/a", "q", "i-4")), nil, false, Doubtful},
		{"six crashes, all shared with one other request", append(isolatedCrashes("/b", 6), isolatedEvidence("/a", "q", "i-6"), evidence("/a", "q", "i-1"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3"), isolatedEvidence("/a", "q", "i-4"), isolatedEvidence("/a", "q", "i-5")), nil, false, Held},
		{"three crashes, shared with requests at one each", []Evidence{evidence("/b", "q", "i-1"), evidence("/a", "q", "i-1"), evidence("/c", "q", "i-2"), isolatedEvidence("/a", "q", "i-2"), evidence("/a", "q", "i-3")}, nil, false, Held},
		{"three crashes of another path", []Evidence{evidence("/b", "q", "i-1"), evidence("/b", "q", "i-2"), evidence("/b", "q", "i-3")}, nil, false, Free},
		{"three crashes of one other query", []Evidence{evidence("/a", "x", "i-1"), evidence("/a", "x", "i-2"), evidence("/a", "x", "i-3")}, nil, false, Suspected},
		{"three crashes, each with another query", []Evidence{evidence("/a", "x", "i-1"), evidence("/a", "y", "i-2"), isolatedEvidence("/a", "z", "i-3")}, nil, false, Held},
		{"three crashes by one other caller", []Evidence{callerEvidence("/a", "q", "c", "i-1"), callerEvidence("/a", "q", "c", "i-2"), callerEvidence("/a", "q", "c", "i-3")}, nil, false, Doubtful},
		{"three crashes by one other caller, recent success of its own", []Evidence{callerEvidence("/a", "q", "c", "i-1"), callerEvidence("/a", "q", "c", "i-2"), callerEvidence("/a", "q", "c", "i-3")}, nil, true, Free},
		{"three crashes by two other callers", []Evidence{callerEvidence("/a", "q", "c", "i-1"), callerEvidence("/a", "q", "d", "i-2"), callerEvidence("/a", "q", "c", "i-3")}, nil, false, Held},
		{"three crashes by one other caller and one of its own", []Evidence{callerEvidence("/a", "q", "c", "i-1"), callerEvidence("/a", "q", "c", "i-2"), callerEvidence("/a", "q", "c", "i-3"), evidence("/a", "q", "i-4")}, nil, false, Held},
		{"three crashes with other queries, recent success of its own", []Evidence{evidence("/a", "x", "i-1"), evidence("/a", "y", "i-2"), evidence("/a", "z", "i-3")}, nil, true, Free},
		{"one crash with several queries in flight", []Evidence{evidence("/a", "x", "i-1"), evidence("/a", "y", "i-1"), evidence("/a", "z", "i-1")}, nil, false, Suspected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ledger := New(DefaultConfig())
			ledger.Add(tc.evidence...)
			for _, success := range tc.successes {
				ledger.RecordSuccess(success)
			}
			g.Expect(ledger.State(fingerprint, tc.recently)).To(Equal(tc.want))
			_, held := ledger.HeldBack()[fingerprint.Content]
			if tc.want >= Doubtful {
				g.Expect(held).To(BeTrue())
			}
		})
	}
}

// Nodes learn of crashes, successes and releases in any order and more than once: all ledgers
// converge, and cleared evidence stays cleared.
func TestLedgersConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 3))
		nodes := make([]*Ledger, 4)
		for index := range nodes {
			nodes[index] = New(DefaultConfig())
		}
		cleared := map[string]bool{}
		name := func(e Evidence) string { return fmt.Sprint(e.Fingerprint, e.Instance) }
		for range 200 {
			node := nodes[random.IntN(len(nodes))]
			switch e := evidence(fmt.Sprintf("/%d", random.IntN(6)), "", fmt.Sprintf("i-%d", random.IntN(9))); random.IntN(6) {
			case 0:
				for _, changed := range node.RecordSuccess(e.Fingerprint) {
					cleared[name(changed)] = true
				}
			case 1:
				for _, changed := range node.Lift(e.Content) {
					cleared[name(changed)] = true
				}
			case 2, 3:
				node.Add(nodes[random.IntN(len(nodes))].All()...)
			default:
				e.Isolated = random.IntN(3) == 0
				node.Add(e)
			}
		}
		for range 2 {
			for _, to := range nodes {
				for _, from := range nodes {
					to.Add(from.All()...)
				}
			}
		}
		for _, node := range nodes {
			g.Expect(node.Digest()).To(Equal(nodes[0].Digest()))
			g.Expect(node.Digest()).To(Equal(DigestOf(node.All())))
			for _, e := range node.All() {
				g.Expect(e.Cleared).To(Equal(cleared[name(e)]), "seed %d: %s", seed, name(e))
			}
		}
	}
}

// After a restart of all nodes, persisted evidence keeps held requests held and released ones released.
func TestRestoresStateFromPersistedEvidence(t *testing.T) {
	g := NewWithT(t)
	ledger := New(DefaultConfig())
	for target := range 3 {
		ledger.Add(isolatedEvidence("/held", "", fmt.Sprint(target)), evidence("/lifted", "", fmt.Sprint(target)), evidence("/well", "", "i"))
	}
	ledger.Lift(evidence("/lifted", "", "").Content)
	ledger.RecordSuccess(evidence("/well", "", "").Fingerprint)
	after := New(DefaultConfig())
	after.Add(ledger.Persistent()...)
	g.Expect(after.State(evidence("/held", "", "").Fingerprint, false)).To(Equal(Held))
	g.Expect(after.State(evidence("/lifted", "", "").Fingerprint, false)).To(Equal(Free))
	g.Expect(after.Len()).To(Equal(6))
}

// A flood of distinct paths neither evicts held requests nor exceeds the entry limit.
func TestFloodOfPathsIsBounded(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig()
	ledger := New(config)
	for target := range 3 {
		ledger.Add(isolatedEvidence("/held", "", fmt.Sprint(target)))
	}
	flood := make([]Evidence, 0, 5000)
	for path := range 100_000 {
		e := evidence(fmt.Sprint("/", path), "", "i")
		e.CrashedAtMillis = int64(path)
		if flood = append(flood, e); len(flood) == cap(flood) {
			ledger.Add(flood...)
			flood = flood[:0]
		}
	}
	g.Expect(ledger.Len()).To(Equal(config.MaxEntries))
	g.Expect(ledger.State(evidence("/held", "", "").Fingerprint, false)).To(Equal(Held))
	g.Expect(ledger.Digest()).To(Equal(DigestOf(ledger.All())))
}

// Nodes that receive the same evidence in different orders keep the same entries.
func TestEvictionIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	var all []Evidence
	for path := range 300 {
		e := evidence(fmt.Sprint("/", path%120), "", fmt.Sprint("i-", path))
		e.CrashedAtMillis = int64(path % 40)
		all = append(all, e)
	}
	a, b := New(Config{CrashThreshold: 3, AmbiguousThreshold: 4, CertainThreshold: 6, MaxEntries: 100}), New(Config{CrashThreshold: 3, AmbiguousThreshold: 4, CertainThreshold: 6, MaxEntries: 100})
	a.Add(all...)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	b.Add(all...)
	g.Expect(a.Digest()).To(Equal(b.Digest()))
}

// Cost of State per request with a full ledger.
func BenchmarkState(b *testing.B) {
	ledger := New(DefaultConfig())
	for path := range 4096 {
		ledger.Add(evidence(fmt.Sprint("/", path), "", "i"))
	}
	print := FingerprintOf(Request{Path: "/asked"})
	b.ReportAllocs()
	for b.Loop() {
		ledger.State(print, false)
	}
}
