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
// relative to that rate. It is 0, unknown, while the gate drains: the load then goes to other targets,
// and its absence here says nothing about them.
func (g *Gate) OfferedLoad(now time.Duration) float64 {
	decay := g.offered.decay(now)
	return g.relativeLoad(now, g.offered.slotTime*decay, g.offered.requests*decay)
}

// OfferedLoadBesides returns the offered load without the share of one request, which was submitted at
// a time. Results report it. A load that is sampled only when a request has just arrived counts that
// request too often: a target that states 3.6 requests per second and gets half of that would report
// more than it can do.
func (g *Gate) OfferedLoadBesides(now time.Duration, class string, submittedAt time.Duration) float64 {
	decay := g.offered.decay(now)
	own := math.Exp(-float64(now-submittedAt) / float64(offeredWindow))
	slotTime := g.expectedSlotTime(class).at(g.pace.Now(now))
	return g.relativeLoad(now, max(g.offered.slotTime*decay-slotTime*own, 0), max(g.offered.requests*decay-own, 0))
}

// relativeLoad returns the load of slotTime (ns) and requests within offeredWindow, and of the queue,
// relative to what the target provides.
func (g *Gate) relativeLoad(now time.Duration, slotTime, requests float64) float64 {
	if g.draining {
		return 0
	}
	provided := float64(g.slots)
	backlog := g.backlog(now) / provided
	load := slotTime/float64(offeredWindow)/provided + backlog/float64(backlogSpan)
	load = min(load, shortQueueLoad+max(backlog-float64(toleratedBacklog), 0)/float64(backlogScale))
	if g.rate != nil {
		load = max(load, requests/offeredWindow.Seconds()/g.rate.Rate())
	}
	return min(max(load, minOfferedLoad), maxOfferedLoad)
}

// backlog returns the slot time in ns that queued requests are expected to take at the current pace.
func (g *Gate) backlog(now time.Duration) (slotTime float64) {
	factor := g.pace.Now(now)
	for i := range g.queue {
		slotTime += g.queue[i].expected.at(factor)
	}
	return slotTime
}

const (
	// toleratedBacklog is the time to work off a queue up to which the load counts as shortQueueLoad at
	// most, below the setpoint of core/pricing: a burst that a short queue absorbs is no overload. Beyond
	// it, each backlogScale adds 1.
	toleratedBacklog = 100 * time.Millisecond
	backlogScale     = 300 * time.Millisecond
	shortQueueLoad   = 0.9
)

// backlogSpan is the time within which a queue is to be worked off. A shorter one refuses more than is
// needed, a longer one leaves requests to expire in the queue.
const backlogSpan = time.Second

const (
	// minOfferedLoad is the load of an idle target, since 0 means unknown.
	minOfferedLoad = 0.001
	// maxOfferedLoad bounds the load that one target reports.
	maxOfferedLoad = 8.0
)

// ExpectedSlotTime returns the time that a request of a class is expected to occupy a slot now.
func (g *Gate) ExpectedSlotTime(now time.Duration, class string) time.Duration {
	return time.Duration(g.expectedSlotTime(class).at(g.pace.Now(now)))
}

// expectedSlotTime returns the time that a request of a class is expected to occupy a slot.
func (g *Gate) expectedSlotTime(class string) *meanTime {
	if classTime := g.classes[class]; classTime != nil && classTime.reliable() {
		return classTime
	}
	return &g.serviceTime
}
