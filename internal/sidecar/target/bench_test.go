package target

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

func newBenchmarkGate(slotCount int) *Gate {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Second }
	return newGate(now, roster.Report{Instance: "i", Service: "s", Slots: slotCount}, targetlink.New(targetlink.Options{}))
}

func farDeadline(gate *Gate) slots.Request {
	return slots.Request{Importance: 1, Deadline: gate.now() + time.Hour, Class: "book"}
}

// BenchmarkGateFree measures a request that finds a free slot.
func BenchmarkGateFree(b *testing.B) {
	gate := newBenchmarkGate(50)
	b.ReportAllocs()
	for b.Loop() {
		id, _ := gate.Acquire(context.Background(), Origin{}, farDeadline(gate))
		gate.Load()
		gate.Release(id, true)
	}
}

// BenchmarkGateQueued measures the release of a slot, the load report, and a new request at the end
// of a queue of 200 requests.
func BenchmarkGateQueued(b *testing.B) {
	gate := newBenchmarkGate(50)
	running := make(chan uint64, 1000)
	submit := func() {
		ctx := context.Background()
		id, decision := gate.Acquire(ctx, Origin{}, farDeadline(gate))
		if decision.Send {
			running <- id
		}
	}
	const queued = 200
	for range 47 + queued {
		go submit()
	}
	for {
		if load, _ := gate.Load(); load.Waiting == queued {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		go submit()
		gate.Load()
		gate.Release(<-running, false)
	}
	b.StopTimer()
	gate.drain()
}
