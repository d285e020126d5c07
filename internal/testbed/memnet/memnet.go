// Package memnet is an in-memory network with latency, one-way partitions, connection resets
// and isolated hosts. Its only dependency is the clock, so whole deployments can run under the
// fake clock of a testing/synctest bubble. Only tests import it.
package memnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts identified by IP address. It is safe for concurrent use.
type Network struct {
	delay        func(from, to string) time.Duration
	mu           sync.Mutex
	listeners    map[string]*listener     // by IP:port
	blockedLinks map[direction]bool       // links that deliver nothing
	isolated     map[string]bool          // hosts that neither send nor receive
	acceptDelays map[string]time.Duration // added to new connections, by address
	conns        map[*conn]bool
	nextPort     int
	closed       bool
}

// direction is a one-way link between two hosts, by IP.
type direction struct{ from, to string }

// New returns a network. delay returns the one-way latency between two hosts.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, blockedLinks: map[direction]bool{}, isolated: map[string]bool{}, acceptDelays: map[string]time.Duration{}, conns: map[*conn]bool{}, nextPort: 30000}
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

// backlog is the maximum number of connections waiting to be accepted; further ones are
// refused.
const backlog = 1024

// Listen listens on an IP:port. It fails with EADDRINUSE if the address is taken.
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

// Dialer returns the dial function of a host.
func (n *Network) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// dialPollInterval is how often a blocked dial checks whether the link is open.
const dialPollInterval = 20 * time.Millisecond

// dial opens a connection. Like TCP, it blocks while the link is down in either direction.
func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	for n.blocked(from, host) || n.blocked(host, from) {
		if n.isClosed() {
			return nil, net.ErrClosed
		}
		if err := sleep(ctx, dialPollInterval); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: err}
		}
	}
	if err := sleep(ctx, 2*n.delay(from, host)+n.acceptDelay(to)); err != nil {
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
	client, server := n.pair(from, host, local, address(to))
	select {
	case l.accept <- server:
		return client, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
}

// DelayAccepts delays new connections to an address, as a full accept queue does, whose clients repeat
// the opening packet after seconds.
func (n *Network) DelayAccepts(to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acceptDelays[to] = delay
}

func (n *Network) acceptDelay(to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptDelays[to]
}

// sleep waits for the given time or until ctx is done.
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

// pair creates both endpoints of a connection. The caller holds mu.
func (n *Network) pair(from, to string, local, remote address) (client, server *conn) {
	forward := newPipe(n, from, to)
	backward := newPipe(n, to, from)
	client = &conn{network: n, in: backward, out: forward, local: local, remote: remote, host: from, peerHost: to}
	server = &conn{network: n, in: forward, out: backward, local: remote, remote: local, host: to, peerHost: from}
	client.peer, server.peer = server, client
	n.conns[client], n.conns[server] = true, true
	return client, server
}

func (n *Network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// blocked reports whether traffic from one host to another is held back.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedLinks[direction{from, to}] || (from != to && (n.isolated[from] || n.isolated[to]))
}

// SetBlocked blocks or unblocks the link from one host to another. Neither host gets an error; data
// in flight is delivered once the link is unblocked.
func (n *Network) SetBlocked(from, to string, cut bool) {
	n.mu.Lock()
	n.blockedLinks[direction{from, to}] = cut
	n.mu.Unlock()
	n.wakeAll()
}

// SetIsolated isolates a host from all others, as if it were suspended, or reconnects it.
func (n *Network) SetIsolated(host string, dark bool) {
	n.mu.Lock()
	n.isolated[host] = dark
	n.mu.Unlock()
	n.wakeAll()
}

// Reset resets the connections of a host for which choose returns true; a nil choose selects
// all.
func (n *Network) Reset(host string, choose func() bool) {
	for _, end := range n.connsOf(host) {
		if choose == nil || choose() {
			end.reset()
		}
	}
}

// ResetTo resets the connections to an address.
func (n *Network) ResetTo(to string) {
	for _, end := range n.connsOf("") {
		if end.remote == address(to) {
			end.reset()
		}
	}
}

// connsOf returns the connection endpoints on a host; an empty host selects all.
func (n *Network) connsOf(host string) []*conn {
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

// wakeAll notifies all blocked readers.
func (n *Network) wakeAll() {
	for _, end := range n.connsOf("") {
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
	for _, end := range n.connsOf("") {
		end.reset()
	}
}
