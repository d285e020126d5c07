package wire

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// A missing or invalid grant must not let a chain of nodes exceed the retry budget.
func TestCallFromParsesGrant(t *testing.T) {
	for _, tc := range []struct {
		name, header string
		want         float64
	}{
		{"valid", "900", 0.9},
		{"zero", "0", 0},
		{"empty", "", GrantUnsaid},
		{"above one", "1001", GrantUnsaid},
		{"negative", "-1", GrantUnsaid},
		{"not a number", "x", GrantUnsaid},
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

func TestCallHeadersRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name string
		call SidecarCall
	}{
		{"plain", SidecarCall{RequestID: "a", Method: "GET", Granted: 0.25}},
		{"with a tenant", SidecarCall{RequestID: "a", Tenant: "t", Granted: 1}},
		{"suspect", SidecarCall{RequestID: "a", Suspect: true}},
		{"trial", SidecarCall{RequestID: "a", Trial: true}},
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
