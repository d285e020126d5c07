package slots

import (
	"testing"
	"time"
)

// newQueuedGate returns a gate with 47 requests at the target and 200 in the queue.
func newQueuedGate() (*Gate, uint64) {
	g := New(50)
	id := uint64(0)
	for range 47 + 200 {
		id++
		g.Submit(time.Second, Request{ID: id, Importance: int(id % 3), Deadline: time.Hour, Class: "book"})
	}
	return g, id
}

// BenchmarkQueued measures a request that arrives at a gate with 200 queued ones, the end of a
// running one, and the load report.
func BenchmarkQueued(b *testing.B) {
	g, id := newQueuedGate()
	running := make([]uint64, 0, 64)
	for i := range g.running {
		running = append(running, i)
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		g.Submit(time.Second, Request{ID: id, Importance: int(id % 3), Deadline: time.Hour, Class: "book"})
		next := running[0]
		copy(running, running[1:])
		running = running[:len(running)-1]
		for _, decision := range g.Finish(time.Second, next, false) {
			running = append(running, decision.ID)
		}
		g.Load(time.Second)
	}
}

func BenchmarkExpire(b *testing.B) {
	g, _ := newQueuedGate()
	b.ReportAllocs()
	for b.Loop() {
		g.Expire(time.Second)
	}
}
