package sidecar

import (
	"net/http"
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

var testNames = Headers{RequestID: "X-Id", Deadline: "X-Left"}

// What the head of a call tells is not told twice; the answer gets its request's id back
// where the node beside the target left it out.
func TestWhatTheHeadTellsIsNotToldTwice(t *testing.T) {
	g := NewWithT(t)
	sent := http.Header{"X-Id": {"a.1"}, "X-Left": {"700"}, "Accept": {"*/*"}}
	testNames.shorten(sent)
	g.Expect(sent).To(Equal(http.Header{"Accept": {"*/*"}}))
}

func TestAnswerGetsItsIDBack(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer *reply
		want   []string
	}{
		{"left out", &reply{outcome: outcome.Answered, header: http.Header{}}, []string{"a.1"}},
		{"sent by the release before", &reply{outcome: outcome.Answered, header: http.Header{"X-Id": {"a.1"}}}, []string{"a.1"}},
		{"no answer", &reply{outcome: outcome.NotRun, header: http.Header{}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			testNames.restore(tc.answer, &wire.SidecarCall{RequestID: "a.1"})
			g.Expect(tc.answer.header["X-Id"]).To(Equal(tc.want))
		})
	}
}

// A reply that may run once is kept for a sender that asks again, with all its headers.
func TestReplyWithoutAHeaderLeavesTheKeptOneAsItIs(t *testing.T) {
	g := NewWithT(t)
	kept := &reply{outcome: outcome.Answered, header: http.Header{"X-Id": {"a"}, "X-Other": {"b"}}}
	g.Expect(kept.without("X-Id").header).To(Equal(http.Header{"X-Other": {"b"}}))
	g.Expect(kept.header).To(HaveKey("X-Id"))
	g.Expect(kept.without("X-None")).To(BeIdenticalTo(kept))
}
