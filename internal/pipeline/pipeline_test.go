package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/servers"
	. "github.com/onsi/gomega"
)

// testServer serves the test handler through a Listener.
type testServer struct {
	*http.Server
	managed  *servers.Server
	listener *Listener
	address  string
	stopping atomic.Bool
	started  atomic.Int64
	ended    atomic.Int64
	once     atomic.Int64 // requests to /once that were executed
	mu       sync.Mutex
	gates    map[string]chan struct{} // closed to let a request of that path respond
	contexts map[string]context.Context
}

// newServer starts a server. Its handler responds to /wait... and /stubborn once release is called for
// the path, to /size/N with N bytes, to /broken with half a response, and to all others after a random
// time. The body of a response is the path, and the request body.
func newServer(t *testing.T) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, inner, 5*time.Second)
}

func serveOn(t *testing.T, inner net.Listener, idleTimeout time.Duration) *testServer {
	t.Helper()
	s := &testServer{Server: &http.Server{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout}, address: inner.Addr().String(), gates: map[string]chan struct{}{}, contexts: map[string]context.Context{}}
	s.Handler = http.HandlerFunc(s.handle)
	s.listener = New(inner, s.Server, Options{Stopping: s.stopping.Load})
	s.managed = servers.New(s.listener, s.Server)
	go func() { _ = s.managed.Run() }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	s.started.Add(1)
	defer s.ended.Add(1)
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.contexts[r.URL.Path] = r.Context()
	s.mu.Unlock()
	text := r.URL.Path + string(body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/wait"):
		select {
		case <-s.gate(r.URL.Path):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	case r.URL.Path == "/stubborn": // does not notice that its client has left
		<-s.gate(r.URL.Path)
	case strings.HasPrefix(r.URL.Path, "/size/"):
		n, _ := strconv.Atoi(r.URL.Path[len("/size/"):])
		text = strings.Repeat("x", n)
	case r.URL.Path == "/broken":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/once"):
		if AwaitTurn(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		s.once.Add(1)
	case r.URL.Path == "/quick":
	default:
		time.Sleep(rand.N(5 * time.Millisecond))
	}
	if s.stopping.Load() && MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (s *testServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) release(path string) { close(s.gate(path)) }

// cancelled reports whether the contexts of all started requests have ended.
func (s *testServer) cancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ctx := range s.contexts {
		if ctx.Err() == nil {
			return false
		}
	}
	return true
}

// testClient is a connection that writes raw bytes and reads responses.
type testClient struct {
	net.Conn
	reader *bufio.Reader
	g      *WithT
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &testClient{Conn: conn, reader: bufio.NewReader(conn), g: NewWithT(t)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func chunked(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
}

func (c *testClient) send(text string) {
	_, err := io.WriteString(c, text)
	c.g.Expect(err).NotTo(HaveOccurred())
}

// receive reads a response and returns its body and whether it announces the end of the connection.
func (c *testClient) receive() (status int, body string, closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	content, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content), response.Close
}

func (c *testClient) expect(body string) {
	status, got, _ := c.receive()
	c.g.Expect(status).To(Equal(http.StatusOK))
	c.g.Expect(got).To(Equal(body))
}

func (c *testClient) expectEnd() {
	_, err := c.reader.ReadByte()
	c.g.Expect(err).To(MatchError(io.EOF))
}

// idle waits until nothing is outstanding, and checks that nothing counts against the limits.
func (s *testServer) idle(g *WithT) {
	g.Eventually(s.listener.Pending, "5s", "1ms").Should(BeFalse())
	g.Eventually(func() int64 { return s.ended.Load() - s.started.Load() }, "5s", "1ms").Should(BeZero())
	g.Eventually(s.listener.bytes.Load, "5s", "1ms").Should(BeZero())
	g.Eventually(s.listener.Limited, "5s", "1ms").Should(BeZero())
}

// Guards against responses that are swapped, lost or mixed with each other: requests of all kinds with
// random work times, sent in fragments that end anywhere.
func TestResponsesAreInOrder(t *testing.T) {
	s := newServer(t)
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			c := s.dial(t)
			var stream strings.Builder
			var bodies []string
			for i := range 100 {
				path := fmt.Sprintf("/r%d", i)
				switch rand.IntN(8) {
				case 0:
					body := strings.Repeat("b", rand.IntN(6000))
					stream.WriteString(post(path, body))
					path += body
				case 1:
					body := strings.Repeat("c", 1+rand.IntN(6000))
					stream.WriteString(chunked(path, body))
					path += body
				case 2:
					size := rand.IntN(40000)
					stream.WriteString(get("/size/" + strconv.Itoa(size)))
					path = strings.Repeat("x", size)
				default:
					stream.WriteString(get(path))
				}
				bodies = append(bodies, path)
			}
			go func() {
				for text := stream.String(); text != ""; {
					n := min(len(text), 1+rand.IntN(700))
					if rand.IntN(4) == 0 {
						time.Sleep(rand.N(time.Millisecond))
					}
					if _, err := io.WriteString(c, text[:n]); err != nil {
						return
					}
					text = text[n:]
				}
			}()
			for _, body := range bodies {
				c.expect(body)
			}
		})
	}
	clients.Wait()
	s.idle(NewWithT(t))
}

