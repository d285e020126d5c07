package reply

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// Paces must arrive as they were sent, and a reply without them, or with figures that are not valid, must
// count as one of a target that states none.
func TestPaceOfReply(t *testing.T) {
	for _, tc := range []struct {
		name     string
		now, run float64
		head     string
		wantNow  float64
		wantRun  float64
	}{
		{"both", 2.5, 1.75, "250,175", 2.5, 1.75},
		{"not run", 0.6, 0, "60,0", 0.6, 0},
		{"none", 0, 1, "", 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			head := EncodePace(&Reply{Load: slots.Load{Pace: tc.now}, RunPace: tc.run})
			g.Expect(head).To(Equal(tc.head))
			decoded := &Reply{}
			decoded.SetPace(head)
			g.Expect(decoded.Load.Pace).To(Equal(tc.wantNow))
			g.Expect(decoded.RunPace).To(Equal(tc.wantRun))
		})
	}
	for _, head := range []string{"", ",", "x", "-1,-1", "0,0", "NaN,Inf", "10001,10001"} {
		g := NewWithT(t)
		decoded := &Reply{}
		decoded.SetPace(head)
		g.Expect(decoded).To(Equal(&Reply{}), head)
	}
}

// The time of downstream calls must not count as the target's own: a chain would seem to take 2.5 times as
// long at a target where only its own work does.
func TestPaceShareLeavesOutDownstreamCalls(t *testing.T) {
	need := func(slotTime time.Duration) wire.Need { return wire.Need{Service: "s", Calls: 1, SlotTime: slotTime} }
	for _, tc := range []struct {
		name  string
		needs []wire.Need
		span  time.Duration
		want  float64
	}{
		{"no calls", nil, time.Second, 1},
		{"a quarter in a call", []wire.Need{need(250 * time.Millisecond)}, time.Second, 0.75},
		{"several services", []wire.Need{need(250 * time.Millisecond), need(500 * time.Millisecond)}, time.Second, 0.25},
		{"parallel calls", []wire.Need{need(3 * time.Second)}, time.Second, minPaceShare},
		{"slot times unknown", []wire.Need{need(0)}, time.Second, callsPaceShare},
		{"no time", []wire.Need{need(time.Second)}, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect((&Reply{Needs: tc.needs}).PaceShare(tc.span)).To(BeNumerically("~", tc.want, 1e-9))
		})
	}
}
