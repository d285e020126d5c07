package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
)

type seededRandom struct{ *rand.Rand }

func newSeededRandom(seed uint64) seededRandom { return seededRandom{rand.New(rand.NewPCG(seed, 1))} }

// benchmarkTargets is the number of targets of a service in the benchmarks.
const benchmarkTargets = 35

func newBenchmarkBalancer() *Balancer {
	b := New(DefaultConfig(), "node-0", "zone-0", newSeededRandom(1))
	targets := make([]Target, benchmarkTargets)
	for i := range targets {
		targets[i] = Target{Node: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Instance: fmt.Sprintf("instance-%d", i), Slots: 50}
	}
	b.Update(targets)
	for i, endpoint := range b.order {
		b.Report(time.Second, endpoint, slots.Load{Slots: 47, Running: 10 + i%30, ServiceTime: time.Duration(20+i) * time.Millisecond})
		for _, class := range []string{"browse", "book", "charge"} {
			b.Answered(time.Second, endpoint, class, 600, time.Duration(20+i)*time.Millisecond)
		}
	}
	return b
}

// BenchmarkCall measures the balancer's part of one call to a service.
func BenchmarkCall(b *testing.B) {
	balancer := newBenchmarkBalancer()
	now := time.Second
	need := Requirement{Class: "book", Timeout: 700 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		endpoint := balancer.Pick(now, need, nil, true)
		balancer.Sent(now, endpoint)
		balancer.Done(endpoint)
		balancer.Report(now, endpoint, slots.Load{Slots: 47, Running: 30, ServiceTime: 30 * time.Millisecond})
		balancer.Answered(now, endpoint, "book", 600, 30*time.Millisecond)
		balancer.ServiceLoad(now)
	}
}

func BenchmarkPick(b *testing.B) {
	balancer := newBenchmarkBalancer()
	need := Requirement{Class: "book", Timeout: 700 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(time.Second, need, nil, true)
	}
}

func BenchmarkServiceLoad(b *testing.B) {
	balancer := newBenchmarkBalancer()
	b.ReportAllocs()
	for b.Loop() {
		balancer.ServiceLoad(time.Second)
	}
}
