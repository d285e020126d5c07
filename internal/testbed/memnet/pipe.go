package memnet

import (
	"sync"
	"time"
)

// segment is data in flight or the end of the stream.
type segment struct {
	arrival time.Time // arrival time
	data    []byte
	err     error // io.EOF or a reset error; data is nil
}

// pipe is one direction of a connection.
type pipe struct {
	network     *Network
	from, to    string
	mu          sync.Mutex
	segments    []segment
	lastArrival time.Time     // arrival time of the last segment
	changed     chan struct{} // closed on the next change
}

func newPipe(network *Network, from, to string) *pipe {
	return &pipe{network: network, from: from, to: to, changed: make(chan struct{})}
}

// wake notifies a blocked reader.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked is wake with mu held.
func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// push adds data or the end of the stream. It arrives after delay, in the order of the calls.
func (p *pipe) push(data []byte, end error, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(delay)
	if at.Before(p.lastArrival) {
		at = p.lastArrival
	}
	p.lastArrival = at
	p.segments = append(p.segments, segment{arrival: at, data: data, err: end})
	p.wakeLocked()
}

// abort discards the data in flight and makes reads fail immediately.
func (p *pipe) abort(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.segments = []segment{{err: err}}
	p.wakeLocked()
}

// changeSignal returns the channel that is closed on the next change.
func (p *pipe) changeSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// read copies data that has arrived. If there is none, it returns the arrival time of the next
// segment, or zero if no segment is deliverable.
func (p *pipe) read(buf []byte) (count int, next time.Time, err error) {
	blocked := p.network.blocked(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.segments) == 0 || blocked && p.segments[0].err == nil {
		return 0, time.Time{}, nil
	}
	first := &p.segments[0]
	if time.Now().Before(first.arrival) {
		return 0, first.arrival, nil
	}
	if first.err != nil {
		return 0, time.Time{}, first.err
	}
	count = copy(buf, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	return count, time.Time{}, nil
}
