package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// testPeer is a node that answers calls and counts connections and calls.
type testPeer struct {
	*httptest.Server
	client      *Client
	connections atomic.Int64
	calls       atomic.Int64
}

func newTestPeer(t testing.TB, handle func(w http.ResponseWriter, r *http.Request)) *testPeer {
	p := &testPeer{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		result, err := wire.SidecarResultCodec.EncodeHeader(&wire.SidecarResult{Outcome: string(outcome.Answered), Arrived: true, Status: http.StatusOK, Incarnation: "i"})
		if err != nil {
			t.Error(err)
		}
		w.Header().Set(wire.HeaderSidecarResult, result)
		handle(w, r)
	}))
	t.Cleanup(p.Close)
	p.client = NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		p.connections.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, headers.Names{RequestID: "X-Id", Deadline: "X-Deadline"})
	t.Cleanup(p.client.CloseIdle)
	return p
}

func (p *testPeer) call(ctx context.Context, header http.Header, body []byte) *reply.Reply {
	return p.client.Call(ctx, p.Listener.Addr().String(), &wire.SidecarCall{RequestID: "a"}, header, &reply.Payload{Data: body}, nil)
}

// Guards against changes of a request or of a response on the way, with short and long bodies.
func TestCallPassesRequestAndResponse(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{"X-Id": {"a"}, "X-Deadline": {"5"}, "X-Multi": {"1", "2"}, "Idempotency-Key": {"k"}, "X-Broken": {"a\r\nX-Injected: 1"}}
	var got http.Header
	p := newTestPeer(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Answer", "1")
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, maxDirectBody} {
		body := bytes.Repeat([]byte("a"), size)
		answer := p.call(t.Context(), header, body)
		g.Expect(answer.Outcome).To(Equal(outcome.Answered))
		g.Expect(answer.Body).To(HaveLen(size))
		g.Expect(answer.Header).To(HaveKeyWithValue("X-Answer", []string{"1"}))
		g.Expect(got).To(HaveKeyWithValue("X-Multi", []string{"1", "2"}))
		g.Expect(got).To(HaveKey("Idempotency-Key"))
		g.Expect(got).NotTo(HaveKey("X-Injected"))
		g.Expect(got).NotTo(HaveKey("X-Id"))
		g.Expect(got).NotTo(HaveKey("X-Deadline"))
		g.Expect(got).NotTo(HaveKey("User-Agent"))
		call, err := wire.DecodeCall(got)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(call.RequestID).To(Equal("a"))
	}
	g.Expect(p.connections.Load()).To(Equal(int64(1)))
	delete(header, "X-Broken") // refused by http.Transport
	g.Expect(p.call(t.Context(), header, make([]byte, maxDirectBody+1)).Body).To(HaveLen(maxDirectBody + 1))
}

// Guards against a call that fails because its connection was closed while it was idle.
func TestCallReplacesClosedConnections(t *testing.T) {
	g := NewWithT(t)
	p := newTestPeer(t, func(http.ResponseWriter, *http.Request) {})
	g.Expect(p.call(t.Context(), nil, nil).Outcome).To(Equal(outcome.Answered))
	p.CloseClientConnections()
	time.Sleep(20 * time.Millisecond)
	g.Expect(p.call(t.Context(), nil, nil).Outcome).To(Equal(outcome.Answered))
	g.Expect(p.connections.Load()).To(Equal(int64(2)))
}

// Guards against a request that is sent a second time after its connection broke.
func TestCallIsNotRepeatedWhenTheConnectionBreaks(t *testing.T) {
	g := NewWithT(t)
	fail := false
	p := newTestPeer(t, func(http.ResponseWriter, *http.Request) {
		if fail {
			panic(http.ErrAbortHandler)
		}
	})
	g.Expect(p.call(t.Context(), nil, nil).Outcome).To(Equal(outcome.Answered))
	fail = true
	answer := p.call(t.Context(), http.Header{"Idempotency-Key": {"k"}}, nil)
	g.Expect(answer.Outcome).To(Equal(outcome.Unknown))
	g.Expect(answer.Reason).To(Equal(outcome.ReasonLost))
	g.Expect(p.calls.Load()).To(Equal(int64(2)))
}

