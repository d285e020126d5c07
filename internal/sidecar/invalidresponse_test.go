package sidecar_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// lockedBuffer collects what several nodes log.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// linesWith returns the lines that contain all of the texts.
func (l *lockedBuffer) linesWith(texts ...string) (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
next:
	for line := range strings.Lines(l.data.String()) {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue next
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// scriptedTarget answers a request whose path ends with the name of a response (see scriptName) with it.
// ID in a response is replaced by the id of the request. Other requests get a short valid response.
type scriptedTarget struct{ responses []string }

func (s *scriptedTarget) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *scriptedTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response, known := s.find(r.URL.Path)
		if !known {
			response = validHead + "Content-Length: 2\r\n\r\nok"
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("X-Request-Id"))); err != nil || known {
			return
		}
	}
}

func (s *scriptedTarget) find(path string) (string, bool) {
	for number, response := range s.responses {
		if strings.HasSuffix(path, "/"+scriptName(number)) {
			return response, true
		}
	}
	return "", false
}

// scriptName returns the name of a scripted response, with which the path of its request ends.
func scriptName(number int) string {
	return "script" + string(rune('a'+number/26)) + string(rune('a'+number%26))
}

// Scripted responses announce that their connection closes, so that no later request meets its end.
const (
	fields    = "Connection: close\r\nX-Request-Id: ID\r\nX-Response-Signature: 8d5a\r\nX-Instance-Id: i-node-back\r\n"
	validHead = "HTTP/1.1 200 OK\r\n" + fields
)

