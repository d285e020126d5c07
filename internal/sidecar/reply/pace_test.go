package reply

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/slots"
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
