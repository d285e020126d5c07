package target

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	. "github.com/onsi/gomega"
)

// A heartbeat may arrive after its sender crashed and another instance registered at the same
// address. It must not change the target, even if the target cannot be identified.
func TestDelayedHeartbeatOfCrashedInstanceIsIgnored(t *testing.T) {
	old := roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 9, Draining: true}
	for _, tc := range []struct {
		name     string
		replaced bool // the node knew the old instance
		responds bool // the target responds to identification
	}{
		{"both instances known", true, true},
		{"both instances known, target unresponsive", true, false},
		{"node restarted after the crash", false, true},
		{"node restarted after the crash, target unresponsive", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now, responds := time.Second, true
			target := New(Options{
				Now: func() time.Duration { return now }, OnChange: func(Change) {},
				NewLink: func() *targetlink.Link { return targetlink.New(targetlink.Options{}) },
				Identify: func(context.Context) (roster.Report, bool) {
					return roster.Report{Instance: "new", Service: "s", Slots: 10}, responds
				},
			})
			if tc.replaced {
				g.Expect(target.Heartbeat(roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
				now += time.Second
			}
			g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
			responds = tc.responds
			now += time.Second
			_ = target.Heartbeat(old) // the acknowledgement does not matter: the sender has exited
			report, _ := target.Report()
			g.Expect(report.Instance).To(Equal("new"))
			_, draining := target.Current().Load()
			g.Expect(draining).To(BeFalse())
		})
	}
}

// manualClock is a clock that only tests advance. The timers of a gate read it concurrently.
type manualClock struct{ ns atomic.Int64 }

func newManualClock() *manualClock {
	clock := &manualClock{}
	clock.Advance(time.Second)
	return clock
}

// Now returns the time.
func (c *manualClock) Now() time.Duration { return time.Duration(c.ns.Load()) }

// Advance moves the clock forward.
func (c *manualClock) Advance(span time.Duration) { c.ns.Add(int64(span)) }

func newLocal(clock *manualClock, restarted bool) *Local {
	return New(Options{
		Now: clock.Now, OnChange: func(Change) {}, Restarted: restarted,
		NewLink: func() *targetlink.Link { return targetlink.New(targetlink.Options{}) },
		Identify: func(context.Context) (roster.Report, bool) {
			return roster.Report{Instance: "new", Service: "s", Slots: 10}, true
		},
	})
}

// What an earlier instance at the address states must not change its successor.
func TestLeavingOfAnEarlierInstanceIsIgnored(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	target := newLocal(clock, false)
	g.Expect(target.Heartbeat(roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
	g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
	g.Expect(target.MarkLeaving("old")).To(BeFalse())
	g.Expect(target.Current().State()).To(BeNil())
	g.Expect(target.MarkLeaving("new")).To(BeTrue())
	g.Expect(target.MarkLeaving("new")).To(BeFalse())
	g.Expect(target.Current().State().Leaving).To(BeTrue())
}

// A heartbeat that reports ready does not undo what the target's responses state.
func TestHeartbeatDoesNotUndoLeaving(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	target := newLocal(clock, false)
	for sequence := range int64(3) {
		g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: sequence + 1})).To(Succeed())
		target.MarkLeaving("new")
		report, _ := target.Report()
		g.Expect(report.Draining).To(BeTrue())
	}
}

// A restarted node takes a rate from senders only until the target itself responds.
func TestAdoptedRateGivesWayToTheTargets(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	target := newLocal(clock, true)
	g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
	gate := target.Current()
	g.Expect(gate.AdoptRate(3.6)).To(BeTrue())
	g.Expect(gate.State().RateLimit).To(Equal(3.6))
	clock.Advance(time.Second)
	g.Expect(gate.ObserveRate(clock.Now()-time.Millisecond, 8.9)).To(BeTrue())
	g.Expect(gate.AdoptRate(3.6)).To(BeFalse())
	rate, _ := gate.RateLimit()
	g.Expect(rate).To(Equal(8.9))
}

// Guards against senders that take a node for one of an earlier release, and share a rate that is no
// longer stated, since a response that stated it was passed on after the limit was lifted.
func TestLiftedLimitIsTold(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	target := newLocal(clock, false)
	g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
	gate := target.Current()
	g.Expect(gate.State()).To(BeNil())
	for _, rate := range []float64{3.6, ratelimit.Unlimited} {
		clock.Advance(time.Second)
		g.Expect(gate.ObserveRate(clock.Now()-time.Millisecond, rate)).To(BeTrue())
		g.Expect(gate.State()).NotTo(BeNil())
		g.Expect(gate.State().RateLimit).To(Equal(rate))
	}
}

// An instance that deregisters while it is being identified must not be admitted afterwards.
func TestDepartureDuringIdentificationIsKept(t *testing.T) {
	for _, tc := range []struct {
		name     string
		announce func(target *Local)
	}{
		{"deregistered", func(target *Local) { _ = target.Leave("new") }},
		{"draining", func(target *Local) {
			_ = target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 2, Draining: true})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var target *Local
			identifying := false
			target = New(Options{
				Now: func() time.Duration { return time.Second }, OnChange: func(Change) {},
				NewLink: func() *targetlink.Link { return targetlink.New(targetlink.Options{}) },
				Identify: func(context.Context) (roster.Report, bool) {
					if !identifying {
						identifying = true
						tc.announce(target)
					}
					return roster.Report{Instance: "new", Service: "s", Slots: 10}, true
				},
			})
			g.Expect(target.Heartbeat(roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
			g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
			if gate := target.Current(); gate != nil && gate.Instance == "new" {
				_, draining := gate.Load()
				g.Expect(draining).To(BeTrue())
			}
		})
	}
}

// Guards against believing a heartbeat of another writer: with the id of the target and a service that no
// configuration names, it would make the node's calls carry that service.
func TestHeartbeatWithUnknownServiceChangesNothing(t *testing.T) {
	g := NewWithT(t)
	var ignored []IgnoredReason
	target := New(Options{
		Now: func() time.Duration { return time.Second }, OnChange: func(Change) {},
		NewLink:      func() *targetlink.Link { return targetlink.New(targetlink.Options{}) },
		OnIgnored:    func(_ roster.Report, reason IgnoredReason) { ignored = append(ignored, reason) },
		KnownService: func(service string) bool { return service == "s" },
	})
	own := roster.Report{Instance: "i", Service: "s", Slots: 10, Sequence: 1}
	g.Expect(target.Heartbeat(own)).To(Succeed())
	foreign := own
	foreign.Service, foreign.Sequence = "foreign", 2
	g.Expect(target.Heartbeat(foreign)).NotTo(Succeed())
	report, _ := target.Report()
	g.Expect(report).To(Equal(own))
	g.Expect(target.Current().Service).To(Equal("s"))
	g.Expect(ignored).To(Equal([]IgnoredReason{IgnoredUnknownService}))
	own.Sequence = 2
	g.Expect(target.Heartbeat(own)).To(Succeed())
}
