package eventlog

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Class groups events that share a rate limit.
type Class int

// Event classes.
const (
	// State events report changes of node state.
	State Class = iota
	// Failure events report failed requests.
	Failure
	// Success events report successful requests.
	Success
	classCount
)

const flushInterval = 200 * time.Millisecond

// linesPerSecond is the rate limit of each class.
var linesPerSecond = [classCount]int{State: 200, Failure: 200, Success: 20}

type entry struct {
	at    time.Time
	event Event
}

// Log queues events and writes them in a background goroutine. It is safe
// for concurrent use; Add never blocks on the output.
type Log struct {
	node   string
	output *lineWriter

	mu       sync.Mutex
	second   int64
	accepted [classCount]int
	entries  []entry
	spare    []entry // empty; used for entries while those are written
	omitted  map[string]int
	wake     chan struct{}
}

// New returns the log of a node. Events are queued until Run writes them to output.
func New(node string, output io.Writer) *Log {
	return &Log{node: node, output: newLineWriter(output), omitted: map[string]int{}, wake: make(chan struct{}, 1)}
}

// Allow reports whether an event of class would be accepted now, and otherwise counts it as
// omitted. Callers use it to avoid building events that would be dropped.
func (l *Log) Allow(kind string, class Class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollSecond(time.Now())
	if l.accepted[class] < linesPerSecond[class] {
		return true
	}
	l.omitted[kind]++
	return false
}

// Add queues an event, or drops it if the rate limit of its class is exceeded.
func (l *Log) Add(event Event, class Class) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollSecond(now)
	if l.accepted[class] >= linesPerSecond[class] {
		l.omitted[event.Kind()]++
		return
	}
	l.accepted[class]++
	l.entries = append(l.entries, entry{at: now, event: event})
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// rollSecond resets the rate limits at the start of a new second. While the output is
// blocked and the queue is full, it keeps the exhausted limits, which bounds the queue.
// mu must be held.
func (l *Log) rollSecond(now time.Time) {
	second := now.Unix()
	if second == l.second {
		return
	}
	l.second = second
	if len(l.entries) > maxQueuedEntries {
		return
	}
	l.accepted = [classCount]int{}
	for kind, lines := range l.omitted {
		l.entries = append(l.entries, entry{at: now, event: Omitted{OfKind: kind, Lines: lines}})
	}
	clear(l.omitted)
}

// maxQueuedEntries is the queue length above which rate limits are not reset.
const maxQueuedEntries = 1000

// Run writes queued events until ctx is done, then writes the remaining ones.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		l.flush()
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	entries := l.entries
	l.entries = l.spare[:0]
	l.spare = nil
	l.mu.Unlock()
	for i := range entries {
		if err := l.output.writeEvent(l.node, entries[i].at, entries[i].event); err != nil {
			fmt.Fprintf(os.Stderr, "log line of kind %s was not written: %v\n", entries[i].event.Kind(), err)
		}
	}
	_ = l.output.Flush()
	clear(entries)
	if cap(entries) <= maxSpareEntries {
		l.mu.Lock()
		l.spare = entries
		l.mu.Unlock()
	}
}

// maxSpareEntries is the capacity up to which a written queue is kept for reuse.
const maxSpareEntries = 256
