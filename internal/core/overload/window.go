package overload

import (
	"math"
	"time"
)

// WindowConfig sets a window.
type WindowConfig struct {
	// First is the number of requests in flight that a window begins with: nothing is
	// known then, and after a fault of all nodes all clients come at once.
	First float64
	// Least is what a window shrinks to, so that news of the chain keeps coming.
	Least float64
	// Room and RoomFactor bound the window by the most that was in flight lately: a
	// window that was never full says nothing of what fits.
	Room, RoomFactor float64
	// PeakLife is the time constant with which that number fades.
	PeakLife time.Duration
	// Pressed is the part of the bearable wait from which on the window is in force,
	// PressedFor how long it is after one request has waited so.
	Pressed    float64
	PressedFor time.Duration
	// Grow and Shrink are the parts of the step to the window at which the waits would
	// be the bearable ones that are taken in the time of one chain. News are as old as
	// a chain is long: with the whole step the window would swing.
	Grow, Shrink float64
	// GrowLeast is the least growth in that time while nothing waits.
	GrowLeast float64
}

// DefaultWindow gives the values that docs/design/rounds-of-policy.md was measured with.
func DefaultWindow() WindowConfig {
	return WindowConfig{First: 8, Least: 0.3, Room: 2, RoomFactor: 1.5, PeakLife: 5 * time.Second, Pressed: 0.5, PressedFor: 2 * time.Second, Grow: 0.5, Shrink: 0.5, GrowLeast: 0.25}
}

// Window bounds the requests of one route that are in flight from one node while the
// chain below is short of something. A bound on requests in flight admits as chains end,
// so that news of a queue may come as late as the chain is long; a share of the requests
// that follows such news swings between all and nothing (docs/design/rounds-of-policy.md, the door).
// It is not safe for concurrent use.
type Window struct {
	config   WindowConfig
	limit    float64
	inFlight int
	peak     float64
	peakAt   time.Duration
	alone    float64       // ns: mean time of a request without its waits; 0: none has ended
	gap      float64       // ns: mean time between two ends
	endedAt  time.Duration // the last end
	pressed  time.Duration // in force until then
}

// NewWindow makes the window of a route whose first request comes now. Whether its chain
// is short of anything is not known: the window is in force until one request after the
// other has not waited.
func NewWindow(config WindowConfig, now time.Duration) *Window {
	return &Window{config: config, limit: config.First, pressed: now + config.PressedFor, peakAt: now}
}

// Share gives the chance with which the next request is let in.
func (w *Window) Share(now time.Duration) float64 {
	if now >= w.pressed {
		return 1
	}
	return min(max(w.limit-float64(w.inFlight), 0), 1)
}

// Limit is the number of requests that fit.
func (w *Window) Limit() float64 { return w.limit }

// InFlight is the number of requests that were let in and have not ended.
func (w *Window) InFlight() int { return w.inFlight }

// Begin notes that a request was let in.
func (w *Window) Begin(now time.Duration) {
	w.inFlight++
	w.peak = max(w.fadedPeak(now), float64(w.inFlight))
	w.peakAt = now
}

func (w *Window) fadedPeak(now time.Duration) float64 {
	return w.peak * math.Exp(-float64(now-w.peakAt)/float64(w.config.PeakLife))
}

// Leave notes that a request ended that says nothing of the chain: its client left.
func (w *Window) Leave() { w.inFlight-- }

// Trip is how long a request that has ended was under way.
type Trip struct {
	Took     time.Duration // in all
	Waited   time.Duration // of it for slots, all along the chain
	Bearable time.Duration // wait that is bearable for its route; 0: any
	Lacked   bool          // there was no room for it in time
}

// pressing tells whether the wait comes near to what is bearable.
func (t Trip) pressing(share float64) bool {
	return t.Lacked || t.Bearable > 0 && t.Waited >= time.Duration(share*float64(t.Bearable))
}

// fits gives the window, as a multiple of the present one, at which the wait would be
// the bearable one: chains end as fast as before, and each takes as long as it takes
// without waits and the bearable wait besides.
func (t Trip) fits() float64 {
	if t.Lacked {
		return 0
	}
	if t.Bearable <= 0 {
		return 1
	}
	return float64(t.alone()+t.Bearable) / float64(t.alone()+t.Waited)
}

// alone is the time that the request would have taken without waits. Calls side by side
// wait at the same time; a quarter of the time is not waiting.
func (t Trip) alone() time.Duration { return max(t.Took-t.Waited, t.Took/4, time.Millisecond) }

// tripWeight is the weight of one request in what is known of all.
const tripWeight = 0.1

// note learns how long requests take without waits, and how often one ends.
func (w *Window) note(now time.Duration, trip Trip) {
	if w.alone == 0 {
		w.alone, w.gap, w.endedAt = float64(trip.alone()), float64(trip.Took)/max(w.peak, 1), now
	}
	w.alone += tripWeight * (float64(trip.alone()) - w.alone)
	w.gap += tripWeight * (float64(now-w.endedAt) - w.gap)
	w.endedAt = now
}

// ending is the number of requests in flight at which as many end as do now, after the
// bearable wait (Little's law).
func (w *Window) ending(bearable time.Duration) float64 {
	return (w.alone + float64(bearable)) / max(w.gap, float64(time.Millisecond))
}

// End notes that a request ended. As many end in the time of one chain as are in flight,
// so that a step of one for each changes the window by its own size in that time.
func (w *Window) End(now time.Duration, trip Trip) {
	w.inFlight--
	w.note(now, trip)
	most := max(w.config.Room+w.config.RoomFactor*w.fadedPeak(now), w.config.First)
	if trip.pressing(w.config.Pressed) {
		if now >= w.pressed {
			w.limit = w.ending(trip.Bearable)
		}
		w.pressed = now + w.config.PressedFor
	}
	fits := trip.fits()
	if fits < 1 {
		w.limit += w.config.Shrink * (fits - 1)
	} else {
		w.limit += w.config.Grow * min(fits-1, 1)
	}
	if !trip.pressing(growBelow) {
		w.limit += w.config.GrowLeast
	}
	w.limit = max(min(w.limit, most), w.config.Least)
}

// growBelow is the part of the bearable wait below which nothing is said to wait.
const growBelow = 0.25
