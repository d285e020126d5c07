package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/servers"
	. "github.com/onsi/gomega"
)

// Guards against a shutdown that cuts requests which were read, in each state of a connection. Only
// the last response may announce the end of the connection.
func TestShutdown(t *testing.T) {
	for _, tc := range []struct {
		name, stream string
		started      int64 // before the shutdown
		bodies       []string
		announced    bool          // whether the last response is begun after the start of the shutdown
		delay        time.Duration // before the first response
	}{
		{"one request", get("/wait"), 1, []string{"/wait"}, true, 0},
		{"requests ahead", get("/wait") + get("/wait1") + get("/wait2"), 3, []string{"/wait", "/wait1", "/wait2"}, true, 0},
		{"requests ahead for long", get("/wait") + get("/wait1") + get("/wait2"), 3, []string{"/wait", "/wait1", "/wait2"}, true, 500 * time.Millisecond},
		{"half a request buffered", get("/wait") + get("/wait1") + "GET /", 2, []string{"/wait", "/wait1"}, true, 0},
		{"request with a body buffered", get("/wait") + get("/wait1") + post("/p", "body"), 2, []string{"/wait", "/wait1"}, true, 0},
		{"request with a body behind one", get("/wait") + post("/p", "body"), 1, []string{"/wait"}, true, 0},
		{"response buffered", get("/wait") + get("/quick"), 2, []string{"/wait", "/quick"}, false, 0},
		{"last response buffered in part", get("/wait") + get("/size/200000"), 2, []string{"/wait", strings.Repeat("x", 200000)}, false, 0},
		{"idle", get("/quick"), 1, []string{"/quick"}, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s := serveOn(t, inner, 5*time.Second)
			c := s.dial(t)
			c.send(tc.stream)
			g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(tc.started))
			time.Sleep(10 * time.Millisecond)
			s.stopping.Store(true)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				servers.Close(ctx, []*servers.Server{s.managed}, func() int64 { return s.started.Load() - s.ended.Load() })
			}()
			time.Sleep(20 * time.Millisecond)
			if tc.announced {
				c.send(get("/late")) // not read
			}
			time.Sleep(tc.delay)
			for _, path := range []string{"/wait2", "/wait1", "/wait"} {
				s.release(path)
				time.Sleep(5 * time.Millisecond)
			}
			for i, body := range tc.bodies {
				status, got, closes := c.receive()
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(got).To(Equal(body))
				g.Expect(closes).To(Equal(tc.announced && i == len(tc.bodies)-1), "response %d", i)
			}
			rest, _ := io.ReadAll(c.reader)
			g.Expect(rest).To(BeEmpty())
			g.Eventually(closed, "6s").Should(BeClosed())
			s.idle(g)
			g.Expect(s.started.Load()).To(Equal(tc.started))
		})
	}
}

// Guards against requests that were read just before the listener closed, and that the server never
// accepts.
func TestShutdownOfArrivingRequests(t *testing.T) {
	for range 50 {
		g := NewWithT(t)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := serveOn(t, inner, 5*time.Second)
		c := s.dial(t)
		c.send(get("/a") + get("/b") + get("/c") + get("/d"))
		g.Eventually(s.started.Load, "5s", "100us").Should(BeNumerically(">", 0))
		s.stopping.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		servers.Close(ctx, []*servers.Server{s.managed}, func() int64 { return s.started.Load() - s.ended.Load() })
		cancel()
		answered := int64(0)
		for ; ; answered++ {
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(answered).To(Equal(s.started.Load()), "each request that reached the handler is answered")
		s.idle(g)
	}
}

// Guards against the end of a server that does not end the requests ahead.
func TestServerClose(t *testing.T) {
	s := newServer(t)
	c := s.dial(t)
	c.send(get("/wait") + get("/wait1") + get("/wait2"))
	c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(int64(3)))
	c.g.Expect(s.Close()).To(Succeed())
	c.g.Eventually(s.cancelled, "1s", "1ms").Should(BeTrue())
	s.idle(c.g)
	_, err := c.reader.ReadByte()
	c.g.Expect(err).To(HaveOccurred())
}