// Guards against reusing a connection whose response was not read to the end or that closes.
func TestConnectionIsReusedOnlyAfterACompleteResponse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle func(w http.ResponseWriter)
		reused bool
	}{
		{"complete", func(w http.ResponseWriter) { _, _ = w.Write([]byte("a")) }, true},
		{"chunked", func(w http.ResponseWriter) { _, _ = w.Write([]byte("a")); w.(http.Flusher).Flush() }, true},
		{"long, closed unread", func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 2*reply.MaxBuffered)) }, false},
		{"announced close", func(w http.ResponseWriter) { w.Header().Set("Connection", "close") }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newTestPeer(t, func(w http.ResponseWriter, _ *http.Request) { tc.handle(w) })
			for range 2 {
				answer := p.call(t.Context(), nil, nil)
				g.Expect(answer.Outcome).To(Equal(outcome.Answered))
				answer.Close()
			}
			g.Expect(p.connections.Load() == 1).To(Equal(tc.reused))
		})
	}
}

// Guards against calls that outlive their context.
func TestCancelledCallReturnsAndClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	cancelled := make(chan struct{})
	p := newTestPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	answer := p.call(ctx, nil, nil)
	g.Expect(answer.Outcome).To(Equal(outcome.Unknown))
	g.Expect(answer.Reason).To(Equal(outcome.ReasonCancelled))
	g.Eventually(cancelled).Should(BeClosed())
}

