package wire

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// A missing or invalid grant must not let a chain of nodes exceed the retry budget.
func TestDecodeCallParsesGrant(t *testing.T) {
	for _, tc := range []struct {
		name, header string
		want         float64
	}{
		{"valid", "900", 0.9},
		{"zero", "0", 0},
		{"empty", "", DefaultGrant},
		{"above one", "1001", DefaultGrant},
		{"negative", "-1", DefaultGrant},
		{"not a number", "x", DefaultGrant},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			g.Expect((&SidecarCall{RetryGrant: 0.1}).EncodeHeaders(header)).To(Succeed())
			header.Set(headerGrant, tc.header)
			call, err := DecodeCall(header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(call.RetryGrant).To(Equal(tc.want))
		})
	}
}

func TestCallHeadersRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name string
		call SidecarCall
	}{
		{"plain", SidecarCall{RequestID: "a", Method: "GET", RetryGrant: 0.25}},
		{"with a tenant", SidecarCall{RequestID: "a", Tenant: "t", RetryGrant: 1}},
		{"suspect", SidecarCall{RequestID: "a", Suspect: true}},
		{"trial", SidecarCall{RequestID: "a", Trial: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			g.Expect(tc.call.EncodeHeaders(header)).To(Succeed())
			g.Expect(DecodeCall(header)).To(Equal(&tc.call))
		})
	}
	g := NewWithT(t)
	g.Expect(DecodeCall(http.Header{})).Error().To(HaveOccurred())
}