// Guards against an idle time limit that cuts a response in line, or that no longer applies afterwards.
func TestIdleTimeout(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := serveOn(t, inner, 50*time.Millisecond)
	c := s.dial(t)
	c.send(get("/wait") + get("/wait1"))
	c.g.Eventually(s.started.Load, "5s", "1ms").Should(Equal(int64(2)))
	s.release("/wait")
	c.expect("/wait")
	time.Sleep(150 * time.Millisecond)
	s.release("/wait1")
	c.expect("/wait1")
	started := time.Now()
	c.expectEnd()
	c.g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	s.idle(c.g)
}

// Guards against costs for clients that send one request at a time: a connection through a Listener
// must make the same calls on the network connection, and run as many goroutines, as one without.
func TestNoCostWithoutPipelining(t *testing.T) {
	g := NewWithT(t)
	g.Expect(leastCalls(t, true)).To(Equal(leastCalls(t, false)))
}

// leastCalls returns the least of several measurements. On a loaded machine a request may arrive before
// the server has stopped the read of the previous one, which adds reads with and without a Listener.
func leastCalls(t *testing.T, pipelined bool) calls {
	least := measure(t, pipelined)
	for range 3 {
		other := measure(t, pipelined)
		least = calls{min(least.reads, other.reads), min(least.writes, other.writes), min(least.goroutines, other.goroutines)}
	}
	return least
}

// calls are those on a connection that serves requests one at a time, and the goroutines while a
// request is handled.
type calls struct{ reads, writes, goroutines int64 }

func measure(t *testing.T, pipelined bool) calls {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	counter := &countingListener{Listener: inner}
	var listener net.Listener = counter
	var goroutines atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		time.Sleep(5 * time.Millisecond) // until the server's read of the next request is pending
		goroutines.Store(serverGoroutines())
	})}
	if pipelined {
		listener = New(counter, server, Options{})
	}
	g.Eventually(serverGoroutines, "5s", "1ms").Should(BeZero()) // those of earlier tests have ended
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c := (&testServer{address: inner.Addr().String()}).dial(t)
	for range 20 {
		c.send(get("/"))
		c.expect("")
		time.Sleep(2 * time.Millisecond)
		c.send(post("/", "body"))
		c.expect("body")
		time.Sleep(2 * time.Millisecond)
	}
	_ = c.Close()
	g.Eventually(func() int64 { return goroutinesIn("net/http.(*conn)") }, "5s", "1ms").Should(BeZero())
	return calls{counter.reads.Load(), counter.writes.Load(), goroutines.Load()}
}

// serverGoroutines returns the number of goroutines of HTTP servers and of listeners.
func serverGoroutines() int64 { return goroutinesIn("net/http.(*", "internal/pipeline.(*") }

// goroutinesIn returns the number of goroutines whose stack contains one of the names.
func goroutinesIn(names ...string) int64 {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	count := int64(0)
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		if slices.ContainsFunc(names, func(name string) bool { return strings.Contains(stack, name) }) {
			count++
		}
	}
	return count
}

type countingListener struct {
	net.Listener
	reads, writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{accepted, l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	c.listener.reads.Add(1)
	return c.Conn.Read(p)
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.listener.writes.Add(1)
	return c.Conn.Write(p)
}

// BenchmarkKeepAlive measures a request of a client that sends one at a time.
func BenchmarkKeepAlive(b *testing.B) {
	for _, pipelined := range []bool{false, true} {
		b.Run(map[bool]string{false: "direct", true: "pipeline"}[pipelined], func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := listener.Addr().String()
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") })}
			var ahead func() int64
			if pipelined {
				wrapped := New(listener, server, Options{})
				listener, ahead = wrapped, wrapped.Total
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(conn, get("/"))
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			if ahead != nil {
				b.ReportMetric(float64(ahead())/float64(b.N), "ahead/op")
			}
		})
	}
}
