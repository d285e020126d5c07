// Package memnet is a network in memory: listeners, connections, delay, cuts,
// resets and machines that go dark. With testing/synctest its time is virtual,
// so that whole meshes of real nodes run in a test.
package memnet

import (
	"context"
	"net"
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
