package target

import (
	"context"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	. "github.com/onsi/gomega"
)

// A heartbeat that a cut delayed may come after its sender crashed and another instance
// registered at the same address: it changes nothing, also where the target gives no answer
// to the question who it is.
func TestLateHeartbeatOfACrashedInstanceChangesNothing(t *testing.T) {
	old := roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 9, Draining: true}
	for _, tc := range []struct {
		name     string
		replaced bool // the node saw the old instance before the new one
		answers  bool // the target says who it is
	}{
		{"the node knew both", true, true},
		{"the node knew both, the target is busy", true, false},
		{"the node came back after the crash", false, true},
		{"the node came back after the crash, the target is busy", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now, answers := time.Second, true
			target := New(Options{
				Now: func() time.Duration { return now }, Changed: func() {},
				Link: func() *targetlink.Link { return targetlink.New(targetlink.Options{}) },
				Identify: func(context.Context) (roster.Report, bool) {
					return roster.Report{Instance: "new", Service: "s", Slots: 10}, answers
				},
			})
			if tc.replaced {
				g.Expect(target.Heartbeat(roster.Report{Instance: "old", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
				now += time.Second
			}
			g.Expect(target.Heartbeat(roster.Report{Instance: "new", Service: "s", Slots: 10, Sequence: 1})).To(Succeed())
			answers = tc.answers
			now += time.Second
			_ = target.Heartbeat(old) // whether it is acknowledged is of no matter: its sender is gone
			report, _ := target.Report()
			g.Expect(report.Instance).To(Equal("new"))
			_, draining := target.Current().Load()
			g.Expect(draining).To(BeFalse())
		})
	}
}
