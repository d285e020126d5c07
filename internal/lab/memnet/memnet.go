// Package memnet is a network in memory: listeners, connections, delay, cuts,
// resets and machines that go dark. With testing/synctest its time is virtual,
// so that whole meshes of real nodes run in a test.
package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Network joins hosts, named by their IP. It is safe for concurrent use.
type Network struct {
	delay     func(from, to string) time.Duration
	mutex     sync.Mutex
	listeners map[string]*listener // by IP:port
	cut       map[direction]bool
	dark      map[string]bool
	conns     map[*conn]bool
	nextPort  int
	closed    bool
}

type direction struct{ from, to string }

// New makes a network; delay gives the time one way between two hosts.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, cut: map[direction]bool{}, dark: map[string]bool{}, conns: map[*conn]bool{}, nextPort: 30000}
}

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type listener struct {
	network *Network
	address string
	accept  chan *conn
	closed  chan struct{}
	once    sync.Once
}

const backlog = 1024

// Listen opens a listener.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(at), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: at, accept: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case one := <-l.accept:
		return one, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address)
		l.network.mutex.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// Dialer gives the function with which a host opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// dialPoll is how often a dial that hangs looks whether the way is open again.
const dialPoll = 20 * time.Millisecond

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	for n.blocked(from, host) || n.blocked(host, from) {
		if n.isClosed() {
			return nil, net.ErrClosed
		}
		if err := sleep(ctx, dialPoll); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: err}
		}
	}
	if err := sleep(ctx, 2*n.delay(from, host)); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: err}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.listeners[to]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
	n.nextPort++
	local := address(net.JoinHostPort(from, strconv.Itoa(n.nextPort)))
	near, far := n.pair(from, host, local, address(to))
	select {
	case l.accept <- far:
		return near, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
}

func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// pair makes both ends of a connection. The mutex is held.
func (n *Network) pair(from, to string, local, remote address) (near, far *conn) {
	there := newPipe(n, from, to)
	back := newPipe(n, to, from)
	near = &conn{network: n, in: back, out: there, local: local, remote: remote, host: from, other: to}
	far = &conn{network: n, in: there, out: back, local: remote, remote: local, host: to, other: from}
	near.peer, far.peer = far, near
	n.conns[near], n.conns[far] = true, true
	return near, far
}

func (n *Network) isClosed() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.closed
}

func (n *Network) blocked(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[direction{from, to}] || (from != to && (n.dark[from] || n.dark[to]))
}

// Cut stops (or heals) what goes from one host to another, in silence.
func (n *Network) Cut(from, to string, cut bool) {
	n.mutex.Lock()
	n.cut[direction{from, to}] = cut
	n.mutex.Unlock()
	n.wakeAll()
}

// Dark has a host send and receive nothing, as if it stood still.
func (n *Network) Dark(host string, dark bool) {
	n.mutex.Lock()
	n.dark[host] = dark
	n.mutex.Unlock()
	n.wakeAll()
}

// Reset breaks the connections of a host that choose picks; nil: all.
func (n *Network) Reset(host string, choose func() bool) {
	for _, one := range n.of(host) {
		if choose == nil || choose() {
			one.reset()
		}
	}
}

// Kill ends a host: its listeners close and its connections break.
func (n *Network) Kill(host string) {
	n.mutex.Lock()
	var closing []*listener
	for at, l := range n.listeners {
		if name, _, _ := net.SplitHostPort(at); name == host {
			closing = append(closing, l)
		}
	}
	n.mutex.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	n.Reset(host, nil)
}

func (n *Network) of(host string) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*conn
	for one := range n.conns {
		if host == "" || one.host == host {
			found = append(found, one)
		}
	}
	return found
}

func (n *Network) wakeAll() {
	for _, one := range n.of("") {
		one.in.wake()
	}
}

// Close breaks every connection and closes every listener.
func (n *Network) Close() {
	n.mutex.Lock()
	n.closed = true
	var closing []*listener
	for _, l := range n.listeners {
		closing = append(closing, l)
	}
	n.mutex.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	for _, one := range n.of("") {
		one.reset()
	}
}

type segment struct {
	at   time.Time
	data []byte
	end  error // io.EOF or a reset, instead of data
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	mutex    sync.Mutex
	segments []segment
	last     time.Time
	changed  chan struct{}
}

func newPipe(network *Network, from, to string) *pipe {
	return &pipe{network: network, from: from, to: to, changed: make(chan struct{})}
}

func (p *pipe) wake() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wakeLocked()
}

func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) push(data []byte, end error, delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := time.Now().Add(delay)
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	p.segments = append(p.segments, segment{at: at, data: data, end: end})
	p.wakeLocked()
}

// breakOff has the reader see an error at once.
func (p *pipe) breakOff(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.segments = []segment{{end: err}}
	p.wakeLocked()
}

// changes gives the channel that is closed when something changes.
func (p *pipe) changes() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// read gives what has arrived, or the time when the next bytes will have.
func (p *pipe) read(piece []byte) (count int, next time.Time, err error) {
	blocked := p.network.blocked(p.from, p.to)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.segments) == 0 || blocked && p.segments[0].end == nil {
		return 0, time.Time{}, nil
	}
	first := &p.segments[0]
	if time.Now().Before(first.at) {
		return 0, first.at, nil
	}
	if first.end != nil {
		return 0, time.Time{}, first.end
	}
	count = copy(piece, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	return count, time.Time{}, nil
}

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
