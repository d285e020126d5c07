package wire

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Two nodes of a chain count one request between them, also where the message does not
// say what is left to the second: the release before did not.
func TestCallsCountWhatTheNodesAboveLeave(t *testing.T) {
	for _, tc := range []struct {
		name, header string
		want         float64
	}{
		{"told", "900", 0.9},
		{"nothing left", "0", 0},
		{"unsaid", "", GrantUnsaid},
		{"more than there is", "1001", GrantUnsaid},
		{"less than nothing", "-1", GrantUnsaid},
		{"no number", "x", GrantUnsaid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			g.Expect((&SidecarCall{Granted: 0.1}).SetHeaders(header)).To(Succeed())
			header.Set(headerGrant, tc.header)
			call, err := CallFrom(header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(call.Granted).To(Equal(tc.want))
		})
	}
}

func TestCallTravelsInItsHeaders(t *testing.T) {
	for _, tc := range []struct {
		name string
		call SidecarCall
	}{
		{"plain", SidecarCall{RequestID: "a", Method: "GET", Granted: 0.25}},
		{"of a tenant", SidecarCall{RequestID: "a", Tenant: "t", Granted: 1}},
		{"suspected", SidecarCall{RequestID: "a", Suspect: true}},
		{"the one trial", SidecarCall{RequestID: "a", Trial: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			g.Expect(tc.call.SetHeaders(header)).To(Succeed())
			g.Expect(CallFrom(header)).To(Equal(&tc.call))
		})
	}
	g := NewWithT(t)
	g.Expect(CallFrom(http.Header{})).Error().To(HaveOccurred())
}
