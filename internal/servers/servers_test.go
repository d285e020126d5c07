package servers

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An idle connection of one server must not use up the grace period of the others, which would cut
// their requests in flight.
func TestIdleConnectionDoesNotCutOtherServers(t *testing.T) {
	g := NewWithT(t)
	var inFlight atomic.Int64
	handling := make(chan struct{})
	idle, _ := serve(t, func(http.ResponseWriter, *http.Request) {})
	busy, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		close(handling)
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(w, "whole")
	})
	conn, err := net.Dial("tcp", idle.Addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answers := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answers <- string(body)
	}()
	<-handling
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	started := time.Now()
	Close(ctx, []*Server{idle, busy}, inFlight.Load)
	g.Expect(<-answers).To(Equal("whole"))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second), "Close waits for requests in flight, not for idle connections")
}

// A client that sends its first request while the server is closing must get a response. If the
// connection were cut, the client could not tell whether the request was executed.
func TestCloseAwaitsFirstRequest(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tls   *tls.Config
		delay time.Duration // of the first request
	}{
		{"TLS", serverTLS(t), tlsRequestTimeout / 2},
		{"plain", nil, plainRequestTimeout / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			server, address := serveTLS(t, tc.tls, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			if tc.tls != nil {
				conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			}
			g.Eventually(func() bool { return server.awaitsFirstRequest(time.Now()) }, "5s", "1ms").Should(BeTrue())
			time.AfterFunc(tc.delay, func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") })
			started := time.Now()
			Close(context.Background(), []*Server{server}, func() int64 { return 0 })
			answer, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(answer)).To(HaveSuffix("whole"))
			g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
		})
	}
}

// Guards against a stop that takes a second because a client has opened a connection and does not use
// it: the target beside the node is not reached meanwhile.
func TestUnusedConnectionDelaysCloseLittle(t *testing.T) {
	g := NewWithT(t)
	server, address := serve(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Eventually(func() bool { return server.awaitsFirstRequest(time.Now()) }, "5s", "1ms").Should(BeTrue())
	started := time.Now()
	Close(context.Background(), []*Server{server}, func() int64 { return 0 })
	g.Expect(time.Since(started)).To(BeNumerically("<", plainRequestTimeout+2*flushTimeout))
}

// Requests that are still running when the context ends are cut.
func TestCloseCutsRequestsAtDeadline(t *testing.T) {
	g := NewWithT(t)
	handling := make(chan struct{})
	server, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(handling)
		<-r.Context().Done()
	})
	failed := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + address)
		failed <- err
	}()
	<-handling
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	Close(ctx, []*Server{server}, func() int64 { return 1 })
	g.Expect(<-failed).To(HaveOccurred())
}

func serve(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	return serveTLS(t, nil, handler)
}

// serveTLS serves with TLS unless config is nil.
func serveTLS(t *testing.T, config *tls.Config, handler http.HandlerFunc) (*Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := New(listener, &http.Server{Addr: address, Handler: handler})
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	return server, address
}

// serverTLS returns a configuration with a certificate.
func serverTLS(t *testing.T) *tls.Config {
	server := httptest.NewTLSServer(nil)
	t.Cleanup(server.Close)
	return server.TLS
}