// Guards against requests that are read only after the response before them, and against responses
// that overtake a stalled one.
func TestStalledFirstResponse(t *testing.T) {
	s := newServer(t)
	g := NewWithT(t)
	c := s.dial(t)
	c.send(get("/wait") + get("/a") + get("/b") + post("/c", "body") + get("/d"))
	g.Eventually(s.ended.Load, "5s", "1ms").Should(Equal(int64(2)), "the requests behind are handled at once")
	g.Consistently(s.started.Load, "50ms", "5ms").Should(Equal(int64(3)), "a request with a body waits, and those behind it")
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.reader.Peek(1)
	g.Expect(err).To(HaveOccurred(), "no response overtakes the first")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	s.release("/wait")
	for _, body := range []string{"/wait", "/a", "/b", "/cbody", "/d"} {
		c.expect(body)
	}
	s.idle(g)
	s.mu.Lock()
	for path, ahead := range map[string]bool{"/wait": false, "/a": true, "/b": true, "/c": false} {
		g.Expect(ReadAhead(s.contexts[path])).To(Equal(ahead), path)
	}
	s.mu.Unlock()
	c.send(get("/again")) // the connection stays usable
	c.expect("/again")
}

// Guards against more requests ahead than the limit, and against ones that are forgotten at the limit.
func TestManyRequestsBehindOne(t *testing.T) {
	s := newServer(t)
	g := NewWithT(t)
	c := s.dial(t)
	c.send(get("/wait"))
	for i := range 50 {
		c.send(get(fmt.Sprintf("/%d", i)))
	}
	g.Eventually(s.ended.Load, "5s", "1ms").Should(Equal(int64(maxConnRequests)))
	g.Consistently(s.started.Load, "50ms", "5ms").Should(Equal(int64(1 + maxConnRequests)))
	g.Expect(s.listener.Limited()).To(Equal(int64(1)))
	s.release("/wait")
	c.expect("/wait")
	for i := range 50 {
		c.expect(fmt.Sprintf("/%d", i))
	}
	s.idle(g)
}

