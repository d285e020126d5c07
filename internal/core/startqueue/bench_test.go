package startqueue

import (
	"testing"
	"time"
)

// BenchmarkArrive measures an arrival while no, few or all requests wait that may. The clock stands still,
// so that none is refused for its time.
func BenchmarkArrive(b *testing.B) {
	for _, tc := range []struct {
		name    string
		waiting int
	}{
		{"none waiting", 0},
		{"8 waiting", 8},
		{"256 waiting", MaxWaiting},
	} {
		b.Run(tc.name, func(b *testing.B) {
			q, id := New(), uint64(0)
			for ; q.Waiting() < tc.waiting; id++ {
				q.Arrive(0, newcomer(0, id, 0))
			}
			const probability = 0.999999 // one is admitted for each that arrives
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Arrive(0, newcomer(0, id, probability))
				if q.Waiting() < tc.waiting {
					id++
					q.Arrive(0, newcomer(0, id, 0))
				}
				q.NextDecision()
			}
		})
	}
}

// BenchmarkExpire measures the timer while all requests wait that may.
func BenchmarkExpire(b *testing.B) {
	q := New()
	for id := uint64(0); q.Waiting() < MaxWaiting; id++ {
		q.Arrive(0, newcomer(0, id, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Expire(time.Millisecond)
		q.NextDecision()
	}
}
