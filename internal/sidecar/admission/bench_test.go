package admission

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/wire"
)

type noConfiguration struct{}

func (noConfiguration) Load() *intent.Intent { return nil }

// BenchmarkRequest measures the admission of a client request whose chain uses four services, and
// the record of its result.
func BenchmarkRequest(b *testing.B) {
	now := time.Second
	control := New(Options{Now: func() time.Duration { return now }, Configuration: noConfiguration{}})
	route := &intent.Route{Name: "browse"}
	needs := []wire.Need{}
	for _, service := range []string{"catalogue", "booking", "billing", "results"} {
		needs = append(needs, wire.Need{Service: service, Calls: 2, Occupancy: 700, Wait: time.Millisecond, SlotTime: 50 * time.Millisecond, Offered: 0.7})
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		control.Admit(route, "", 0)
		control.EachNeed(route, func(string, float64) {})
		control.RecordNeeds(route, needs, true, false)
		control.End(Completion{Route: route, LatencyBudget: time.Second, Latency: 800 * time.Millisecond, Needs: needs})
	}
}

// BenchmarkWithoutAPrice measures a decision that no price makes, with and without the queue at the start of
// chains: the queue must cost nothing then.
func BenchmarkWithoutAPrice(b *testing.B) {
	for _, tc := range []struct {
		name   string
		limits Limits
	}{
		{"no queue", Limits{Left: time.Second}},
		{"queue", Limits{Left: time.Second, MaxWait: time.Second / 8}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			now := time.Second
			control := New(Options{Now: func() time.Duration { return now }, Configuration: noConfiguration{}})
			route := &intent.Route{Name: "browse"}
			control.RecordNeeds(route, []wire.Need{{Service: "results", Calls: 8, SlotTime: 50 * time.Millisecond, Offered: 0.7}}, true, false)
			b.ReportAllocs()
			for b.Loop() {
				control.AdmitOrWait(b.Context(), route, "", 0, tc.limits)
				control.End(Completion{Route: route, Abandoned: true})
			}
		})
	}
}
