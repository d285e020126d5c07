// Package pipeline reads ahead on HTTP/1.1 connections: requests that a client sends before an
// earlier one is answered are handled at once, and their responses are written in order.
//
// A Listener wraps each accepted connection in one that splits the byte stream into requests.
// net/http serves the first request on the connection itself. While its handler runs, net/http keeps
// a read pending to notice that the client disconnects. The wrapper uses this read to read ahead: a
// complete further GET or HEAD request without a body is served by the same http.Server on a virtual
// connection, whose output is buffered until the responses before it are complete. Any other request
// waits in the buffer and is served on the connection itself when its turn comes.
//
// A connection whose client never sends a request ahead costs no goroutine, system call or copy in
// addition: data is read into the buffer of net/http, and only searched for the end of the head.
package pipeline

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Limits of a connection and of a node. At a limit, requests wait in the buffer of their connection,
// and a connection with a full buffer is not read.
const (
	maxConnRequests = 16
	maxConnBytes    = 64 << 10 // of requests; the same applies to responses that are not due
	maxNodeRequests = 1024
	maxNodeBytes    = 4 << 20 // may be exceeded by one read (4 KB) per connection
)

// Options configures a Listener.
type Options struct {
	// Stopping reports that the server is shutting down: requests that were read are answered, but no
	// further ones are read ahead. It must never become false again.
	Stopping func() bool
}

// Listener is a net.Listener whose connections read ahead.
type Listener struct {
	net.Listener
	options  Options
	server   *http.Server
	maxHead  int // size of the largest head that the server accepts
	start    sync.Once
	requests atomic.Int64 // requests read ahead whose response is not complete
	bytes    atomic.Int64 // buffered on all connections
	total    atomic.Int64
	limited  atomic.Int64

	mu     sync.Mutex
	closed bool
	queue  chan *request // requests for which the server has not accepted a connection
}

// New returns a Listener for the connections of server, which must serve it. It adds to the ConnState
// and ConnContext hooks of server.
func New(listener net.Listener, server *http.Server, options Options) *Listener {
	l := &Listener{Listener: listener, options: options, server: server, queue: make(chan *request, maxNodeRequests)}
	if l.maxHead = server.MaxHeaderBytes; l.maxHead <= 0 {
		l.maxHead = http.DefaultMaxHeaderBytes
	}
	state, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if state != nil {
			state(c, s)
		}
		if s != http.StateIdle {
			return
		}
		switch c := c.(type) {
		case *conn:
			c.responseComplete()
		case *request:
			c.complete(false)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if c, ok := c.(lineMember); ok {
			ctx = context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	return l
}

type contextKey struct{}

// lineMember is a connection whose responses are written in line with others.
type lineMember interface{ mayClose() bool }

// MayClose reports whether the connection may be closed after the response to the request with this
// context. It returns false if requests behind it were read, which would go unanswered. Otherwise no
// further requests are read on the connection, and the response must carry "Connection: close".
func MayClose(ctx context.Context) bool {
	member, ok := ctx.Value(contextKey{}).(lineMember)
	return !ok || member.mayClose()
}

// ReadAhead reports whether the request with this context was read before the response to an earlier
// one on its connection was complete.
func ReadAhead(ctx context.Context) bool {
	_, ahead := ctx.Value(contextKey{}).(*request)
	return ahead
}

// AwaitTurn waits until the responses before the one to the request with this context are complete. A
// request that must not run twice waits for it: if one of them closes the connection, the client takes
// the request for unread and sends it again. It returns an error if the request was cancelled.
func AwaitTurn(ctx context.Context) error {
	if r, ahead := ctx.Value(contextKey{}).(*request); ahead {
		return r.awaitTurn(ctx)
	}
	return nil
}

// Accept implements net.Listener. Connections with TLS are not wrapped, since net/http has to
// recognize them.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if _, encrypted := accepted.(*tls.Conn); encrypted {
		return accepted, nil
	}
	return newConn(accepted, l), nil
}

// Close implements net.Listener. Requests that were read ahead are still served, and no further ones
// are read ahead.
func (l *Listener) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// Pending reports whether responses to requests read ahead are outstanding. The server must not be
// shut down before, since net/http then adds "Connection: close" to each response.
func (l *Listener) Pending() bool { return l.requests.Load() > 0 }

// Total returns the number of requests read ahead.
func (l *Listener) Total() int64 { return l.total.Load() }

// Limited returns the number of connections at a limit.
func (l *Listener) Limited() int64 { return l.limited.Load() }

// admit hands a request to the server, unless the node is at its limit or is shutting down.
func (l *Listener) admit(r *request) admission {
	if l.options.Stopping != nil && l.options.Stopping() {
		return closing
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return closing
	}
	if l.requests.Load() >= maxNodeRequests {
		return atLimit
	}
	l.requests.Add(1)
	l.total.Add(1)
	l.queue <- r // never blocks: every queued request is counted in l.requests
	l.start.Do(func() { go func() { _ = l.server.Serve(acceptor{l}) }() })
	return admitted
}

type admission int

const (
	admitted admission = iota
	atLimit
	closing
)

// acceptor is the net.Listener of the virtual connections.
type acceptor struct{ listener *Listener }

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	r, open := <-a.listener.queue
	if !open {
		return nil, net.ErrClosed
	}
	return r, nil
}

// Close implements net.Listener. Accept returns when the Listener is closed.
func (a acceptor) Close() error { return nil }

// Addr implements net.Listener.
func (a acceptor) Addr() net.Addr { return a.listener.Addr() }
