package memnet

import (
	"sync"
	"time"
)

type segment struct {
	at   time.Time
	data []byte
	end  error // io.EOF or a reset, instead of data
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	mutex    sync.Mutex
	segments []segment
	last     time.Time
	changed  chan struct{}
}

func newPipe(network *Network, from, to string) *pipe {
	return &pipe{network: network, from: from, to: to, changed: make(chan struct{})}
}

func (p *pipe) wake() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wakeLocked()
}

func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) push(data []byte, end error, delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := time.Now().Add(delay)
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	p.segments = append(p.segments, segment{at: at, data: data, end: end})
	p.wakeLocked()
}

// breakOff has the reader see an error at once.
func (p *pipe) breakOff(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.segments = []segment{{end: err}}
	p.wakeLocked()
}

// changes gives the channel that is closed when something changes.
func (p *pipe) changes() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// read gives what has arrived, or the time when the next bytes will have.
func (p *pipe) read(piece []byte) (count int, next time.Time, err error) {
	blocked := p.network.blocked(p.from, p.to)
	p.mutex.Lock()
	defer p.mutex.Unlock()
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
