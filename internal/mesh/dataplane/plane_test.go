package dataplane

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A call sent on an idle connection that the stopping peer closes at the same moment would
// have an unknown outcome.
func TestAtMostOnceConnectionsCloseBeforeDrainGrace(t *testing.T) {
	for _, tc := range []struct {
		name       string
		atMostOnce bool
		open       int32 // connections after DrainGrace
	}{
		{"at most once", true, 0},
		{"may be repeated", false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var open atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				switch state {
				case http.StateNew:
					open.Add(1)
				case http.StateClosed:
					open.Add(-1)
				}
			}
			server.Start()
			defer server.Close()
			plane := New(Options{Node: "n", Peers: &http.Transport{IdleConnTimeout: time.Minute}})
			defer plane.Close()
			request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(""))
			g.Expect(err).NotTo(HaveOccurred())
			response, err := plane.peerTransport(tc.atMostOnce).RoundTrip(request)
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			g.Expect(open.Load()).To(Equal(int32(1)))
			time.Sleep(DrainGrace)
			g.Expect(open.Load()).To(Equal(tc.open))
		})
	}
}
