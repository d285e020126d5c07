// Package virtualtime is a clock that events move: they run in the order of their
// times, and of their making where times are equal, so that a run with the same
// seed is the same run, event for event.
package virtualtime

import (
	"container/heap"
	"time"
)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	*h = (*h)[:last]
	return value
}

// Clock is virtual time; the zero clock stands at 0. It is not safe for
// concurrent use.
type Clock struct {
	now    time.Duration
	events eventHeap
	order  uint64
	count  uint64
}

// Now gives the time since the begin of the run.
func (c *Clock) Now() time.Duration { return c.now }

// Count gives the number of events that have run.
func (c *Clock) Count() uint64 { return c.count }

// After runs a function when a span has passed; a negative span is none.
func (c *Clock) After(span time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(span, 0), order: c.order, run: run})
}

// Run runs events until none is left or the time is reached.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		c.count++
		next.run()
	}
	c.now = until
}
