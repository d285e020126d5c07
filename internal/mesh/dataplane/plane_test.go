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

	"github.com/landingmast/landingmast/internal/responses"
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

// Guards against passing on the framing of chunks as a part of the body. net/http drops the field that states
// a transfer coding in HTTP/1.0, so that its result does not show it.
func TestTransferCodingInHTTP10IsInvalid(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	g.Expect(err).NotTo(HaveOccurred())
	transport := localTransport(1)
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err == nil {
		defer response.Body.Close()
		err = responses.Validate(response)
	}
	g.Expect(err).To(HaveOccurred())
}
