package arrival

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// Guards against modifying a reply that is cached for at-most-once requests, and against a result that
// lacks the incarnation and the version of the node.
func TestWriteDoesNotModifyCachedReply(t *testing.T) {
	for _, tc := range []struct {
		name, omitted string
		want          http.Header
	}{
		{"all headers", "", http.Header{"X-Id": {"a"}, "X-Other": {"b"}}},
		{"without one", "X-Id", http.Header{"X-Other": {"b"}}},
		{"without a missing one", "X-None", http.Header{"X-Id": {"a"}, "X-Other": {"b"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ingress := New(Options{Incarnation: "i", Version: func() uint64 { return 7 }})
			cached := &reply.Reply{Outcome: outcome.Answered, Status: http.StatusOK, Header: http.Header{"X-Id": {"a"}, "X-Other": {"b"}}, Body: []byte("body")}
			before := *cached
			before.Header = cached.Header.Clone()
			recorder := httptest.NewRecorder()
			ingress.write(recorder, cached, tc.omitted)
			g.Expect(*cached).To(Equal(before))
			result, err := wire.SidecarResultCodec.DecodeHeader(recorder.Header().Get(wire.HeaderSidecarResult))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Incarnation).To(Equal("i"))
			g.Expect(result.Version).To(Equal(int64(7)))
			for _, name := range []string{"X-Id", "X-Other"} {
				g.Expect(recorder.Header()[name]).To(Equal(tc.want[name]))
			}
			g.Expect(recorder.Body.String()).To(Equal("body"))
		})
	}
}

// Guards against a cached reply whose streamed body was sent to a sender that lost its connection:
// the sender would take it for a complete reply with an empty body.
func TestWriteLeavesStreamInCachedReply(t *testing.T) {
	g := NewWithT(t)
	ingress := New(Options{Version: func() uint64 { return 7 }})
	stream := &closeCounter{Reader: strings.NewReader("body")}
	cached := &reply.Reply{Outcome: outcome.Answered, Status: http.StatusOK, Stream: stream, Length: 4}
	recorder := httptest.NewRecorder()
	ingress.write(recorder, cached, "")
	g.Expect(recorder.Body.String()).To(Equal("body"))
	g.Expect(cached.Stream).To(BeIdenticalTo(stream))
	g.Expect(stream.closed).To(Equal(1))
}

type closeCounter struct {
	io.Reader
	closed int
}

// Close implements io.Closer.
func (c *closeCounter) Close() error {
	c.closed++
	return nil
}