// Guards against responses that are invalid by RFC 9110 or 9112 and reach the client as an answer, with
// a line that is not a field or with a body that is not the target's, or that end its connection without
// an answer and without a log line.
func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 \r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"status 099", "HTTP/1.1 099 Low\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"status over 599", "HTTP/1.1 600 High\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"status 999", "HTTP/1.1 999 High\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"protocol that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + validHead + "Content-Length: 2\r\n\r\nno"},
		{"major version 2", "HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"major version 0", "HTTP/0.9 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"blank within a field name", validHead + "X Odd: 1\r\nContent-Length: 2\r\n\r\nno"},
		{"blank before the colon", validHead + "X-Odd : 1\r\nContent-Length: 2\r\n\r\nno"},
		{"blank in the name of the length", validHead + "Content-Length : 2\r\n\r\nnot all of it"},
		{"blank in the name of the coding", validHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"declined with a field name that holds a blank", "HTTP/1.1 503 Full\r\n" + fields + "X-Not-Executed: 1\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n"},
		{"tab in a field name", validHead + "X\tOdd: 1\r\nContent-Length: 2\r\n\r\nno"},
		{"control byte in a field name", validHead + "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nno"},
		{"empty field name", validHead + ": 1\r\nContent-Length: 2\r\n\r\nno"},
		{"line without a colon", validHead + "odd\r\nContent-Length: 2\r\n\r\nno"},
		{"NUL in a field value", validHead + "X-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nno"},
		{"CR in a field value", validHead + "X-Odd: a\rb\r\nContent-Length: 2\r\n\r\nno"},
		{"control byte in a field value", validHead + "X-Odd: a\x01b\r\nContent-Length: 2\r\n\r\nno"},
		{"blank before the first field", "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + fields + "Content-Length: 2\r\n\r\nno"},
		{"lengths that differ", validHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno!"},
		{"length with a sign", validHead + "Content-Length: +2\r\n\r\nno"},
		{"coding that is unknown", validHead + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"coding in HTTP/1.0, with a length", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"coding in HTTP/1.0, behind a long field", "HTTP/1.0 200 OK\r\n" + fields + "X-Long: " + strings.Repeat("a", 10<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"chunk without a size", validHead + "Transfer-Encoding: chunked\r\n\r\nx\r\nno\r\n0\r\n\r\n"},
		{"chunks without their end", validHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"},
		{"blank in the name of a trailer field", validHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Odd: 1\r\n\r\n"},
		{"control byte in a trailer field", validHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX-Odd: a\x01\r\n\r\n"},
		{"declined with status 000", "HTTP/1.1 000 Full\r\n" + fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"states that it leaves, with status 000", "HTTP/1.1 000 Odd\r\n" + fields + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	cutBodies := []string{"chunk without a size", "chunks without their end", "control byte in a trailer field"}
	script := &scriptedTarget{}
	for _, tc := range tests {
		script.responses = append(script.responses, tc.response)
	}
	for _, kind := range []string{deployment.Safe, deployment.Unsafe} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			logs := &lockedBuffer{}
			id := func(from string, number int) string { return kind + from[:1] + scriptName(number) }
			nodes := startHopTo(t, kind, script.serve, logs)
			for _, from := range []struct{ name, address string }{{"beside the target", nodes.back}, {"at another node", nodes.front}} {
				awaitExchange(t, from.address, "/"+kind+"/")
				for number, tc := range tests {
					t.Run(from.name+", "+tc.name, func(t *testing.T) {
						g := NewWithT(t)
						response, body, err := exchange(from.address, http.MethodGet, "/"+kind+"/"+scriptName(number), id(from.name, number))
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "body %q", body)
						g.Expect(response.Header).NotTo(HaveKey("X-Response-Signature"))
					})
				}
				t.Run(from.name+", logged", func(t *testing.T) {
					g := NewWithT(t)
					for number, tc := range tests {
						lines := func() []string { return logs.linesWith(`"msg":"request"`, `"`+id(from.name, number)+`"`) }
						g.Eventually(lines, 3*time.Second).Should(HaveLen(1), tc.name)
						g.Expect(lines()[0]).To(ContainSubstring(`"status":502`), tc.name)
						if slices.Contains(cutBodies, tc.name) {
							g.Expect(lines()[0]).To(ContainSubstring(`"reason":"lost"`), tc.name)
							continue
						}
						g.Expect(lines()[0]).To(ContainSubstring(`"reason":"spoiled"`), tc.name)
						runs := func() []string { return logs.linesWith(`"msg":"run"`, `"`+id(from.name, number)+`"`, `"invalid":"`) }
						g.Eventually(runs, 3*time.Second).ShouldNot(BeEmpty(), tc.name)
					}
				})
				response, _, err := exchange(from.address, http.MethodGet, "/"+kind+"/", "last")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("%s: the target must stay in use: %v, %v", from.name, response, err)
				}
			}
		})
	}
}

// Guards against rejecting responses that are valid but rare.
func TestRareValidResponsesArePassedOn(t *testing.T) {
	tests := []struct {
		name, method, response string
		status                 int
		body                   string
	}{
		{"interim responses", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + validHead + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{"response to HEAD", "HEAD", validHead + "Content-Length: 4000\r\n\r\n", 200, ""},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204, ""},
		{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4000\r\n\r\n", 304, ""},
		{"ended by its connection", "GET", validHead + "\r\nbody", 200, "body"},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n" + fields + "\r\nbody", 200, "body"},
		{"HTTP/1.0 with a length", "GET", "HTTP/1.0 200 OK\r\n" + fields + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"HTTP/1.0 with a long head", "GET", "HTTP/1.0 200 OK\r\n" + fields + "X-Long: " + strings.Repeat("a", 10<<10) + "\r\n\r\nbody", 200, "body"},
		{"later minor version", "GET", "HTTP/1.2 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{"no reason phrase", "GET", "HTTP/1.1 200\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{"reason phrase outside ASCII", "GET", "HTTP/1.1 200 \xfcber\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{"folded field", "GET", validHead + "X-Folded: a\r\n\tb\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"empty field, field outside ASCII", "GET", validHead + "X-Empty:\r\nX-Name: \xfcber\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"lines without CR", "GET", strings.ReplaceAll(validHead+"Content-Length: 4\r\n\r\n", "\r", "") + "body", 200, "body"},
		{"repeated length", "GET", validHead + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"trailer", "GET", validHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "body"},
		{"status without a name", "GET", "HTTP/1.1 599 Odd\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 599, "body"},
	}
	script := &scriptedTarget{}
	for _, tc := range tests {
		script.responses = append(script.responses, tc.response)
	}
	nodes := startHopTo(t, deployment.Unsafe, script.serve, io.Discard)
	for _, from := range []struct{ name, address string }{{"beside the target", nodes.back}, {"at another node", nodes.front}} {
		awaitExchange(t, from.address, "/"+deployment.Unsafe+"/")
		for number, tc := range tests {
			t.Run(from.name+", "+tc.name, func(t *testing.T) {
				g := NewWithT(t)
				response, body, err := exchange(from.address, tc.method, "/"+deployment.Unsafe+"/"+scriptName(number), from.name[:1]+scriptName(number))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(tc.status))
				g.Expect(string(body)).To(Equal(tc.body))
				g.Expect(response.Header.Get("X-Response-Signature")).To(Equal("8d5a"))
			})
		}
	}
}
