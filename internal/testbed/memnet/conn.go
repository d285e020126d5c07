package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

type conn struct {
	network     *Network
	in, out     *pipe
	local       address
	remote      address
	host, other string
	peer        *conn
	mutex       sync.Mutex
	closed      bool
	broken      error
	deadline    time.Time // of reads
}

// Read implements net.Conn.
func (c *conn) Read(piece []byte) (int, error) {
	for {
		changed := c.in.changes() // before anything is looked at
		c.mutex.Lock()
		closed, broken, deadline := c.closed, c.broken, c.deadline
		c.mutex.Unlock()
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

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

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
	c.mutex.Lock()
	closed, broken := c.closed, c.broken
	c.mutex.Unlock()
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
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil
	}
	c.closed = true
	c.mutex.Unlock()
	c.in.wake()
	c.out.push(nil, io.EOF, c.network.delay(c.host, c.other))
	c.forget()
	return nil
}

func (c *conn) forget() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.conns, c)
}

// reset breaks both ends.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.mutex.Lock()
		end.broken = syscall.ECONNRESET
		end.mutex.Unlock()
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
	c.mutex.Lock()
	c.deadline = at
	c.mutex.Unlock()
	c.in.wake()
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
