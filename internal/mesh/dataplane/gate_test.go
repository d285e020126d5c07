package dataplane

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	. "github.com/onsi/gomega"
)

func TestGateLimitsActiveCallsToConnections(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	gate := newGate(2, 1, func() time.Duration { return time.Since(start) }, telemetry.NewMetrics())
	call := limiter.Call{Class: "c", Deadline: time.Minute}
	first := gate.acquire(context.Background(), call, 0, func(error) {})
	g.Expect(first.admitted()).To(BeTrue())
	ctx, cancel := context.WithCancel(context.Background())
	second := make(chan ticket, 1)
	go func() { second <- gate.acquire(ctx, call, 0, func(error) {}) }()
	g.Eventually(func() int {
		_, _, queued, _ := gate.state()
		return queued
	}).Should(Equal(1))
	cancel()
	g.Expect((<-second).admitted()).To(BeFalse())
	gate.release(first.id, time.Millisecond, true, false)
	_, active, queued, _ := gate.state()
	g.Expect(active).To(BeZero())
	g.Expect(queued).To(BeZero())
}
