package memnet

import (
	"sync"
	"time"
)

// segment is a piece of data on its way, or the end of the direction.
type segment struct {
	at   time.Time // when it arrives
	data []byte
	end  error // io.EOF or a reset, instead of data
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	mu       sync.Mutex
	segments []segment
	last     time.Time     // arrival of the last segment
	changed  chan struct{} // closed by the next change
}

func newPipe(network *Network, from, to string) *pipe {
	return &pipe{network: network, from: from, to: to, changed: make(chan struct{})}
}

// wake makes the reader check again what has arrived.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked does what wake does; mu is held.
func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// push adds data, or the end, that arrives after a delay and never before what was pushed earlier.
func (p *pipe) push(data []byte, end error, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(delay)
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	p.segments = append(p.segments, segment{at: at, data: data, end: end})
	p.wakeLocked()
}

// breakOff drops what is on its way and makes the reader fail at once.
func (p *pipe) breakOff(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.segments = []segment{{end: err}}
	p.wakeLocked()
}

// changes returns the channel that the next change closes.
func (p *pipe) changes() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// read copies what has arrived, or returns the time when the next segment arrives; zero: there is
// none that can pass.
func (p *pipe) read(piece []byte) (count int, next time.Time, err error) {
	blocked := p.network.blocked(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
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