// Guards against idle connections that are kept for ever: they hold memory at both nodes.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	p := newTestPeer(t, func(http.ResponseWriter, *http.Request) {})
	calls := p.client.calls
	idle := func() int { return len(calls.idle[p.Listener.Addr().String()]) }
	for range 2 {
		p.call(t.Context(), nil, nil)
		g.Expect(idle()).To(Equal(1))
		p.client.CloseIdle()
		g.Expect(idle()).To(BeZero())
	}
	p.call(t.Context(), nil, nil)
	calls.closeExpired()
	g.Expect(idle()).To(Equal(1))
	calls.idle[p.Listener.Addr().String()][0].idleSince = time.Now().Add(-idleTimeout)
	calls.closeExpired()
	g.Expect(calls.idle).To(BeEmpty())
	g.Expect(calls.sweep).To(BeNil())
	conn, err := calls.acquire(t.Context(), p.Listener.Addr().String(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	calls.close()
	calls.release(conn) // returned after the shutdown
	g.Expect(calls.idle).To(BeEmpty())
}

// Guards against reusing a closed connection that is no socket, as in the tests of whole deployments.
func TestProbeDetectsClosedConnection(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	calls := newConnections(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, err := calls.acquire(t.Context(), "x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.isIdle()).To(BeTrue())
	g.Expect(conn.isIdle()).To(BeTrue())
	_ = far.Close()
	g.Expect(conn.isIdle()).To(BeFalse())
}

// Guards against waiting for a node that was found unresponsive, and against closing a connection that
// a later call uses.
func TestAbortEndsOnlyItsCall(t *testing.T) {
	for _, size := range []int{0, maxDirectBody + 1} {
		g := NewWithT(t)
		blocked := make(chan struct{}, 1)
		p := newTestPeer(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Block") != "" {
				_, _ = io.Copy(io.Discard, r.Body)
				blocked <- struct{}{}
				<-r.Context().Done()
			}
		})
		call := func(header http.Header, abort *Abort) *reply.Reply {
			return p.client.Call(t.Context(), p.Listener.Addr().String(), &wire.SidecarCall{}, header, &reply.Payload{Data: make([]byte, size)}, abort)
		}
		var done, running, early Abort
		g.Expect(call(http.Header{}, &done).Outcome).To(Equal(outcome.Answered))
		done.Do()
		g.Expect(call(http.Header{}, nil).Outcome).To(Equal(outcome.Answered))
		g.Expect(p.connections.Load()).To(Equal(int64(1)))
		go func() {
			<-blocked
			running.Do()
		}()
		g.Expect(call(http.Header{"X-Block": {"1"}}, &running).Outcome).To(Equal(outcome.Unknown))
		early.Do()
		g.Expect(call(http.Header{}, &early).Outcome).To(Equal(outcome.NotRun))
		g.Expect(p.calls.Load()).To(Equal(int64(3)))
	}
}

// startRawPeer starts a node that answers every call with a response, in which RESULT stands for the field of
// an answered call with the given status.
func startRawPeer(t *testing.T, status int, response string) (*Client, string) {
	result, err := wire.SidecarResultCodec.EncodeHeader(&wire.SidecarResult{Outcome: string(outcome.Answered), Arrived: true, Status: status, Incarnation: "i"})
	if err != nil {
		t.Fatal(err)
	}
	response = strings.ReplaceAll(response, "RESULT", wire.HeaderSidecarResult+": "+result)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	client := NewClient((&net.Dialer{}).DialContext, headers.Names{RequestID: "X-Id", Deadline: "X-Deadline"})
	t.Cleanup(client.CloseIdle)
	return client, listener.Addr().String()
}

// Guards against answers that are taken from a message that no node sends, or that a node of an earlier
// release has taken from its target.
func TestInvalidRepliesAreNotAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		status   int // of the target, as the node states it
		response string
		answered bool
	}{
		{"valid", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", true},
		{"valid, chunked", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"valid, without a body", 204, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 0\r\n\r\n", true},
		{"highest status", 599, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", true},
		{"target's status 0", 0, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"target's status 99", 99, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"target's status 100", 100, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"target's status 600", 600, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"target's status is negative", -1, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"ended by its connection", 200, "HTTP/1.1 200 OK\r\nRESULT\r\n\r\npart", false},
		{"HTTP/1.0, ended by its connection", 200, "HTTP/1.0 200 OK\r\nRESULT\r\n\r\npart", false},
		{"status 000", 200, "HTTP/1.1 000 OK\r\nRESULT\r\nContent-Length: 4\r\n\r\nbody", false},
		{"switched protocol", 200, "HTTP/1.1 101 Switching Protocols\r\nRESULT\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", false},
		{"blank in a field name", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nA B: c\r\nContent-Length: 4\r\n\r\nbody", false},
		{"blank in a trailer field", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: c\r\n\r\n", false},
		{"cut body", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 5\r\n\r\nbody", false},
		{"no body", 200, "HTTP/1.1 200 OK\r\nRESULT\r\nContent-Length: 5\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, address := startRawPeer(t, tc.status, tc.response)
			call := &wire.SidecarCall{RequestID: "a"}
			for _, send := range []struct {
				name string
				do   func() *reply.Reply
			}{
				{"call", func() *reply.Reply {
					return client.Call(t.Context(), address, call, http.Header{}, &reply.Payload{}, nil)
				}},
				{"long call", func() *reply.Reply {
					return client.Call(t.Context(), address, call, http.Header{}, &reply.Payload{Data: make([]byte, maxDirectBody+1)}, nil)
				}},
				{"query for the outcome", func() *reply.Reply { return client.Settle(t.Context(), address, call) }},
			} {
				t.Run(send.name, func(t *testing.T) {
					g := NewWithT(t)
					client.CloseIdle() // the node closes each connection
					answer := send.do()
					defer answer.Close()
					want := outcome.Unknown
					if tc.answered {
						want = outcome.Answered
					}
					g.Expect(answer.Outcome).To(Equal(want), "reason %s, status %d, body %q", answer.Reason, answer.Status, answer.Body)
				})
			}
		})
	}
}
