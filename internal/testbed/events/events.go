// Package events runs the scheduled callbacks of simulations. Only tests import it.
package events

import (
	"container/heap"
	"time"
)

// Queue holds callbacks by the simulated time at which they run. The zero value is empty.
type Queue struct{ events eventHeap }

// At schedules a callback.
func (q *Queue) At(at time.Duration, do func(now time.Duration)) {
	heap.Push(&q.events, event{at: at, do: do})
}

// Run runs the callbacks before the given time in order, including those that they schedule.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at < until {
		next := heap.Pop(&q.events).(event)
		next.do(next.at)
	}
}

type event struct {
	at time.Duration
	do func(now time.Duration)
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(a, b int) bool { return e[a].at < e[b].at }
func (e eventHeap) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
