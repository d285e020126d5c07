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

func TestRemoveCallHeaders(t *testing.T) {
	g := NewWithT(t)
	sent := http.Header{"X-Id": {"a.1"}, "X-Left": {"700"}, "Accept": {"*/*"}}
	testNames.RemoveCallHeaders(sent)
	g.Expect(sent).To(Equal(http.Header{"Accept": {"*/*"}}))
}

func TestRestoreRequestID(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer *reply.Reply
		want   []string
	}{
		{"missing", &reply.Reply{Outcome: outcome.Answered, Header: http.Header{}}, []string{"a.1"}},
		{"sent by the previous release", &reply.Reply{Outcome: outcome.Answered, Header: http.Header{"X-Id": {"a.1"}}}, []string{"a.1"}},
		{"not run", &reply.Reply{Outcome: outcome.NotRun, Header: http.Header{}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			testNames.RestoreRequestID(tc.answer, &wire.SidecarCall{RequestID: "a.1"})
			g.Expect(tc.answer.Header["X-Id"]).To(Equal(tc.want))
		})
	}
}
