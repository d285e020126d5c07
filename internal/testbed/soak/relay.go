package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// loopback is the network of the host's loopback addresses.
type loopback struct{}

// Listen listens on a TCP address.
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer returns a dial function that uses from as the local address.
func (loopback) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: 2 * time.Second}
	return dialer.DialContext
}

// relay forwards the connections of a node to a server and injects faults.
type relay struct {
	address  string
	listener net.Listener // nil while the server does not listen
	to       string
	dial     func(ctx context.Context, network, to string) (net.Conn, error)

	mu          sync.Mutex
	conns       map[*relayedConn]bool
	delay       time.Duration // added to each chunk of data
	blockedDirs [2]bool       // by direction; data is not forwarded
}

// relayedConn is a connection of a node together with the relay's connection to the server.
type relayedConn struct {
	relay  *relay
	near   net.Conn
	far    net.Conn
	silent bool // forwards nothing in either direction
}

// Directions of a relay.
const (
	toServer = 0 // from the node to the server
	toClient = 1
)

// newRelay starts a relay that listens on address and connects to the server from a local IP.
func newRelay(address, to, from string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{address: address, listener: listener, to: to, dial: loopback{}.Dialer(from), conns: map[*relayedConn]bool{}}
	go r.accept(listener)
	return r, nil
}

// setListening makes the relay listen only while its server does, so that nodes can tell a
// stopped server, which refuses connections, from an unresponsive one.
func (r *relay) setListening(listens bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !listens && r.listener != nil:
		_ = r.listener.Close()
		r.listener = nil
	case listens && r.listener == nil:
		if listener, err := net.Listen("tcp", r.address); err == nil {
			r.listener = listener
			go r.accept(listener)
		}
	}
}

func (r *relay) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go r.open(near)
	}
}

func (r *relay) open(near net.Conn) {
	far, err := r.dial(context.Background(), "tcp", r.to)
	if err != nil {
		resetConn(near)
		return
	}
	pair := &relayedConn{relay: r, near: near, far: far}
	r.mu.Lock()
	r.conns[pair] = true
	r.mu.Unlock()
	go pair.forward(near, far, toServer)
	go pair.forward(far, near, toClient)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// blockedPoll is the interval at which a blocked direction checks whether it may continue.
const blockedPoll = 10 * time.Millisecond

// forward copies data in one direction and closes both connections when it returns.
func (c *relayedConn) forward(from, to net.Conn, direction int) {
	defer c.close(false)
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		for c.blocked(direction) {
			time.Sleep(blockedPoll)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// blocked waits for the configured delay and reports whether the direction is blocked.
func (c *relayedConn) blocked(direction int) bool {
	r := c.relay
	r.mu.Lock()
	delay, held := r.delay, r.blockedDirs[direction] || c.silent
	open := r.conns[c]
	r.mu.Unlock()
	time.Sleep(delay)
	return held && open
}

// close closes both connections, optionally with a TCP reset.
func (c *relayedConn) close(reset bool) {
	r := c.relay
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	for _, conn := range []net.Conn{c.near, c.far} {
		if reset {
			resetConn(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// openConns returns the open connections.
func (r *relay) openConns() []*relayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make([]*relayedConn, 0, len(r.conns))
	for pair := range r.conns {
		open = append(open, pair)
	}
	return open
}

// reset resets all open connections.
func (r *relay) reset() {
	for _, pair := range r.openConns() {
		pair.close(true)
	}
}

// blackhole permanently blocks the open connections; new ones are not affected.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		pair.silent = true
	}
}

// set changes the injected faults.
func (r *relay) set(change func(r *relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// close closes the listener and resets all connections.
func (r *relay) close() {
	r.setListening(false)
	r.reset()
}
