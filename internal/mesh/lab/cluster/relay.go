package cluster

import (
	"net"
	"sync"
)

// LinkState is the network condition that a relay simulates.
type LinkState int

// Link states of a relay.
const (
	LinkUp LinkState = iota
	// LinkDown closes all connections, and new ones as soon as they are accepted.
	LinkDown
	// LinkDropResponses forwards bytes to the node and discards the bytes it
	// sends back, as in a one-way partition.
	LinkDropResponses
)

// Relay is a TCP proxy in front of a node's peer port that simulates network
// faults.
type Relay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	link     LinkState
	open     map[net.Conn]struct{}
}

// NewRelay starts a relay that listens on address and forwards to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go relay.accept()
	return relay, nil
}

// SetLink changes the link state. Open connections are closed by LinkDown, and when
// LinkDropResponses ends, because their streams have lost bytes.
func (r *Relay) SetLink(state LinkState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state == LinkDown || (state == LinkUp && r.link == LinkDropResponses) {
		for connection := range r.open {
			_ = connection.Close()
		}
	}
	r.link = state
}

func (r *Relay) linkState() LinkState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.link
}

func (r *Relay) accept() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.linkState() == LinkDown {
			_ = incoming.Close()
			continue
		}
		outgoing, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = incoming.Close()
			continue
		}
		r.track(incoming, true)
		r.track(outgoing, true)
		go r.forward(outgoing, incoming, false)
		go r.forward(incoming, outgoing, true)
	}
}

func (r *Relay) track(connection net.Conn, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open {
		r.open[connection] = struct{}{}
		return
	}
	delete(r.open, connection)
}

// forward copies bytes from one connection to the other. Responses are discarded
// in state LinkDropResponses.
func (r *Relay) forward(to, from net.Conn, responses bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		r.track(to, false)
		r.track(from, false)
	}()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !(responses && r.linkState() == LinkDropResponses) {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close stops the listener and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetLink(LinkDown)
}
