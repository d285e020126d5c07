package responses

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

var get = &http.Request{Method: http.MethodGet}

func TestReadRejectsInvalidResponses(t *testing.T) {
	for _, tc := range []struct{ name, head string }{
		{"status below 100", "HTTP/1.1 000 OK\r\n"},
		{"status above 599", "HTTP/1.1 600 OK\r\n"},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\n"},
		{"control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\n"},
		{"later major version", "HTTP/2.0 200 OK\r\n"},
		{"earlier major version", "HTTP/0.9 200 OK\r\n"},
		{"blank within a field name", "HTTP/1.1 200 OK\r\nA B: c\r\n"},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"},
		{"blank in a field name of an interim response", "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n"},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"},
		{"coding of HTTP/1.0 without CR", "HTTP/1.0 200 OK\ntransfer-encoding: gzip\n"},
		{"blank in a field name of HTTP/1.0", "HTTP/1.0 200 OK\r\nA B: c\r\n"},
		{"interim response with a later major version", "HTTP/2.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Read(bufio.NewReader(strings.NewReader(tc.head+"Content-Length: 4\r\n\r\nbody")), get)
			g.Expect(errors.Is(err, ErrInvalid)).To(BeTrue(), "%v", err)
		})
	}
}

// The connection must not be used again: more than the response may have been read from it.
func TestReadOfHTTP10(t *testing.T) {
	for _, tc := range []struct {
		name, response, body string
		fails                bool
	}{
		{name: "length", response: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbodynext", body: "body"},
		{name: "ended by the connection", response: "HTTP/1.0 200 OK\n\nbody", body: "body"},
		{name: "folded field", response: "HTTP/1.0 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\nbody", body: "body"},
		{name: "short body", response: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nbody", body: "body", fails: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			response, err := Read(bufio.NewReader(strings.NewReader(tc.response)), get)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Close).To(BeTrue())
			body, err := io.ReadAll(response.Body)
			g.Expect(string(body)).To(Equal(tc.body))
			g.Expect(err != nil).To(Equal(tc.fails))
		})
	}
}

// A body whose trailer is invalid must not look complete.
func TestTrailerFields(t *testing.T) {
	for _, tc := range []struct {
		name, trailer string
		valid         bool
	}{
		{"none", "", true},
		{"valid", "A: b\r\n", true},
		{"blank within a name", "A B: c\r\n", false},
		{"blank before the colon", "A : b\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			response, err := Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+tc.trailer+"\r\n")), get)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			g.Expect(errors.Is(err, ErrInvalid)).To(Equal(!tc.valid), "%v", err)
		})
	}
}

// Errors of the connection are not errors of the message.
func TestReadOfATruncatedHead(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.0 200 OK\r\nA:", "HTTP/1.0 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\n"} {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Read(bufio.NewReader(strings.NewReader(head)), get)
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}

func TestReadSkipsInterimResponses(t *testing.T) {
	g := NewWithT(t)
	reader := bufio.NewReader(strings.NewReader("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodynext"))
	response, err := Read(reader, get)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	body, err := io.ReadAll(response.Body)
	g.Expect(string(body), err).To(Equal("body"))
	g.Expect(reader.Peek(4)).To(Equal([]byte("next")))
}
