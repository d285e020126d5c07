package pipeline

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// phase is the part of the current request of a conn that the server reads next.
type phase int

const (
	readingHead phase = iota
	readingBody
	handling    // the request was read completely
	transparent // the end of the request is unknown: everything is passed through from here on
)

// maxHeadBytes is the size above which a head that arrives in parts is no longer examined. net/http
// rejects heads of this size before.
const maxHeadBytes = 128 << 10

// readSize is the size of a read of requests ahead.
const readSize = 4 << 10

var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// conn is an accepted connection. The server reads the current request from it; the requests in line
// are served on virtual connections.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	phase phase
	busy  bool   // the current request was read in part and is not answered
	head  []byte // the head of the current request, if it arrived in parts
	body  int64  // bytes of the current request's body that are not read, unless it is chunked

	chunked  bool     // the body is chunked
	chunking chunking // how far a chunked body was read

	input   []byte // read from the connection but not passed to the server
	scanned int    // bytes of input that are known to hold no end of a head
	waits   bool   // the first request in input waits for the responses before it
	limited bool   // counted by Listener.Limited
	line    []*request
	held    int  // bytes of the requests in line
	writing bool // a goroutine writes the responses that are due
	output  int  // bytes of responses in line that are buffered

	ending  bool  // no further requests are read ahead
	closing bool  // the server closed the connection, which stays open until the line is empty
	dead    bool  // the connection is closed
	readErr error // the client disconnected

	changed   sync.Cond // signals a reader that waits for room in input
	blocked   bool      // a read ahead is blocked in net.Conn
	wake      bool      // the read deadline was moved to wake that read
	deadline  time.Time // as set by the server
	idleLimit time.Duration
}

func newConn(inner net.Conn, listener *Listener) *conn {
	c := &conn{Conn: inner, listener: listener}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.wake {
			c.wake = false
			_ = c.Conn.SetReadDeadline(c.deadline)
		}
		switch {
		case c.dead, c.closing:
			return 0, net.ErrClosed
		case len(p) == 0:
			return 0, nil
		case c.readErr != nil: // what the client sent before counts as unread
			return 0, c.readErr
		case c.phase == handling, len(c.line) > 0:
			if n, err := c.readAhead(p); err != nil || n > 0 {
				return n, err
			}
		case len(c.input) > 0:
			return c.takeInput(p), nil
		default:
			return c.readCurrent(p)
		}
	}
}

// readCurrent reads data of the current request directly into p.
func (c *conn) readCurrent(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 {
		return 0, err
	}
	current := c.advance(p[:n])
	if current < n {
		c.buffer(p[current:n])
	}
	return current, err
}

// takeInput moves buffered data of the current request to p.
func (c *conn) takeInput(p []byte) int {
	n := c.advance(c.input[:min(len(p), len(c.input))])
	copy(p, c.input[:n])
	c.discard(n)
	return n
}

// advance updates the phase for data that the server is about to read. It returns the length of the
// part that belongs to the current request.
func (c *conn) advance(data []byte) int {
	switch c.phase {
	case readingHead:
		c.busy = true
		return c.advanceHead(data)
	case readingBody:
		return c.advanceBody(data)
	}
	return len(data)
}

func (c *conn) advanceBody(data []byte) int {
	if c.chunked {
		n, ended, ok := c.chunking.advance(data)
		if !ok {
			c.passThrough()
			return len(data)
		}
		if ended {
			c.phase = handling
		}
		return n
	}
	n := int(min(int64(len(data)), c.body))
	if c.body -= int64(n); c.body == 0 {
		c.phase = handling
	}
	return n
}

func (c *conn) advanceHead(data []byte) int {
	text, before := data, len(c.head)
	if before > 0 {
		c.head = append(c.head, data...)
		text = c.head
	}
	start := max(0, before-len(endOfHead)+1)
	end := bytes.Index(text[start:], endOfHead)
	if end < 0 {
		if before == 0 {
			c.head = bytes.Clone(data)
		}
		if len(c.head) > maxHeadBytes {
			c.passThrough()
		}
		return len(data)
	}
	end += start + len(endOfHead)
	parsed, ok := parseHead(text[:end])
	c.head = nil
	if !ok {
		c.passThrough()
		return len(data)
	}
	c.ending = c.ending || parsed.closes
	c.phase, c.body, c.chunked, c.chunking = readingBody, parsed.body, parsed.chunked, chunking{}
	length := end - before
	return length + c.advanceBody(data[length:])
}

// passThrough gives up splitting the connection into requests. No request is in line then.
func (c *conn) passThrough() { c.phase, c.head, c.ending = transparent, nil, true }

// buffer keeps data that the server must not read yet.
func (c *conn) buffer(data []byte) {
	c.input = append(c.input, data...)
	c.listener.bytes.Add(int64(len(data)))
}

// discard removes data from the start of the input.
func (c *conn) discard(n int) {
	c.listener.bytes.Add(int64(-n))
	if c.input = c.input[n:]; len(c.input) == 0 {
		c.input = nil
	}
	c.scanned, c.waits = 0, false
}

