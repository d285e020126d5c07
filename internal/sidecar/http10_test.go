package sidecar_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// Guards against a response that breaks off and looks complete to a client of HTTP/1.0, which knows the end
// of a body without a length by the end of its connection.
func TestBrokenResponseIsNotCompleteInHTTP10(t *testing.T) {
	long := strings.Repeat("a", 2*reply.MaxBuffered)
	for _, tc := range []struct {
		name, response string
		complete       bool
	}{
		{"broken off", validHead + "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + long + "\r\n", false},
		{"complete", validHead + "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + long + "\r\n0\r\n\r\n", true},
	} {
		script := &scriptedTarget{responses: []string{tc.response}}
		nodes := startHopTo(t, deployment.Safe, script.serve, io.Discard)
		for _, from := range []struct{ name, address string }{{"beside the target", nodes.back}, {"at another node", nodes.front}} {
			t.Run(tc.name+", "+from.name, func(t *testing.T) {
				g := NewWithT(t)
				awaitExchange(t, from.address, "/safe/")
				conn, err := net.Dial("tcp", from.address)
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				_, err = io.WriteString(conn, "GET /safe/"+scriptName(0)+" HTTP/1.0\r\nHost: "+deployment.Host+"\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 2000\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if tc.complete {
					g.Expect(err).NotTo(HaveOccurred())
				}
				if err != nil {
					return
				}
				body, err := io.ReadAll(response.Body)
				g.Expect(err == nil).To(Equal(tc.complete), "status %d, %d bytes, %v", response.StatusCode, len(body), err)
			})
		}
	}
}
