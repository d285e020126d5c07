package slots

import (
	"math"
	"time"
)

// offeredWindow is the time constant of the offered load. It spans a few requests of each of the
// target's slots; a longer one delays the reaction to a burst.
const offeredWindow = 300 * time.Millisecond

// offeredLoad measures the load that is asked of a target, whether it is admitted or refused, as an
// exponentially decaying sum.
type offeredLoad struct {
	slotTime float64 // ns of slot time requested within offeredWindow
	requests float64 // within offeredWindow
	at       time.Duration
}

// add counts a request that is expected to occupy a slot for slotTime (ns).
func (o *offeredLoad) add(now time.Duration, slotTime float64) {
	decay := o.decay(now)
	o.slotTime = o.slotTime*decay + slotTime
	o.requests = o.requests*decay + 1
	o.at = now
}

func (o *offeredLoad) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-o.at) / float64(offeredWindow))
}

// OfferedLoad returns the slot time per second that arriving requests ask for, refused ones included,
// and that queued requests need to be served within backlogSpan, relative to what the target provides:
// above 1 it is asked for more than it can do. Requests count with the time that they take now, since
// a target that is slow at this moment provides less. Without the queue, a backlog would persist once arrivals
// match the capacity. For a target that states a rate, the load is at least the rate of requests
// relative to that rate.
func (g *Gate) OfferedLoad(now time.Duration) float64 {
	decay := g.offered.decay(now)
	load := g.offered.slotTime * decay / float64(offeredWindow)
	factor := g.pace.Now(now)
	for i := range g.queue {
		load += g.queue[i].expected.at(factor) / float64(backlogSpan)
	}
	load /= float64(g.slots)
	if g.rate != nil {
		requestRate := g.offered.requests * decay / offeredWindow.Seconds()
		load = max(load, min(requestRate/g.rate.Rate(), maxOfferedLoad))
	}
	return min(load, maxOfferedLoad)
}

// backlogSpan is the time within which a queue is to be worked off. A shorter one refuses more than is
// needed, a longer one leaves requests to expire in the queue.
const backlogSpan = time.Second

// maxOfferedLoad bounds the load that one target reports.
const maxOfferedLoad = 8.0

// expectedSlotTime returns the time that a request of a class is expected to occupy a slot.
func (g *Gate) expectedSlotTime(class string) *meanTime {
	if classTime := g.classes[class]; classTime != nil && classTime.reliable() {
		return classTime
	}
	return &g.serviceTime
}