// Guards against requests that are split wrongly when their bytes arrive in parts: each stream is cut
// at every position.
func TestBytesSplitAnywhere(t *testing.T) {
	s := newServer(t)
	stream := get("/quick") + post("/quick", "body") + get("/quick") + chunked("/quick", "body") + get("/quick") + "HEAD /quick HTTP/1.1\r\nHost: x\r\n\r\n" + get("/quick")
	for i := 1; i < len(stream); i++ {
		c := s.dial(t)
		c.send(stream[:i])
		time.Sleep(200 * time.Microsecond)
		c.send(stream[i:])
		for _, body := range []string{"/quick", "/quickbody", "/quick", "/quickbody", "/quick"} {
			c.expect(body)
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(response.ContentLength).To(Equal(int64(len("/quick"))))
		c.expect("/quick")
		_ = c.Close()
	}
	s.idle(NewWithT(t))
}

// Guards against a part of a request that is lost when the requests before it end.
func TestHalfRequest(t *testing.T) {
	s := newServer(t)
	c := s.dial(t)
	c.send(get("/wait") + get("/a") + "GET /b HT")
	c.g.Eventually(s.ended.Load, "5s", "1ms").Should(Equal(int64(1)))
	s.release("/wait")
	c.expect("/wait")
	c.expect("/a")
	time.Sleep(10 * time.Millisecond)
	c.send("TP/1.1\r\nHost: x\r\n\r\n")
	c.expect("/b")
	s.idle(c.g)
}

// Guards against bad requests that cut the responses before them, or that are answered out of turn.
func TestBadRequestBehindGoodOnes(t *testing.T) {
	for _, tc := range []struct {
		name, request string
		status        int
	}{
		{"head over the limit", "GET /b HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"head over the limit of the buffer", "GET /b HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"malformed", "\x00\x01\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET /b HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "GET /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t)
			c := s.dial(t)
			go func() { _, _ = io.WriteString(c, get("/wait")+get("/a")+tc.request+get("/behind")) }()
			c.g.Eventually(s.ended.Load, "5s", "1ms").Should(Equal(int64(1)))
			s.release("/wait")
			c.expect("/wait")
			c.expect("/a")
			status, _, closes := c.receive()
			c.g.Expect(status).To(Equal(tc.status))
			c.g.Expect(closes).To(BeTrue())
			s.idle(c.g)
			s.mu.Lock()
			defer s.mu.Unlock()
			c.g.Expect(s.contexts).NotTo(HaveKey("/behind"))
		})
	}
}

// Guards against requests that keep running after their client has disconnected.
func TestClientCloseCancels(t *testing.T) {
	for _, tc := range []struct {
		name, stream string
		started      int64
		prepare      func(s *testServer, c *testClient)
	}{
		{"one request", get("/wait"), 1, nil},
		{"requests ahead", get("/wait") + get("/wait1") + get("/wait2"), 3, nil},
		{"half a request buffered", get("/wait") + get("/wait1") + "GET /", 2, nil},
		{"request with a body buffered", get("/wait") + get("/wait1") + post("/p", "body"), 2, nil},
		{"at the limit of requests", get("/wait") + strings.Repeat(get("/wait1"), 50), 1 + maxConnRequests, nil},
		{"response buffered", get("/wait") + get("/quick") + get("/wait1"), 3, nil},
		{"first response written", get("/wait") + get("/wait1") + get("/wait2"), 3, func(s *testServer, c *testClient) {
			s.release("/wait")
			c.expect("/wait")
		}},
		{"first response written, others wait", get("/wait") + get("/wait1") + post("/p", "body"), 2, func(s *testServer, c *testClient) {
			s.release("/wait")
			c.expect("/wait")
		}},
		{"after a body", post("/a", "body") + get("/wait") + get("/wait1"), 3, func(_ *testServer, c *testClient) { c.expect("/abody") }},
		{"after a chunked body", chunked("/a", "body") + get("/wait") + get("/wait1"), 3, func(_ *testServer, c *testClient) { c.expect("/abody") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t)
			c := s.dial(t)
			c.send(tc.stream)
			c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(tc.started))
			if tc.prepare != nil {
				tc.prepare(s, c)
			}
			_ = c.Close()
			c.g.Eventually(s.cancelled, "100ms", "1ms").Should(BeTrue())
			s.idle(c.g)
			c.g.Expect(s.started.Load()).To(Equal(tc.started))
		})
	}
}

// Guards against requests that wait behind one whose handler goes on after the client has
// disconnected: those that run must be cancelled, and the others must never run.
func TestClientCloseBehindStubbornHandler(t *testing.T) {
	for ahead := range int64(3) {
		t.Run(fmt.Sprintf("%d requests ahead", ahead), func(t *testing.T) {
			s := newServer(t)
			c := s.dial(t)
			c.send(get("/stubborn") + strings.Repeat(get("/wait1"), int(ahead)) + post("/p", "body"))
			c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(1 + ahead))
			time.Sleep(10 * time.Millisecond) // until the rest is buffered
			_ = c.Close()
			c.g.Eventually(s.cancelled, "100ms", "1ms").Should(BeTrue())
			c.g.Eventually(s.ended.Load, "5s", "1ms").Should(Equal(ahead))
			s.release("/stubborn")
			s.idle(c.g)
			c.g.Consistently(s.started.Load, "50ms", "5ms").Should(Equal(1 + ahead))
		})
	}
}

