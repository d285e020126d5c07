package pricing

import (
	"math"
	"time"
)

// waitSignal is how long the chains of the route that waits most for a service wait there.
type waitSignal struct {
	route string
	share float64 // of what the route's window bears; moving average
	at    time.Duration
}

const (
	// bearableWait is the share of the wait that a route's window bears from which on waits raise the
	// price of the service: that from which on windows are in force. A window that closes refuses its own
	// route, whichever it is, so that chains of many short calls made room for single long ones. The price
	// refuses in order.
	bearableWait = 0.5
	// waitScale is the offered load that a further wait of the length that is borne stands for.
	waitScale = 1.0
	// waitSmoothing is the time constant of the moving average, as of that of the offered load.
	waitSmoothing = 200 * time.Millisecond
	// waitExpiry is the age at which the signal of a route counts no more.
	waitExpiry = time.Second
)

// ObserveWait records that the chain of a request waited for slots of a service for a share of the wait
// that the window of its route bears. Routes raise the price up to where they are themselves reduced to
// their minimum, so that none is refused for the waits of a less important one.
func (c *Controller) ObserveWait(now time.Duration, r Route, name string, share float64) {
	s := c.services[name]
	if s == nil || math.IsNaN(share) || now-s.sampledAt > c.config.Expiry {
		return
	}
	known := c.routes[r.Name]
	if known == nil || known.needs[name] == nil || known.needs[name].slotTime <= 0 {
		return
	}
	need := known.needs[name]
	c.refresh(now)
	standing := need.standingOf(r.Rank)
	if !need.counts(standing.negligible) {
		return
	}
	if s.current(now, &c.config) >= standing.merit(need.slotTime)+1 {
		share = min(share, bearableWait)
	}
	s.wait.observe(now, r.Name, share)
}

// observe records a share of a route. The route with the longest waits keeps the signal.
func (w *waitSignal) observe(now time.Duration, route string, share float64) {
	elapsed := max(now-w.at, 0)
	switch {
	case elapsed > waitExpiry:
		*w = waitSignal{route: route, share: min(share, bearableWait), at: now}
	case route == w.route:
		w.share += max(1-math.Exp(-float64(elapsed)/float64(waitSmoothing)), minSampleWeight) * (share - w.share)
		w.at = now
	case share > w.share:
		w.route = route
		w.share += minSampleWeight * (share - w.share)
		w.at = now
	}
}

func (w *waitSignal) current(now time.Duration) float64 {
	if now-w.at > waitExpiry {
		return 0
	}
	return w.share
}
