package balancer

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

func leaves(instance string) outcome.TargetState {
	return outcome.TargetState{Instance: instance, RateLimit: ratelimit.Unlimited, Leaving: true}
}

func limits(instance string, rate float64) outcome.TargetState {
	return outcome.TargetState{Instance: instance, RateLimit: rate}
}

// Guards against sending to a leaving target as the last resort, and again when the node next to it
// was away and lists it anew.
func TestLeavingInstanceIsNeverPicked(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.ObserveState(time.Second, 0, leaves("1"), false)
	near := []Target{{Node: "near", Zone: "a", Instance: "1", Slots: 10}}
	for _, targets := range [][]Target{near, nil, near} {
		b.Update(targets)
		g.Expect(b.Pick(time.Second, Requirement{}, nil, true)).To(BeNil())
	}
	near[0].Instance = "3"
	b.Update(near)
	g.Expect(b.Pick(time.Second, Requirement{}, nil, true)).NotTo(BeNil(), "its successor")
}

func TestLeavingIsNotUndone(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.ObserveState(time.Second, 0, leaves("1"), true)
	b.ObserveState(3*time.Second, 2*time.Second, limits("1", ratelimit.Unlimited), true)
	g.Expect(b.State("1").Leaving).To(BeTrue())
}

func TestSenderKeepsItsShareWhereNoGateDoes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		gated     bool
		rank      int
		picks     int // of 10 s with a request each 100 ms
		overShare bool
	}{
		{"gated", true, 0, 100, false},
		{"shared by four senders", false, 3, 9, true}, // a quarter of 4 a second, from an empty bucket
		{"no share", false, 30, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTwoZoneBalancer()
			senders := 4
			if tc.rank >= senders {
				senders = 100
			}
			b.config.Rank = func(string) (int, int) { return tc.rank, senders }
			b.Update([]Target{{Node: "near", Zone: "a", Instance: "1", Slots: 10}})
			b.ObserveState(0, 0, limits("1", 4), tc.gated)
			picks := 0
			for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
				if endpoint := b.Pick(now, Requirement{}, nil, true); endpoint != nil {
					b.Sent(now, endpoint)
					b.Done(endpoint)
					picks++
				}
			}
			g.Expect(picks).To(Equal(tc.picks))
			g.Expect(b.OverShare(9901 * time.Millisecond)).To(Equal(tc.overShare))
		})
	}
}

func TestLimitNoLongerStatedFreesTheSender(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Update([]Target{{Node: "near", Zone: "a", Instance: "1", Slots: 10}})
	b.ObserveState(time.Second, 0, limits("1", 0), false)
	g.Expect(b.Pick(time.Second, Requirement{}, nil, true)).To(BeNil())
	b.ObserveState(2*time.Second, 0, limits("1", ratelimit.Unlimited), false)
	g.Expect(b.Pick(2*time.Second, Requirement{}, nil, true)).To(BeNil(), "sent before the limit was known")
	b.ObserveState(3*time.Second, 2*time.Second, limits("1", ratelimit.Unlimited), false)
	g.Expect(b.Pick(3*time.Second, Requirement{}, nil, true)).NotTo(BeNil())
}

func TestRememberedStatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.ObserveState(0, 0, leaves("1"), false)
	for number := range 3 * maxStates {
		b.ObserveState(0, 0, leaves("gone-"+string(rune('a'+number))), false)
	}
	g.Expect(len(b.states)).To(BeNumerically("<=", maxStates))
	g.Expect(b.State("1")).NotTo(BeNil(), "listed")
}

// Guards against a target that was limited once and is never tried again: only a response can tell
// that the limit was lifted.
func TestSlotsOfAnExpiredReportAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Report(time.Second, b.Endpoint("near"), slots.Load{Slots: 1, Running: 1, ServiceTime: serviceTime})
	report(b, "far", 0, 0)
	g.Expect(b.Pick(time.Second, Requirement{}, nil, false).Node).To(Equal("far"))
	g.Expect(b.Pick(time.Second+b.config.ReportTTL, Requirement{}, nil, false).Node).To(Equal("near"))
}
