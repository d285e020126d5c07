package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// loopback are the machine's own addresses.
type loopback struct{}

// Listen opens a listener.
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer gives the function with which a host opens connections.
func (loopback) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: 2 * time.Second}
	return dialer.DialContext
}

// relay passes connections on, with faults. It stands between a process and what it calls.
type relay struct {
	address  string
	listener net.Listener // nil: what it calls does not listen either
	to       string
	dial     func(ctx context.Context, network, to string) (net.Conn, error)

	mutex sync.Mutex
	conns map[*relayed]bool
	delay time.Duration // of each piece
	cut   [2]bool       // nothing passes: towards what is called, and back
}

// relayed is one connection.
type relayed struct {
	relay  *relay
	near   net.Conn
	far    net.Conn
	silent bool // for good
}

// Directions of a relay.
const (
	there = 0
	back  = 1
)

func newRelay(address, to, from string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{address: address, listener: listener, to: to, dial: loopback{}.Dialer(from), conns: map[*relayed]bool{}}
	go r.accept(listener)
	return r, nil
}

// listening has the relay listen as long as what it calls does: a process that has ended
// refuses connections, which its callers tell from one that answers nothing.
func (r *relay) listening(listens bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
	one := &relayed{relay: r, near: near, far: far}
	r.mutex.Lock()
	r.conns[one] = true
	r.mutex.Unlock()
	go one.pass(near, far, there)
	go one.pass(far, near, back)
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pass passes bytes on in one direction; its end ends the connection.
func (c *relayed) pass(from, to net.Conn, direction int) {
	defer c.close(false)
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		for c.held(direction) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// held waits for the delay and tells whether the bytes are kept from passing.
func (c *relayed) held(direction int) bool {
	r := c.relay
	r.mutex.Lock()
	delay, held := r.delay, r.cut[direction] || c.silent
	open := r.conns[c]
	r.mutex.Unlock()
	time.Sleep(delay)
	return held && open
}

func (c *relayed) close(reset bool) {
	r := c.relay
	r.mutex.Lock()
	delete(r.conns, c)
	r.mutex.Unlock()
	for _, conn := range []net.Conn{c.near, c.far} {
		if reset {
			resetConn(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// each gives the open connections.
func (r *relay) each() []*relayed {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	open := make([]*relayed, 0, len(r.conns))
	for one := range r.conns {
		open = append(open, one)
	}
	return open
}

// reset breaks all connections.
func (r *relay) reset() {
	for _, one := range r.each() {
		one.close(true)
	}
}

// silence has the open connections say nothing any more, while new ones work.
func (r *relay) silence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for one := range r.conns {
		one.silent = true
	}
}

// set changes what passes.
func (r *relay) set(change func(r *relay)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r)
}

func (r *relay) close() {
	r.listening(false)
	r.reset()
}
