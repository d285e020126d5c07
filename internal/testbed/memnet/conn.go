package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network        *Network
	in, out        *pipe
	local          address
	remote         address
	host, peerHost string // IP addresses
	peer           *conn
	mu             sync.Mutex
	closed         bool
	resetErr       error     // set when the connection is reset
	deadline       time.Time // read deadline
}

// Read implements net.Conn.
func (c *conn) Read(buf []byte) (int, error) {
	for {
		changed := c.in.changeSignal() // taken before the checks so that no change is missed
		c.mu.Lock()
		closed, resetErr, deadline := c.closed, c.resetErr, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return 0, net.ErrClosed
		case resetErr != nil:
			return 0, resetErr
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return 0, os.ErrDeadlineExceeded
		case len(buf) == 0:
			return 0, nil
		}
		count, next, err := c.in.read(buf)
		if err != nil || count > 0 {
			return count, err
		}
		await(changed, earliest(next, deadline))
	}
}

// earliest returns the earlier of two times; a zero time means no deadline.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// await blocks until changed is closed or the deadline passes; a zero time means no deadline.
func await(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Write implements net.Conn.
func (c *conn) Write(buf []byte) (int, error) {
	c.mu.Lock()
	closed, resetErr := c.closed, c.resetErr
	c.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case resetErr != nil:
		return 0, resetErr
	}
	c.out.push(append([]byte(nil), buf...), nil, c.network.delay(c.host, c.peerHost))
	return len(buf), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.in.wake()
	c.out.push(nil, io.EOF, c.network.delay(c.host, c.peerHost))
	c.unregister()
	return nil
}

// unregister removes the endpoint from the network.
func (c *conn) unregister() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// reset makes both endpoints fail with ECONNRESET.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.mu.Lock()
		end.resetErr = syscall.ECONNRESET
		end.mu.Unlock()
		end.in.abort(syscall.ECONNRESET)
		end.unregister()
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. Writes never block.
func (c *conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	c.in.wake()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
