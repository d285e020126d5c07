// Package virtualtime implements a discrete-event clock. Events run in order of time;
// events with equal times run in the order in which they were scheduled, which makes
// runs reproducible.
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

// Clock is a virtual clock with its event queue. The zero value is a clock at time 0.
// It is not safe for concurrent use.
type Clock struct {
	now      time.Duration
	events   eventHeap
	order    uint64
	executed uint64
}

// Now returns the virtual time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// Count returns the number of events that have run.
func (c *Clock) Count() uint64 { return c.executed }

// After schedules a function to run after a delay. A negative delay counts as zero.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), order: c.order, run: run})
}

// Run runs the events that are due up to a time and advances the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		c.executed++
		next.run()
	}
	c.now = until
}
