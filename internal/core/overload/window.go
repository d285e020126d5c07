package overload

import (
	"math"
	"time"
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Initial is the limit before any sample. It applies when all clients reconnect at once
	// after an outage.
	Initial float64
	// Min is the lower bound of the limit. It is above zero so that samples keep arriving.
	Min float64
	// Headroom and HeadroomFactor bound the limit by the recent peak of requests in flight: a
	// window that was never full carries no information about capacity.
	Headroom, HeadroomFactor float64
	// PeakDecay is the time constant with which that peak decays.
	PeakDecay time.Duration
	// EnforceAt is the fraction of the wait budget that activates the limit. EnforceFor is how
	// long the limit stays active after the last request that reached it.
	EnforceAt  float64
	EnforceFor time.Duration
	// GrowthGain and ShrinkGain scale the correction of the limit per chain duration. They are
	// below 1 because samples are one chain duration old and a full correction oscillates.
	GrowthGain, ShrinkGain float64
	// MinGrowth is the minimum growth per completed request while requests hardly queue.
	MinGrowth float64
}

// DefaultWindow returns the values measured in docs/design/rounds-of-policy.md.
func DefaultWindow() WindowConfig {
	return WindowConfig{Initial: 8, Min: 0.3, Headroom: 2, HeadroomFactor: 1.5, PeakDecay: 5 * time.Second, EnforceAt: 0.5, EnforceFor: 2 * time.Second, GrowthGain: 0.5, ShrinkGain: 0.5, MinGrowth: 0.25}
}

// Window limits the requests of one route in flight from one node while services downstream
// are overloaded. It limits concurrency rather than an admission rate because samples arrive
// only when a chain completes, and a rate driven by such late samples oscillates. See
// docs/design/rounds-of-policy.md. It is not safe for concurrent use.
type Window struct {
	config             WindowConfig
	limit              float64
	inFlight           int
	peak               float64
	peakAt             time.Duration
	baseLatency        float64 // ns; mean latency without queueing; 0: no request has completed
	completionInterval float64 // ns; mean time between two completions
	lastCompletion     time.Duration
	enforcedUntil      time.Duration // the limit is not enforced from then on
}

// NewWindow returns the window of a route whose first request arrives now. The limit is
// enforced at first, until EnforceFor has passed without queueing.
func NewWindow(config WindowConfig, now time.Duration) *Window {
	return &Window{config: config, limit: config.Initial, enforcedUntil: now + config.EnforceFor, peakAt: now}
}

// AdmitProbability returns the probability with which to admit the next request.
func (w *Window) AdmitProbability(now time.Duration) float64 {
	if now >= w.enforcedUntil {
		return 1
	}
	return min(max(w.limit-float64(w.inFlight), 0), 1)
}

// Limit returns the current limit on requests in flight.
func (w *Window) Limit() float64 { return w.limit }

// InFlight returns the number of admitted requests that have not ended.
func (w *Window) InFlight() int { return w.inFlight }

// Begin records an admitted request.
func (w *Window) Begin(now time.Duration) {
	w.inFlight++
	w.peak = max(w.decayedPeak(now), float64(w.inFlight))
	w.peakAt = now
}

func (w *Window) decayedPeak(now time.Duration) float64 {
	return w.peak * math.Exp(-float64(now-w.peakAt)/float64(w.config.PeakDecay))
}

// Discard records the end of a request that yields no sample, such as a cancelled one.
func (w *Window) Discard() { w.inFlight-- }

// Sample is the timing of a completed request.
type Sample struct {
	Latency    time.Duration // total
	QueueWait  time.Duration // time queued for slots along the chain
	WaitBudget time.Duration // queueing time allowed for the route; 0: unlimited
	Overloaded bool          // refused for lack of capacity, or timed out
}

// waitReaches reports whether the queueing time reaches a fraction of the budget.
func (s Sample) waitReaches(fraction float64) bool {
	return s.Overloaded || s.WaitBudget > 0 && s.QueueWait >= time.Duration(fraction*float64(s.WaitBudget))
}

// limitRatio returns the factor on the current limit at which the queueing time would equal
// the budget at an unchanged completion rate.
func (s Sample) limitRatio() float64 {
	if s.Overloaded {
		return 0
	}
	if s.WaitBudget <= 0 {
		return 1
	}
	return float64(s.baseLatency()+s.WaitBudget) / float64(s.baseLatency()+s.QueueWait)
}

// baseLatency returns the latency without queueing. At least a quarter of the latency counts,
// since the queueing times of parallel calls overlap.
func (s Sample) baseLatency() time.Duration {
	return max(s.Latency-s.QueueWait, s.Latency/4, time.Millisecond)
}

// latencyWeight is the weight of one sample in the mean latency and completion interval.
const latencyWeight = 0.1

// observe updates the mean latency and the mean completion interval.
func (w *Window) observe(now time.Duration, sample Sample) {
	if w.baseLatency == 0 {
		w.baseLatency, w.completionInterval, w.lastCompletion = float64(sample.baseLatency()), float64(sample.Latency)/max(w.peak, 1), now
	}
	w.baseLatency += latencyWeight * (float64(sample.baseLatency()) - w.baseLatency)
	w.completionInterval += latencyWeight * (float64(now-w.lastCompletion) - w.completionInterval)
	w.lastCompletion = now
}

// concurrencyAt returns the concurrency that sustains the current completion rate at a given
// queueing time, by Little's law.
func (w *Window) concurrencyAt(wait time.Duration) float64 {
	return (w.baseLatency + float64(wait)) / max(w.completionInterval, float64(time.Millisecond))
}

// End records a completed request. About as many requests complete during one chain duration
// as are in flight, so that per-request steps of ratio-1 add up to the full correction.
func (w *Window) End(now time.Duration, sample Sample) {
	w.inFlight--
	w.observe(now, sample)
	upper := max(w.config.Headroom+w.config.HeadroomFactor*w.decayedPeak(now), w.config.Initial)
	if sample.waitReaches(w.config.EnforceAt) {
		if now >= w.enforcedUntil {
			w.limit = w.concurrencyAt(sample.WaitBudget)
		}
		w.enforcedUntil = now + w.config.EnforceFor
	}
	ratio := sample.limitRatio()
	if ratio < 1 {
		w.limit += w.config.ShrinkGain * (ratio - 1)
	} else {
		w.limit += w.config.GrowthGain * min(ratio-1, 1)
	}
	if !sample.waitReaches(minGrowthBelow) {
		w.limit += w.config.MinGrowth
	}
	w.limit = max(min(w.limit, upper), w.config.Min)
}

// minGrowthBelow is the fraction of the wait budget below which MinGrowth applies.
const minGrowthBelow = 0.25
