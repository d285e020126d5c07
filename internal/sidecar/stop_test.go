package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	. "github.com/onsi/gomega"
)

// Closing the servers must not cut a request that arrives after the last check of requests in
// flight, or whose response is not yet flushed.
func TestCloseServersCompletesRequests(t *testing.T) {
	for _, tc := range []struct {
		name     string
		delay    time.Duration // of the request, relative to closeServers
		duration time.Duration
		served   bool // otherwise rejected
	}{
		{"in flight", -20 * time.Millisecond, 150 * time.Millisecond, true},
		{"just arrived", -time.Millisecond, 0, true},
		{"later on an open connection", 20 * time.Millisecond, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode("me", "i")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			server := servers.New(listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writer, _, end, rejected := n.beginRequest(w, r, nil, &n.shutdown.rejectAll)
				defer end()
				if rejected {
					writer.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				time.Sleep(tc.duration)
				_, _ = io.WriteString(writer, "whole")
			})})
			n.servers = []*servers.Server{server}
			go func() { _ = server.Run() }()

			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			time.Sleep(20 * time.Millisecond) // lets the server accept the connection
			send := func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }
			if tc.delay < 0 {
				send()
				time.Sleep(-tc.delay)
			} else {
				time.AfterFunc(tc.delay, send)
			}
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				n.shutdown.rejectAll.Store(true)
				n.closeServers(t.Context(), time.Now().Add(2*time.Second+exitReserve))
			}()
			response, err := io.ReadAll(conn)
			if tc.served {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(response)).To(HaveSuffix("whole"))
			} else {
				g.Expect(string(response)).NotTo(ContainSubstring("whole"))
			}
			<-closed
		})
	}
}

// Guards against a stop that cuts the requests which are left: at the end of the grace period, or after a
// second signal, they must get a response.
func TestCloseServersAnswersRequestsThatAreLeft(t *testing.T) {
	for _, tc := range []struct {
		name   string
		forced bool
		atMost time.Duration
	}{
		{"end of the grace period", false, time.Second},
		{"second signal", true, 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode("me", "i")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			server := servers.New(listener, &http.Server{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					writer, request, end, _ := n.beginRequest(w, r, nil, &n.shutdown.rejectAll)
					defer end()
					<-request.Context().Done()
					_, _ = io.WriteString(writer, string(reply.CancelReason(request.Context())))
				}),
				BaseContext: func(net.Listener) context.Context { return n.requests },
			})
			n.servers = []*servers.Server{server}
			go func() { _ = server.Run() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			g.Eventually(n.inFlight.Load).Should(Equal(int64(1)))

			force, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tc.forced {
				cancel()
			}
			began := time.Now()
			n.closeServers(force, began.Add(answerReserve+200*time.Millisecond))
			g.Expect(time.Since(began)).To(BeNumerically("<", tc.atMost))
			response, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(response)).To(HaveSuffix(string(outcome.ReasonStopping)))
		})
	}
}
