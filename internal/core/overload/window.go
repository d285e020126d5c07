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
	// Shrink is the most that one request takes off the window.
	Shrink float64
}

// DefaultWindow gives the values that docs/DECISIONS.md was measured with.
func DefaultWindow() WindowConfig {
	return WindowConfig{First: 16, Least: 0.3, Room: 2, RoomFactor: 1.5, PeakLife: 5 * time.Second, Pressed: 0.5, PressedFor: 2 * time.Second, Shrink: 0.5}
}

// Window bounds the requests of one route that are in flight from one node while the
// chain below is short of something. A bound on requests in flight admits as chains end,
// so that news of a queue may come as late as the chain is long; a share of the requests
// that follows such news swings between all and nothing (docs/DECISIONS.md, the door).
// It is not safe for concurrent use.
type Window struct {
	config   WindowConfig
	limit    float64
	inFlight int
	peak     float64
	peakAt   time.Duration
	fresh    bool          // no request has ended yet
	pressed  time.Duration // in force until then
}

// NewWindow makes the window of a process that starts now.
func NewWindow(config WindowConfig, now time.Duration) *Window {
	return &Window{config: config, limit: config.First, fresh: true, pressed: now + config.PressedFor, peakAt: now}
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

// End notes that a request ended. waited is how long it waited for slots all along its
// chain, as a part of what is bearable for its route. As many requests end in the time
// of one chain as are in flight, so that each may change the window by up to one.
func (w *Window) End(now time.Duration, waited float64) {
	w.inFlight--
	most := w.config.Room + w.config.RoomFactor*w.fadedPeak(now)
	switch {
	case waited >= w.config.Pressed:
		if now >= w.pressed {
			w.limit = most // nothing was bounded, all of it fitted
		}
		w.pressed = now + w.config.PressedFor
	case w.fresh:
		w.pressed = now // nothing waits at the start
	}
	w.fresh = false
	if waited < 1 {
		w.limit += (1 - waited) * (1 - waited)
	} else {
		w.limit -= min((waited-1)/2, w.config.Shrink)
	}
	w.limit = max(min(w.limit, most), w.config.Least)
}