// readAhead reads data into the input while earlier requests are unanswered. It returns 0 and no error
// when the caller has to check the state again.
func (c *conn) readAhead(p []byte) (int, error) {
	if past(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	c.admit()
	if !c.hasRoom() {
		c.setLimited(true)
		c.changed.Wait()
		return 0, nil
	}
	// A connection that never sends ahead blocks here, with the one byte that net/http provides.
	data := p
	if len(c.input) > 0 || len(c.line) > 0 {
		scratch := readBuffers.Get().(*[readSize]byte)
		defer readBuffers.Put(scratch)
		data = scratch[:]
	}
	data = data[:min(len(data), maxConnBytes-len(c.input)-c.held)]
	c.blocked = true
	c.mu.Unlock()
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	c.blocked = false
	if n > 0 {
		c.buffer(data[:n])
		c.admit()
	}
	if err == nil || c.wake && isTimeout(err) {
		return 0, nil
	}
	if !isTimeout(err) {
		c.readErr = err
		c.cancel(c.line)
	}
	return 0, err
}

func (c *conn) hasRoom() bool {
	return len(c.input)+c.held < maxConnBytes && c.listener.bytes.Load() < maxNodeBytes
}

// admit hands the complete requests at the start of the input to the server, as far as they may be
// handled before the responses to earlier requests.
func (c *conn) admit() {
	c.setLimited(false)
	for c.phase == handling || len(c.line) > 0 {
		if c.ending || c.closing || c.dead || c.waits || c.readErr != nil {
			return
		}
		end := bytes.Index(c.input[c.scanned:], endOfHead)
		if end < 0 {
			c.scanned = max(0, len(c.input)-len(endOfHead)+1)
			return
		}
		end += c.scanned + len(endOfHead)
		parsed, ok := parseHead(c.input[:end])
		if !ok || !parsed.repeatable || end > c.listener.maxHead {
			c.waits = true
			return
		}
		if len(c.line) >= maxConnRequests {
			c.setLimited(true)
			return
		}
		r := newRequest(c, bytes.Clone(c.input[:end]))
		switch c.listener.admit(r) {
		case closing:
			return
		case atLimit:
			c.setLimited(true)
			return
		case admitted:
		}
		c.line = append(c.line, r)
		c.discard(end)
		c.held += end
		c.listener.bytes.Add(int64(end)) // until the request is complete
		c.ending = parsed.closes
		c.changed.Broadcast()
	}
}

func (c *conn) setLimited(limited bool) {
	if c.limited == limited {
		return
	}
	c.limited = limited
	if limited {
		c.listener.limited.Add(1)
	} else {
		c.listener.limited.Add(-1)
	}
}

// responseComplete is called when the server has written the response to the current request and
// keeps the connection open.
func (c *conn) responseComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.phase == handling {
		c.phase = readingHead
	} else {
		c.passThrough()
	}
	c.writeDue()
}

// writeDue writes the responses that are due and removes the complete ones from the line.
func (c *conn) writeDue() {
	if c.writing {
		return // the goroutine that writes will see the change
	}
	c.writing = true
	defer func() { c.writing = false }()
	for !c.dead && !c.busy && len(c.line) > 0 {
		r := c.line[0]
		if len(r.output) > 0 {
			data := r.takeOutput()
			for _, behind := range c.line[1:] {
				behind.changed.Broadcast() // their writers may wait for room
			}
			c.mu.Unlock()
			_, err := c.Conn.Write(data)
			c.mu.Lock()
			if err != nil {
				c.fail()
			}
			continue
		}
		if !r.done {
			r.due = true
			r.changed.Broadcast()
			return
		}
		if r.broken {
			c.fail()
			return
		}
		r.release()
		c.line = c.line[1:]
		c.lineMoved()
	}
}

// lineMoved continues reading after a response was completed.
func (c *conn) lineMoved() {
	c.admit()
	c.changed.Broadcast()
	if len(c.line) > 0 {
		return
	}
	c.line = nil
	if c.closing {
		c.fail()
		return
	}
	if c.idleLimit > 0 {
		c.deadline = time.Now().Add(c.idleLimit)
		c.idleLimit = 0
	}
	c.wakeReader()
}

// wakeReader makes a blocked read ahead return, so that it serves the next request or applies the
// deadline.
func (c *conn) wakeReader() {
	c.changed.Broadcast()
	if !c.blocked {
		_ = c.Conn.SetReadDeadline(c.deadline)
		return
	}
	c.wake = true
	_ = c.Conn.SetReadDeadline(longAgo)
}

// cancel ends requests whose responses will not be written.
func (c *conn) cancel(requests []*request) {
	for _, r := range requests {
		r.cancelled = true
		r.changed.Broadcast()
	}
}

// fail closes the connection and cancels the requests in line.
func (c *conn) fail() {
	if c.dead {
		return
	}
	c.dead = true
	c.cancel(c.line)
	for _, r := range c.line {
		r.takeOutput()
		if r.done {
			r.release()
		}
	}
	c.line = nil
	c.discard(len(c.input))
	c.setLimited(false)
	c.changed.Broadcast()
	_ = c.Conn.Close()
}

// Close implements net.Conn. If the server closes the connection between requests, such as on a
// shutdown, the responses to requests that were read ahead are still written.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && len(c.line) > 0 && c.readErr == nil && !c.dead {
		c.closing = true
		c.wakeReader()
		return nil
	}
	if c.dead {
		return net.ErrClosed
	}
	c.fail()
	return nil
}

// SetReadDeadline implements net.Conn. The time limit of an idle connection starts when the line is
// empty.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline, c.idleLimit = t, 0
	c.changed.Broadcast()
	if c.busy || len(c.line) == 0 {
		// The line does not move. The reader that this wakes needs mu.
		c.mu.Unlock()
		return c.Conn.SetReadDeadline(t)
	}
	defer c.mu.Unlock()
	if !t.IsZero() && !past(t) {
		c.idleLimit = time.Until(t)
		c.deadline = time.Time{}
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// ReadFrom implements io.ReaderFrom, so that net/http can optimize copying large responses.
func (c *conn) ReadFrom(src io.Reader) (int64, error) { return io.Copy(c.Conn, src) }

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread
// data.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that is not sent; 0 resets the connection.
func (c *conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// mayClose implements lineMember for the current request.
func (c *conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.line) > 0 {
		return false
	}
	c.ending = true
	return true
}

var longAgo = time.Unix(1, 0)

func past(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
