// Package servers shuts down the HTTP servers of a node without interrupting requests.
package servers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server that tracks connections whose first request is outstanding.
type Server struct {
	*http.Server
	listener net.Listener
	mu       sync.Mutex
	newConns map[net.Conn]time.Time // opening time of connections without a first response
	next     func(net.Conn, http.ConnState)
}

// New returns a Server for a listener. It adds to the ConnState hook of server.
func New(listener net.Listener, server *http.Server) *Server {
	s := &Server{Server: server, listener: listener, newConns: map[net.Conn]time.Time{}, next: server.ConnState}
	server.ConnState = s.trackState
	return s
}

// backlog is implemented by listeners that hand out requests read ahead of earlier responses.
type backlog interface {
	// Pending reports whether a response to such a request is outstanding.
	Pending() bool
}

// awaitsResponses reports whether responses to requests read ahead are outstanding. After Shutdown,
// net/http would add "Connection: close" to each, which cuts the ones behind it.
func (s *Server) awaitsResponses() bool {
	pipelined, ok := s.listener.(backlog)
	return ok && pipelined.Pending()
}

// Run accepts connections until the listener is closed.
func (s *Server) Run() error { return s.Serve(s.listener) }

func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	if s.next != nil {
		s.next(conn, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.newConns[conn] = time.Now()
	case http.StateActive: // the first request was read but not yet answered
	default:
		delete(s.newConns, conn)
	}
}

// awaitsFirstRequest reports whether a recently opened connection has no response yet: its first
// request may be on its way, or is being handled.
func (s *Server) awaitsFirstRequest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, opened := range s.newConns {
		if now.Sub(opened) < firstRequestTimeout(conn) {
			return true
		}
	}
	return false
}

// firstRequestTimeout returns how long to wait for the first request of a connection.
func firstRequestTimeout(conn net.Conn) time.Duration {
	if _, encrypted := conn.(*tls.Conn); encrypted {
		return tlsRequestTimeout
	}
	return plainRequestTimeout
}

const (
	// flushTimeout is the time that net/http may take to write the rest of the responses after
	// the last handler has returned.
	flushTimeout = 200 * time.Millisecond
	// tlsRequestTimeout and plainRequestTimeout are how long to wait for the first request of a
	// connection. A client sends it as soon as it has connected, with TLS 1.3 before the server has
	// finished the handshake, and cannot tell whether it was executed if the connection is cut. The
	// wait is limited since clients also open connections that they never use.
	tlsRequestTimeout   = time.Second
	plainRequestTimeout = 250 * time.Millisecond
	pollInterval        = 10 * time.Millisecond
)

// Close shuts down the servers concurrently. It closes the listeners, waits for the first requests
// on connections that were opened shortly before, since net/http drops requests that it reads
// after Shutdown, and for the responses to pipelined requests, and then waits for the requests in
// flight. Connections that are still open are
// cut once inFlight has been zero for flushTimeout, or when ctx is done. inFlight returns the
// number of requests whose handlers have not returned.
func Close(ctx context.Context, servers []*Server, inFlight func() int64) {
	for _, server := range servers {
		_ = server.listener.Close()
	}
	awaitFirstRequests(ctx, servers)
	awaitIdle(ctx, servers, inFlight)
	for _, server := range servers {
		_ = server.Close()
	}
}

func awaitFirstRequests(ctx context.Context, servers []*Server) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && anyAwaitsFirstRequest(servers) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func awaitIdle(ctx context.Context, servers []*Server, inFlight func() int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() { _ = server.Shutdown(ctx) })
	}
	shutdown := make(chan struct{})
	go func() {
		defer close(shutdown)
		wg.Wait()
	}()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for idleSince := time.Now(); time.Since(idleSince) < flushTimeout; {
		select {
		case <-shutdown:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if inFlight() > 0 {
			idleSince = time.Now()
		}
	}
}

func anyAwaitsFirstRequest(servers []*Server) bool {
	now := time.Now()
	for _, server := range servers {
		if server.awaitsFirstRequest(now) || server.awaitsResponses() {
			return true
		}
	}
	return false
}
