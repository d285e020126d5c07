package wire

import (
	"net/http"
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	. "github.com/onsi/gomega"
)

func TestTargetStateRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name  string
		state *outcome.TargetState
	}{
		{"nothing", nil},
		{"rate", &outcome.TargetState{Instance: "i", RateLimit: 3.6}},
		{"rate of zero", &outcome.TargetState{Instance: "i"}},
		{"leaving", &outcome.TargetState{Instance: "i", RateLimit: ratelimit.Unlimited, Leaving: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			g.Expect(EncodeTargetState(header, tc.state)).To(Succeed())
			g.Expect(DecodeTargetState(header)).To(Equal(tc.state))
		})
	}
}

// Nodes of the previous release must read a call that carries a state, and this one must read theirs.
func TestCallWithTargetStateIsReadableByThePreviousRelease(t *testing.T) {
	g := NewWithT(t)
	with, without := http.Header{}, http.Header{}
	call := SidecarCall{RequestID: "a"}
	g.Expect(call.EncodeHeaders(without)).To(Succeed())
	call.TargetState = &outcome.TargetState{Instance: "i", RateLimit: 3.6}
	g.Expect(call.EncodeHeaders(with)).To(Succeed())
	g.Expect(with.Get(HeaderSidecarCall)).To(Equal(without.Get(HeaderSidecarCall)))
	decoded, err := DecodeCall(without)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.TargetState).To(BeNil())
}

func TestTargetStateOfALaterReleaseIsIgnored(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{}
	g.Expect((&SidecarCall{RequestID: "a"}).EncodeHeaders(header)).To(Succeed())
	header.Set(HeaderTargetState, "bm90IGtub3du")
	call, err := DecodeCall(header)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call.TargetState).To(BeNil())
}
