package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var seeds = []string{
	get("/a") + get("/b"),
	get("/a") + post("/b", "body") + get("/c") + get("/d"),
	post("/a", "") + get("/b") + "HEAD /c HTTP/1.1\r\nHost: x\r\n\r\n" + get("/d"),
	get("/a") + chunked("/b", "body") + get("/c"),
	chunked("/a", "body") + get("/b") + chunked("/c", "long body of more bytes") + get("/d") + get("/e"),
	chunked("/a", "") + get("/b"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n00A\r\n0123456789\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n" + get("/c"),
	get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\nHost: x\n\n" + get("/c"),
	"GET /a HTTP/1.1\nHost: x\n\n" + get("/b"),
	get("/a") + "GET /b HTTP/1.0\r\nHost: x\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\n\r\n" + get("/c"),
	get("/a") + "\r\n" + get("/b"),
	"\r\n\r\n" + get("/b"),
	get("/a") + "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na" + get("/c"),
	get("/a") + "GET  /b HTTP/1.1\r\nHost: x\r\n\r\n" + get("/c"),
	get("/a") + "GET /b c HTTP/1.1\r\nHost: x\r\n\r\n" + get("/c"),
	get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nA: \rb\r\n\r\n" + get("/c"),
}

// Guards against a stream that is split in another way than net/http reads it: where a proxy sends
// requests of several clients on a connection, one client could insert requests of another one.
func FuzzSplit(f *testing.F) {
	for _, seed := range seeds {
		for _, size := range []byte{1, 7, 255} {
			f.Add([]byte(seed), size)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, size byte) {
		want := readRequests(bytes.NewReader(data))
		got := readSplit(data, int(size)+1)
		if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) {
			t.Fatalf("split into %q, net/http reads %q", got, want)
		}
	})
}

// readRequests returns the requests that net/http reads from a stream.
func readRequests(stream io.Reader) []string {
	var requests []string
	reader := bufio.NewReader(stream)
	for {
		request, ok := readRequest(reader)
		if request != "" {
			requests = append(requests, request)
		}
		if !ok {
			return requests
		}
	}
}

// readRequest reads a request. ok is false if no further request can follow.
func readRequest(reader *bufio.Reader) (text string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil || request.Host == "" { // the server rejects requests without a host
		return "", false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return "", false
	}
	return request.Method + " " + request.RequestURI + " " + string(body), !request.Close
}

// readSplit returns the requests that a server reads through a Listener if it reads ahead between all
// requests. Each read from the network returns at most size bytes.
func readSplit(data []byte, size int) []string {
	listener := New(nil, &http.Server{}, Options{})
	listener.start.Do(func() {}) // the requests in the queue are read below
	c := newConn(&streamConn{data: data, size: size}, listener)
	reader := bufio.NewReader(c)
	var requests []string
	for {
		request, ok := readRequest(reader)
		if request != "" {
			requests = append(requests, request)
		}
		if !ok {
			return requests
		}
		if c.phase == handling {
			_, _ = c.Read(make([]byte, 1))
		}
		c.responseComplete()
		for len(c.line) > 0 {
			r := <-listener.queue
			request, ok := readRequest(bufio.NewReader(r))
			if request == "" {
				return requests
			}
			requests = append(requests, request)
			if !ok {
				return requests
			}
			r.complete(false)
		}
	}
}

// streamConn is a net.Conn that provides data in parts, and then blocks until the read deadline.
type streamConn struct {
	net.Conn
	data []byte
	size int
}

func (s *streamConn) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p[:min(len(p), s.size)], s.data)
	s.data = s.data[n:]
	return n, nil
}

func (*streamConn) Write(p []byte) (int, error)       { return len(p), nil }
func (*streamConn) SetReadDeadline(_ time.Time) error { return nil }
func (*streamConn) Close() error                      { return nil }

// Guards against plain requests that are not read ahead, which the comparison with net/http does not
// notice.
func TestParseHead(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		ok         bool
		want       head
	}{
		{"GET", get("/a?b=c"), true, head{repeatable: true}},
		{"HEAD", "HEAD / HTTP/1.1\r\nhost: x\r\n\r\n", true, head{repeatable: true}},
		{"empty body", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", true, head{repeatable: true}},
		{"keep-alive", "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", true, head{repeatable: true}},
		{"close", "GET / HTTP/1.1\r\nHost: x\r\nConnection: TE, Close\r\n\r\n", true, head{repeatable: true, closes: true}},
		{"body", "GET / HTTP/1.1\r\nHost: x\r\ncontent-length: 12 \r\n\r\n", true, head{body: 12}},
		{"POST", "POST / HTTP/1.1\r\nHost: x\r\n\r\n", true, head{}},
		{"expectation", "GET / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n", true, head{}},
		{"chunked", "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n", true, head{chunked: true}},
		{"other coding", "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false, head{}},
		{"chunked with a length", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", false, head{}},
		{"upgrade", "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\n\r\n", false, head{}},
		{"old version", "GET / HTTP/1.0\r\nHost: x\r\n\r\n", false, head{}},
		{"no host", "GET / HTTP/1.1\r\n\r\n", false, head{}},
		{"two lengths", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", false, head{}},
		{"line without CR", "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n", false, head{}},
		{"continuation line", "GET / HTTP/1.1\r\nHost: x\r\n A: b\r\n\r\n", false, head{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := parseHead([]byte(tc.text))
			g.Expect(ok).To(Equal(tc.ok))
			if ok {
				g.Expect(got).To(Equal(tc.want))
			}
		})
	}
}
