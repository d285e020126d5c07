package cluster

import (
	"net"
	"sync"
)

// Cut says what a relay does to the connections of a node.
type Cut int

// The cuts.
const (
	CutNothing Cut = iota
	// CutBoth ends all connections and refuses new ones.
	CutBoth
	// CutAnswers lets bytes to the node pass and swallows what it sends back: the
	// network is broken one way.
	CutAnswers
)

// Relay stands between the nodes and one node's peer port and cuts connections
// on demand. It is part of the fault injector.
type Relay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	cut      Cut
	open     map[net.Conn]struct{}
}

// NewRelay listens at an address and forwards to another.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go relay.accept()
	return relay, nil
}

// Set changes the cut. Connections that are open end with CutBoth, and when an
// earlier cut is taken back.
func (r *Relay) Set(cut Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if cut == CutBoth || (cut == CutNothing && r.cut == CutAnswers) {
		for connection := range r.open {
			_ = connection.Close()
		}
	}
	r.cut = cut
}

func (r *Relay) state() Cut {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cut
}

func (r *Relay) accept() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.state() == CutBoth {
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

// forward copies bytes; answers are swallowed while they are cut.
func (r *Relay) forward(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		r.track(to, false)
		r.track(from, false)
	}()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !(answers && r.state() == CutAnswers) {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(CutBoth)
}
