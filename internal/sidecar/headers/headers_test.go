package headers

import (
	"net/http"
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

var testNames = Names{RequestID: "X-Id", Deadline: "X-Left"}

// What the head of a call tells is not told twice; the answer gets its request's id back
// where the node beside the target left it out.
func TestWhatTheHeadTellsIsNotToldTwice(t *testing.T) {
	g := NewWithT(t)
	sent := http.Header{"X-Id": {"a.1"}, "X-Left": {"700"}, "Accept": {"*/*"}}
	testNames.RemoveCallHeaders(sent)
	g.Expect(sent).To(Equal(http.Header{"Accept": {"*/*"}}))
}

func TestAnswerGetsItsIDBack(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer *reply.Reply
		want   []string
	}{
		{"left out", &reply.Reply{Outcome: outcome.Answered, Header: http.Header{}}, []string{"a.1"}},
		{"sent by the release before", &reply.Reply{Outcome: outcome.Answered, Header: http.Header{"X-Id": {"a.1"}}}, []string{"a.1"}},
		{"no answer", &reply.Reply{Outcome: outcome.NotRun, Header: http.Header{}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			testNames.RestoreRequestID(tc.answer, &wire.SidecarCall{RequestID: "a.1"})
			g.Expect(tc.answer.Header["X-Id"]).To(Equal(tc.want))
		})
	}
}

// A reply that may run once is kept for a sender that asks again, with all its headers.
func TestReplyWithoutAHeaderLeavesTheKeptOneAsItIs(t *testing.T) {
	g := NewWithT(t)
	kept := &reply.Reply{Outcome: outcome.Answered, Header: http.Header{"X-Id": {"a"}, "X-Other": {"b"}}}
	g.Expect(kept.WithoutHeader("X-Id").Header).To(Equal(http.Header{"X-Other": {"b"}}))
	g.Expect(kept.Header).To(HaveKey("X-Id"))
	g.Expect(kept.WithoutHeader("X-None")).To(BeIdenticalTo(kept))
}
