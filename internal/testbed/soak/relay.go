package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// loopback is the network of the machine's own addresses.
type loopback struct{}

// Listen opens a listener.
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer returns the function with which a host opens connections.
func (loopback) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: 2 * time.Second}
	return dialer.DialContext
}

// relay forwards the connections of a node to what it calls, with the faults that are set.
type relay struct {
	address  string
	listener net.Listener // nil while what the node calls does not listen
	to       string
	dial     func(ctx context.Context, network, to string) (net.Conn, error)

	mu    sync.Mutex
	conns map[*relayed]bool
	delay time.Duration // of each piece of data
	cut   [2]bool       // nothing passes in a direction
}

// relayed is a connection of the node and the one that continues it.
type relayed struct {
	relay  *relay
	near   net.Conn
	far    net.Conn
	silent bool // nothing passes any more
}

// Directions of a relay.
const (
	there = 0 // towards what is called
	back  = 1
)

// newRelay starts a relay that listens at an address and calls another one from a host.
func newRelay(address, to, from string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{address: address, listener: listener, to: to, dial: loopback{}.Dialer(from), conns: map[*relayed]bool{}}
	go r.accept(listener)
	return r, nil
}

// listening makes the relay listen only while what it calls does: callers see a difference
// between a process that has ended, which refuses connections, and one that answers nothing.
func (r *relay) listening(listens bool) {
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
	pair := &relayed{relay: r, near: near, far: far}
	r.mu.Lock()
	r.conns[pair] = true
	r.mu.Unlock()
	go pair.pass(near, far, there)
	go pair.pass(far, near, back)
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// heldPoll is how often a direction that is held checks whether bytes may pass again.
const heldPoll = 10 * time.Millisecond

// pass forwards bytes in one direction. When it ends, both connections are closed.
func (c *relayed) pass(from, to net.Conn, direction int) {
	defer c.close(false)
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		for c.held(direction) {
			time.Sleep(heldPoll)
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

// held waits for the delay and reports whether bytes may not pass.
func (c *relayed) held(direction int) bool {
	r := c.relay
	r.mu.Lock()
	delay, held := r.delay, r.cut[direction] || c.silent
	open := r.conns[c]
	r.mu.Unlock()
	time.Sleep(delay)
	return held && open
}

// close closes both connections, with a reset if asked for.
func (c *relayed) close(reset bool) {
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

// each returns the open connections.
func (r *relay) each() []*relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make([]*relayed, 0, len(r.conns))
	for pair := range r.conns {
		open = append(open, pair)
	}
	return open
}

// reset resets all open connections.
func (r *relay) reset() {
	for _, pair := range r.each() {
		pair.close(true)
	}
}

// silence stops the open connections from forwarding anything, while new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		pair.silent = true
	}
}

// set changes the faults.
func (r *relay) set(change func(r *relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// close stops listening and resets all connections.
func (r *relay) close() {
	r.listening(false)
	r.reset()
}
