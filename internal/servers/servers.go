// Package servers closes the HTTP servers of a node without cutting a request. It owns the state of
// their connections; it relies on a count of the requests in flight whose handlers have not
// returned.
package servers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server that knows which of its connections are new.
type Server struct {
	*http.Server
	listener net.Listener
	mu       sync.Mutex
	fresh    map[net.Conn]time.Time // connections without a first answer, and since when
}

// New makes a server for a listener; it takes over the ConnState of the server given.
func New(listener net.Listener, server *http.Server) *Server {
	s := &Server{Server: server, listener: listener, fresh: map[net.Conn]time.Time{}}
	server.ConnState = s.note
	return s
}

// Run serves until the listener is closed.
func (s *Server) Run() error { return s.Serve(s.listener) }

func (s *Server) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.fresh[conn] = time.Now()
	case http.StateActive: // its first request was read, and is not yet answered
	default:
		delete(s.fresh, conn)
	}
}

// expects tells whether a first request may be on its way on one of the connections, or was just
// read.
func (s *Server) expects(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.fresh {
		if now.Sub(since) < freshTime {
			return true
		}
	}
	return false
}

const (
	// flushTime is how long answers may take to be written out once nothing is in flight: their
	// handlers have returned, net/http has not.
	flushTime = 200 * time.Millisecond
	// freshTime is how long the first request of a connection may take: with TLS 1.3 its sender
	// writes it before the server has ended the handshake, and cannot know what became of it when
	// the connection is cut. Senders also open connections that they never use.
	freshTime = time.Second
	poll      = 10 * time.Millisecond
)

// Close closes servers, all at the same time. New connections are refused first, and first requests
// on those that were opened shortly before are awaited: once Shutdown is called net/http drops
// what it reads. Then requests in flight end. What is open is cut when nothing has been in flight
// for flushTime, or when ctx ends.
func Close(ctx context.Context, servers []*Server, inFlight func() int64) {
	for _, server := range servers {
		_ = server.listener.Close()
	}
	awaitFirst(ctx, servers)
	awaitIdle(ctx, servers, inFlight)
	for _, server := range servers {
		_ = server.Close()
	}
}

func awaitFirst(ctx context.Context, servers []*Server) {
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for ctx.Err() == nil && expectsAny(servers) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func awaitIdle(ctx context.Context, servers []*Server, inFlight func() int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { _ = server.Shutdown(ctx) })
	}
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		group.Wait()
	}()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for quiet := time.Now(); time.Since(quiet) < flushTime; {
		select {
		case <-idle:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if inFlight() > 0 {
			quiet = time.Now()
		}
	}
}

func expectsAny(servers []*Server) bool {
	now := time.Now()
	for _, server := range servers {
		if server.expects(now) {
			return true
		}
	}
	return false
}
