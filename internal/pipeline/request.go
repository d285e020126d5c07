package pipeline

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// request is the virtual connection of a request that was read ahead. The server reads one request
// from it. Its output is buffered until it is due.
type request struct {
	conn *conn
	size int // of the head

	// Guarded by conn.mu.
	changed   sync.Cond
	head      []byte // part that the server has not read
	output    []byte // part of the response that is not written
	due       bool   // the responses before it are complete: output is written directly
	done      bool   // the server has written the response
	broken    bool   // the connection ends with this response
	cancelled bool   // the response will not be written
	released  bool
	deadline  time.Time
}

func newRequest(c *conn, head []byte) *request {
	r := &request{conn: c, size: len(head), head: head}
	r.changed.L = &c.mu
	return r
}

// Read implements net.Conn. After the head, it blocks until the request is cancelled or complete.
func (r *request) Read(p []byte) (int, error) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	for {
		switch {
		case r.cancelled, r.done:
			return 0, io.EOF
		case len(r.head) > 0:
			n := copy(p, r.head)
			r.head = r.head[n:]
			return n, nil
		case past(r.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		r.changed.Wait()
	}
}

// awaitTurn waits until the response is due.
func (r *request) awaitTurn(ctx context.Context) error {
	defer context.AfterFunc(ctx, r.wake)()
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	for !r.due {
		if err := ctx.Err(); err != nil {
			return err
		}
		if r.cancelled {
			return context.Canceled
		}
		r.changed.Wait()
	}
	return nil
}

func (r *request) wake() {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.changed.Broadcast()
}

// Write implements net.Conn. It blocks while the response is not due and the buffer is full.
func (r *request) Write(p []byte) (int, error) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for {
		if r.cancelled || r.done {
			return written, net.ErrClosed
		}
		if r.due {
			c.mu.Unlock()
			n, err := c.Conn.Write(p)
			c.mu.Lock()
			return written + n, err
		}
		n := min(len(p), c.outputRoom())
		if n > 0 {
			r.output = append(r.output, p[:n]...)
			c.output += n
			c.listener.bytes.Add(int64(n))
			written += n
			p = p[n:]
		}
		if len(p) == 0 {
			return written, nil
		}
		c.setLimited(true)
		r.changed.Wait()
	}
}

// outputRoom returns how many bytes of responses may be buffered.
func (c *conn) outputRoom() int {
	return max(0, int(min(int64(maxConnBytes-c.output), maxNodeBytes-c.listener.bytes.Load())))
}

// takeOutput removes and returns the buffered output.
func (r *request) takeOutput() []byte {
	data := r.output
	r.output = nil
	r.conn.output -= len(data)
	r.conn.listener.bytes.Add(int64(-len(data)))
	return data
}

// complete records that the server has finished the request. The connection ends with the response
// if it is broken: it was not written completely, or carries "Connection: close".
func (r *request) complete(broken bool) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return
	}
	r.done, r.broken = true, broken
	r.changed.Broadcast()
	if r.cancelled {
		r.release()
		return
	}
	if broken {
		c.endAfter(r)
	}
	c.writeDue()
}

// endAfter ends the line with a request: the ones behind it are cancelled.
func (c *conn) endAfter(last *request) {
	c.ending = true
	for i, r := range c.line {
		if r != last {
			continue
		}
		behind := c.line[i+1:]
		c.cancel(behind)
		for _, r := range behind {
			r.takeOutput()
			if r.done {
				r.release()
			}
		}
		c.line = c.line[:i+1]
		return
	}
}

// release gives back the request's share of the limits.
func (r *request) release() {
	if r.released {
		return
	}
	r.released = true
	r.conn.held -= r.size
	r.conn.listener.requests.Add(-1)
	r.conn.listener.bytes.Add(int64(-r.size))
}

// Close implements net.Conn.
func (r *request) Close() error {
	r.complete(true)
	return nil
}

// LocalAddr implements net.Conn.
func (r *request) LocalAddr() net.Addr { return r.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (r *request) RemoteAddr() net.Addr { return r.conn.RemoteAddr() }

// SetReadDeadline implements net.Conn.
func (r *request) SetReadDeadline(t time.Time) error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.deadline = t
	r.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (r *request) SetDeadline(t time.Time) error { return r.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It is ignored: a response waits for the ones before it.
func (*request) SetWriteDeadline(time.Time) error { return nil }

// mayClose implements lineMember.
func (r *request) mayClose() bool {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.line); n > 0 && c.line[n-1] != r {
		return false
	}
	c.ending = true
	return true
}