// Guards against requests that run, or responses that are sent, after the end of the connection was
// announced.
func TestClosingResponseCancelsThoseBehind(t *testing.T) {
	for _, tc := range []struct{ name, first, second string }{
		{"Connection: close in line", get("/wait"), "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"Connection: close first", "", "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"broken in line", get("/wait"), get("/broken")},
		{"broken first", "", get("/broken")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t)
			c := s.dial(t)
			c.send(tc.first + tc.second + get("/wait1") + get("/wait2"))
			if tc.first != "" {
				c.g.Eventually(s.started.Load, "5s", "1ms").Should(BeNumerically(">=", 2))
				s.release("/wait")
				c.expect("/wait")
			}
			rest, err := io.ReadAll(c.reader)
			c.g.Expect(err).To(Or(Not(HaveOccurred()), MatchError(ContainSubstring("reset"))))
			c.g.Expect(string(rest)).NotTo(ContainSubstring("/wait"))
			c.g.Eventually(s.cancelled, "1s", "1ms").Should(BeTrue())
			s.idle(c.g)
		})
	}
}

// Guards against a response that grows without limit in memory while it is not due, and against a
// writer that blocks for ever.
func TestLargeResponseBlocksWriter(t *testing.T) {
	s := newServer(t)
	c := s.dial(t)
	const size = 1 << 20
	c.send(get("/wait") + get("/size/"+strconv.Itoa(size)) + get("/size/"+strconv.Itoa(size)) + get("/a"))
	c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(int64(4)))
	c.g.Consistently(s.listener.bytes.Load, "50ms", "1ms").Should(BeNumerically("<", 2*maxConnBytes))
	c.g.Expect(s.listener.Limited()).To(Equal(int64(1)))
	s.release("/wait")
	c.expect("/wait")
	c.expect(strings.Repeat("x", size))
	c.expect(strings.Repeat("x", size))
	c.expect("/a")
	s.idle(c.g)
}

// Guards against connections that are never read again after the limit of the node was reached.
func TestNodeLimit(t *testing.T) {
	s := newServer(t)
	g := NewWithT(t)
	const conns = maxNodeRequests/maxConnRequests + 10
	var clients []*testClient
	for range conns {
		c := s.dial(t)
		c.send(get("/wait") + strings.Repeat(get("/wait1"), 20))
		clients = append(clients, c)
	}
	g.Eventually(s.started.Load, "10s", "1ms").Should(Equal(int64(conns + maxNodeRequests)))
	g.Expect(s.listener.Limited()).To(Equal(int64(conns)))
	s.release("/wait")
	s.release("/wait1")
	for _, c := range clients {
		c.expect("/wait")
		for range 20 {
			c.expect("/wait1")
		}
	}
	s.idle(g)
}

// A request that must not run twice may not be executed ahead of its turn: if an earlier response closes
// the connection, the client sends it again.
func TestAwaitTurn(t *testing.T) {
	t.Run("in turn", func(t *testing.T) {
		s := newServer(t)
		c := s.dial(t)
		c.send(get("/wait") + get("/once") + get("/a"))
		c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(int64(3)))
		c.g.Consistently(s.once.Load, "30ms", "5ms").Should(BeZero())
		s.release("/wait")
		for _, body := range []string{"/wait", "/once", "/a"} {
			c.expect(body)
		}
		c.g.Expect(s.once.Load()).To(Equal(int64(1)))
		s.idle(c.g)
	})
	t.Run("behind a response that closes", func(t *testing.T) {
		s := newServer(t)
		c := s.dial(t)
		c.send(get("/wait") + get("/broken") + get("/once"))
		c.g.Eventually(s.started.Load, "5s", "1ms").Should(BeNumerically(">=", int64(2)))
		s.release("/wait")
		_, _ = io.ReadAll(c.reader)
		c.g.Eventually(s.cancelled, "1s", "1ms").Should(BeTrue())
		c.g.Expect(s.once.Load()).To(BeZero())
		s.idle(c.g)
	})
	t.Run("client leaves", func(t *testing.T) {
		s := newServer(t)
		c := s.dial(t)
		c.send(get("/wait") + get("/once"))
		c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(int64(2)))
		_ = c.Close()
		c.g.Eventually(s.cancelled, "1s", "1ms").Should(BeTrue())
		s.idle(c.g)
		c.g.Expect(s.once.Load()).To(BeZero())
	})
}
