package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection; it implements net.Conn.
type conn struct {
	network     *Network
	in, out     *pipe
	local       address
	remote      address
	host, other string // by IP
	peer        *conn
	mu          sync.Mutex
	closed      bool
	broken      error     // a reset
	deadline    time.Time // of reads
}

// Read implements net.Conn.
func (c *conn) Read(piece []byte) (int, error) {
	for {
		changed := c.in.changes() // before anything is checked, so that no change is missed
		c.mu.Lock()
		closed, broken, deadline := c.closed, c.broken, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return 0, net.ErrClosed
		case broken != nil:
			return 0, broken
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return 0, os.ErrDeadlineExceeded
		case len(piece) == 0:
			return 0, nil
		}
		count, next, err := c.in.read(piece)
		if err != nil || count > 0 {
			return count, err
		}
		await(changed, earliest(next, deadline))
	}
}

// earliest returns the earlier of two times; zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// await returns when changed is closed or the time has come; a zero time never comes.
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
func (c *conn) Write(piece []byte) (int, error) {
	c.mu.Lock()
	closed, broken := c.closed, c.broken
	c.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case broken != nil:
		return 0, broken
	}
	c.out.push(append([]byte(nil), piece...), nil, c.network.delay(c.host, c.other))
	return len(piece), nil
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
	c.out.push(nil, io.EOF, c.network.delay(c.host, c.other))
	c.forget()
	return nil
}

// forget removes the end from the network.
func (c *conn) forget() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// reset makes both ends fail with ECONNRESET.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.mu.Lock()
		end.broken = syscall.ECONNRESET
		end.mu.Unlock()
		end.in.breakOff(syscall.ECONNRESET)
		end.forget()
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn; writes never wait.
func (c *conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	c.in.wake()
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
