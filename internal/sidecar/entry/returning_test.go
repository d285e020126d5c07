package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	. "github.com/onsi/gomega"
)

// A refusal by window must keep its Retry-After, as must all refusals with the mechanism off: the rooms
// of time slots follow from a shortage that a price measures.
func TestOnlyRefusalsByPriceGetTimeSlots(t *testing.T) {
	const header, timeout, objective = "X-Left", 3 * time.Second, 1500 * time.Millisecond
	for _, tc := range []struct {
		name     string
		price    float64
		off      bool
		admitted int // requests before
		returns  bool
		elapsed  time.Duration
		want     retryafter.Range
		promised bool
	}{
		{"price, room", 1, false, 100, false, 0, retryafter.Range{Min: 100 * time.Millisecond, Spread: 50 * time.Millisecond}, true},
		{"price, no room", 1, false, 0, false, 0, retryafter.ShedByPrice(timeout, objective), false},
		{"price, no room, waited before", 1, false, 0, false, time.Second, retryafter.ShedByPrice(timeout-time.Second, objective), false},
		{"price, returning, no time left", 1, false, 100, true, 2500 * time.Millisecond, noRetryAfter, false},
		{"price, off", 1, true, 100, true, 0, retryafter.ShedByPrice(timeout, objective), false},
		{"window", 0, false, 100, true, 0, retryafter.Shed(timeout), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			options := &Options{
				Now: func() time.Duration { return now }, Headers: headers.Names{Deadline: header},
				PolicyOn: func(m settings.Mechanism) bool { return !(tc.off && m == settings.ReturnSlots) },
			}
			r := &request{
				options: options, returns: newReturns(), route: &intent.Route{Name: "view", Objective: objective}, incoming: httptest.NewRequest(http.MethodGet, "/", nil),
				started: now - tc.elapsed, decision: admission.Decision{Price: tc.price, Returning: tc.returns},
			}
			r.incoming.Header.Set(header, "3000")
			for range tc.admitted {
				r.recordAdmission()
				r.recordTime(600 * time.Millisecond)
			}
			g.Expect(r.shedDelay()).To(Equal(tc.want))
			g.Expect(r.returnIsPromised).To(Equal(tc.promised))
		})
	}
}

// The counters must tell clients that were told that no time is left from those that were refused.
func TestOutcomesOfReturningRequests(t *testing.T) {
	for _, tc := range []struct {
		name, label string
		returning   bool
		reason      outcome.Reason
		retryAfter  time.Duration
		want        string // empty: not counted
	}{
		{"new", "ok", false, outcome.ReasonNone, 0, ""},
		{"served", "ok", true, outcome.ReasonNone, 0, "served"},
		{"refused", "refused", true, outcome.ReasonOverload, time.Second, "refused"},
		{"no time", "refused", true, outcome.ReasonOverload, 0, "no_time"},
		{"failed", "failed", true, outcome.ReasonNone, 0, "failed"},
		{"left", "left", true, outcome.ReasonCancelled, 0, "left"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			counters := metrics.New(noGauges())
			r := &request{options: &Options{Metrics: counters}, route: &intent.Route{Name: "view"}, decision: admission.Decision{Returning: tc.returning}}
			r.recordReturning(tc.label, tc.reason, tc.retryAfter)
			recorder := httptest.NewRecorder()
			counters.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if tc.want == "" {
				g.Expect(recorder.Body.String()).NotTo(ContainSubstring("returning_requests_total{"))
				return
			}
			g.Expect(recorder.Body.String()).To(ContainSubstring(`returning_requests_total{outcome="%s",route="view"} 1`, tc.want))
		})
	}
}

// noGauges returns gauges that read nothing.
func noGauges() metrics.Gauges {
	zero := func() float64 { return 0 }
	return metrics.Gauges{
		Version: zero, Peers: zero, Slots: zero, Running: zero, Waiting: zero, StartWaiting: zero, StartOldestWait: zero, InFlight: zero, BodyBytes: zero, HeldBack: zero, RateLimit: zero, RateLimitAge: zero, Pace: zero,
		StoreAge: zero, PipelinedRequests: zero, PipelinesAtLimit: zero, EachPrice: func(func(string, float64, float64)) {},
	}
}
