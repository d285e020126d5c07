// Package memnet is a network in memory: listeners, connections, delay, cuts, resets and hosts
// that fall silent. It owns all connections between the hosts of a deployment; it relies on
// nothing but the clock, which is virtual in a bubble of testing/synctest, so that whole fleets of
// real nodes run in a test. Only tests import it.
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
	mu        sync.Mutex
	listeners map[string]*listener // by IP:port
	cut       map[direction]bool   // nothing passes
	dark      map[string]bool      // hosts that neither send nor receive
	conns     map[*conn]bool
	nextPort  int
	closed    bool
}

// direction is the way from one host to another, by IP.
type direction struct{ from, to string }

// New makes a network; delay returns the time one way between two hosts.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, cut: map[direction]bool{}, dark: map[string]bool{}, conns: map[*conn]bool{}, nextPort: 30000}
}

// address is an IP:port.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	network *Network
	address string
	accept  chan *conn
	closed  chan struct{}
	once    sync.Once
}

// backlog is the number of connections that wait to be accepted; more are refused.
const backlog = 1024

// Listen opens a listener at an IP:port; a second one there fails with EADDRINUSE.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
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
	case accepted := <-l.accept:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// Dialer returns the function with which a host opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// dialPoll is how often a dial that hangs checks whether both directions are open again.
const dialPoll = 20 * time.Millisecond

// dial opens a connection. It waits while a direction is blocked, as TCP does.
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
	n.mu.Lock()
	defer n.mu.Unlock()
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

// sleep returns after a span, or earlier with the error of ctx.
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

// pair makes both ends of a connection. mu is held.
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
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// blocked reports whether nothing passes from one host to another.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}] || (from != to && (n.dark[from] || n.dark[to]))
}

// Cut blocks the direction from one host to another, or opens it again; neither host sees an
// error.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	n.cut[direction{from, to}] = cut
	n.mu.Unlock()
	n.wakeAll()
}

// Dark blocks all directions from and to a host, as if it were suspended, or opens them again.
func (n *Network) Dark(host string, dark bool) {
	n.mu.Lock()
	n.dark[host] = dark
	n.mu.Unlock()
	n.wakeAll()
}

// Reset resets the connections of a host for which choose is true; a nil choose resets all.
func (n *Network) Reset(host string, choose func() bool) {
	for _, end := range n.of(host) {
		if choose == nil || choose() {
			end.reset()
		}
	}
}

// of returns the ends of connections at a host; an empty host means all hosts.
func (n *Network) of(host string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*conn
	for end := range n.conns {
		if host == "" || end.host == host {
			found = append(found, end)
		}
	}
	return found
}

// wakeAll makes all readers check again what has arrived.
func (n *Network) wakeAll() {
	for _, end := range n.of("") {
		end.in.wake()
	}
}

// Close closes every listener and resets every connection.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	var closing []*listener
	for _, l := range n.listeners {
		closing = append(closing, l)
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	for _, end := range n.of("") {
		end.reset()
	}
}
