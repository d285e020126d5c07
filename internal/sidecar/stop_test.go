package sidecar

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/servers"
	. "github.com/onsi/gomega"
)

// A stop waits until nothing is in flight and closes its servers then: a request
// that comes between the two, or whose answer is not written out yet, was cut.
// Found by landing hunt ab5326db on cphx-claims, hunt-ab53-23 (LOST at 31.854 s).
func TestClosingServersCutsNoRequest(t *testing.T) {
	for _, tc := range []struct {
		name   string
		begins time.Duration // of the request, after the closing began
		takes  time.Duration
		served bool // whole; otherwise it is not passed on
	}{
		{"in flight", -20 * time.Millisecond, 150 * time.Millisecond, true},
		{"just come", -time.Millisecond, 0, true},
		{"on an open connection, later", 20 * time.Millisecond, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			n := memberNode("me", "i")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			server := servers.New(listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				answer, _, end, refused := n.begin(w, r, nil, &n.planned.closed)
				defer end()
				if refused {
					answer.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				time.Sleep(tc.takes)
				_, _ = io.WriteString(answer, "whole")
			})})
			n.servers = []*servers.Server{server}
			go func() { _ = server.Run() }()

			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			time.Sleep(20 * time.Millisecond) // the server has it
			ask := func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }
			if tc.begins < 0 {
				ask()
				time.Sleep(-tc.begins)
			} else {
				time.AfterFunc(tc.begins, ask)
			}
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				n.planned.closed.Store(true)
				n.closeServers(time.Now().Add(2 * time.Second))
			}()
			answer, err := io.ReadAll(conn)
			if tc.served {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(answer)).To(HaveSuffix("whole"))
			} else {
				g.Expect(string(answer)).NotTo(ContainSubstring("whole"))
			}
			<-closed
		})
	}
}
