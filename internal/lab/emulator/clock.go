// Package emulator runs a deployment in virtual time in one process: callers,
// entries, nodes, back ends and the delays between them. The nodes are the real
// state machines of internal/core; only sockets and clocks are emulated. The
// same seed gives the same run, event for event.
package emulator

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

// clock is virtual time: events run in the order of their times, and of their
// making where times are equal.
type clock struct {
	now    time.Duration
	events eventHeap
	order  uint64
	count  uint64
}

// after runs a function when a span has passed.
func (c *clock) after(span time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(span, 0), order: c.order, run: run})
}

// run runs events until none is left or the time is reached.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		c.count++
		next.run()
	}
	c.now = until
}
