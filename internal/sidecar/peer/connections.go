package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/responses"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// connections is a pool of connections for calls with short bodies. The goroutine of the call writes
// the request and reads the response itself; http.Transport hands both to goroutines of the
// connection, which took a fifth of the CPU time of a call.
type connections struct {
	dial Dialer

	mu        sync.Mutex
	idle      map[string][]*connection // by address; most recently used last
	sweep     *time.Timer              // closes expired connections; nil: none is idle
	closeIdle bool                     // CloseIdle was called and no call has begun since
}

type connection struct {
	net.Conn
	pool      *connections
	address   string
	isIdle    func() bool
	reader    *bufio.Reader
	head      int64 // bytes that may still be read of a response's head
	reused    bool
	idleSince time.Time
	shut      func() // closes the connection
}

const (
	// maxDirectBody is the size up to which a request body is written before the response is read. It
	// fits into the socket buffers, so that a node that responds early does not block the writer.
	maxDirectBody = 16 << 10
	// maxResponseHead limits the head of a response.
	maxResponseHead = 1 << 20
	unlimited       = int64(1) << 62
)

// Read implements io.Reader. It limits the head of a response.
func (c *connection) Read(p []byte) (int, error) {
	if c.head <= 0 {
		return 0, failure.New(failure.BadInput, "none; the outcome is queried or another node is tried", "response head over %d bytes", maxResponseHead)
	}
	count, err := c.Conn.Read(p[:min(int64(len(p)), c.head)])
	c.head -= int64(count)
	return count, err
}

func newConnections(dial Dialer) *connections {
	return &connections{dial: dial, idle: map[string][]*connection{}}
}

// acquire returns an idle connection to an address, or a new one.
func (p *connections) acquire(ctx context.Context, address string, abort *Abort) (*connection, error) {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			break
		}
		if conn.isIdle() {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	raw, err := p.dialAbortable(ctx, address, abort)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: raw, pool: p, address: address, head: unlimited, shut: func() { _ = raw.Close() }}
	conn.reader = bufio.NewReaderSize(conn, bufferSize)
	if conn.isIdle = targetlink.IdleCheck(raw); conn.isIdle == nil {
		conn.isIdle = conn.probe
	}
	return conn, nil
}

// dialAbortable opens a connection unless the call is aborted.
func (p *connections) dialAbortable(ctx context.Context, address string, abort *Abort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	abort.attach(cancel)
	defer abort.detach()
	return p.dial(ctx, "tcp", address)
}

// probeTime is how long probe waits for the end of a connection.
const probeTime = 10 * time.Microsecond

// probe reports whether a connection that is no socket is open and has no unread data.
func (c *connection) probe() bool {
	_ = c.SetReadDeadline(time.Now().Add(probeTime))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	network, isNetwork := err.(net.Error)
	return isNetwork && network.Timeout()
}

func (p *connections) takeIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle = false
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	idle[last] = nil
	p.idle[address] = idle[:last]
	return conn
}

// release returns a connection to the pool.
func (p *connections) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.address]
	if p.closeIdle || len(idle) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle[conn.address] = append(idle, conn)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(idleTimeout, p.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for idleTimeout.
func (p *connections) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var oldest time.Time
	for address, idle := range p.idle {
		expired := 0
		for expired < len(idle) && now.Sub(idle[expired].idleSince) >= idleTimeout {
			_ = idle[expired].Close()
			expired++
		}
		if expired == len(idle) {
			delete(p.idle, address)
			continue
		}
		if expired > 0 {
			p.idle[address] = append([]*connection(nil), idle[expired:]...)
		}
		if since := idle[expired].idleSince; oldest.IsZero() || since.Before(oldest) {
			oldest = since
		}
	}
	p.sweep = nil
	if !oldest.IsZero() {
		p.sweep = time.AfterFunc(oldest.Add(idleTimeout).Sub(now), p.closeExpired)
	}
}

// close closes the idle connections, and those in use when their calls end.
func (p *connections) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle = true
	for _, idle := range p.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
	clear(p.idle)
	if p.sweep != nil {
		p.sweep.Stop()
		p.sweep = nil
	}
}

// errAborted is the error of a call that was aborted before anything was sent.
const errAborted = errors.ConstError("call was aborted (remedy: none; another node is tried)")

// bodyMethod is the request that net/http needs to tell whether a response has a body.
var bodyMethod = &http.Request{Method: http.MethodPost}

// buffers holds *[]byte for the requests that are written.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBuffer is the capacity above which a buffer is not kept.
const maxPooledBuffer = 8 << 10

// roundTrip sends a request with a short body to an address. connected reports whether the error came
// after a connection was established, so that the request may have been sent. The caller must close
// the body of the response.
func (p *connections) roundTrip(ctx context.Context, address string, added, forwarded http.Header, names headers.Names, body []byte, abort *Abort) (response *http.Response, connected bool, err error) {
	buffer := buffers.Get().(*[]byte)
	data := append((*buffer)[:0], "POST "+CallPath+" HTTP/1.1\r\nHost: "...)
	data = append(append(data, address...), "\r\n"...)
	for name, values := range forwarded {
		if !names.IsCallHeader(name) {
			data = headers.AppendField(data, name, values)
		}
	}
	for name, values := range added {
		data = headers.AppendField(data, name, values)
	}
	data = append(data, "Content-Length: "...)
	data = strconv.AppendInt(data, int64(len(body)), 10)
	data = append(append(data, "\r\n\r\n"...), body...)
	defer func() {
		if cap(data) <= maxPooledBuffer {
			*buffer = data
			buffers.Put(buffer)
		}
	}()
	for {
		conn, err := p.acquire(ctx, address, abort)
		if err != nil {
			return nil, false, err
		}
		if !abort.attach(conn.shut) {
			return nil, false, errAborted
		}
		stop := context.AfterFunc(ctx, conn.shut)
		written, err := conn.Write(data)
		if err == nil {
			response, err = conn.readResponse()
		}
		if err == nil {
			response.Body = &responseBody{ReadCloser: response.Body, conn: conn, stop: stop, abort: abort, reusable: !response.Close && isDelimited(response)}
			return response, true, nil
		}
		stop()
		_ = conn.Close()
		if aborted := !abort.detach(); written > 0 || !conn.reused || aborted || ctx.Err() != nil {
			return nil, true, err
		}
	}
}

// readResponse reads the head of the final response.
func (c *connection) readResponse() (*http.Response, error) {
	c.head = maxResponseHead
	defer func() { c.head = unlimited }()
	return responses.Read(c.reader, bodyMethod)
}

func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// responseBody returns the connection to the pool if the response was read to the end, and closes it
// otherwise.
type responseBody struct {
	io.ReadCloser
	conn     *connection
	stop     func() bool
	abort    *Abort
	reusable bool
	eof      bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return count, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	conn := b.conn
	if conn == nil {
		return nil
	}
	b.conn = nil
	stopped, detached := b.stop(), b.abort.detach()
	if stopped && detached && b.eof && b.reusable && conn.reader.Buffered() == 0 {
		conn.pool.release(conn)
		return nil
	}
	return conn.Close()
}
