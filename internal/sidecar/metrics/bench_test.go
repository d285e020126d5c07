package metrics

import "testing"

func newBenchmarkMetrics() *Metrics {
	zero := func() float64 { return 0 }
	return New(Gauges{
		Version: zero, Peers: zero, Slots: zero, Running: zero, Waiting: zero, InFlight: zero, BodyBytes: zero, HeldBack: zero, RateLimit: zero, RateLimitAge: zero,
		StoreAge: zero, EachPrice: func(func(service string, price, offered float64)) {},
	})
}

// BenchmarkRequest measures the metrics of one hop.
func BenchmarkRequest(b *testing.B) {
	m := newBenchmarkMetrics()
	b.ReportAllocs()
	for b.Loop() {
		m.Attempts.WithLabelValues("results", "answered", "none").Inc()
		m.Requests.WithLabelValues("results", "ok", "none").Inc()
		m.RequestDuration.WithLabelValues("results").Observe(0.05)
		m.TargetRequests.WithLabelValues("remote").Inc()
		m.SlotWait.Observe(0.001)
		m.TargetDuration.Observe(0.05)
	}
}
