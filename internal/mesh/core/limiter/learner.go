package limiter

import "time"

// learner adjusts the concurrency limit from the service times of a window.
//
// The baseline of a class is the mean service time at low concurrency, so that
// overload does not raise it. Service times well above the baseline mean that
// calls queue inside the target or that the target became slower. To tell them
// apart the limit is lowered: if service times do not fall with the concurrency,
// the target is slower, so the baseline is raised and the limit restored.
type learner struct {
	baselines       map[string]*baseline
	window          window
	meanServiceTime time.Duration // of the last window; 0 before the first
	coldStart       bool          // the limit doubles until it is first lowered
	trial           *decreaseTrial
}

// window accumulates the calls that finished since the last adjustment.
type window struct {
	measuredTime   time.Duration
	expectedTime   time.Duration
	samples        int
	concurrencySum int
	rejected       int
	limitReached   bool
}

// decreaseTrial holds the values from before a series of decreases. A series that
// reduces the inflation ends the trial, and the next one starts from the reduced
// values, since a slower target can have a queue as well.
type decreaseTrial struct {
	inflation   float64
	concurrency float64
	limit       int
}

type baseline struct {
	mean    time.Duration
	samples int
}

const (
	warmupSamples         = 20   // the baseline is a plain mean up to this count
	baselineWeight        = 0.02 // weight of a sample in the moving mean that follows
	minBaselineSamples    = 5    // a class with fewer samples has no baseline
	decreaseFactor        = 0.85 // applied to the limit for each inflated window
	trialConcurrencyRatio = 0.75 // ratio to the initial concurrency at which a trial is evaluated
	minReliefShare        = 0.5  // share of the reduction expected from queueing that counts as relief
)

func newLearner() learner {
	return learner{baselines: map[string]*baseline{}, coldStart: true}
}

// recordSample adds the service time of a completed call to the baseline of its
// class and to the window, and closes the window when it has enough samples.
func (l *Limiter) recordSample(done *activeCall, serviceTime time.Duration) {
	base := l.learner.baselines[done.call.Class]
	if base == nil {
		base = &baseline{}
		l.learner.baselines[done.call.Class] = base
	}
	uncontended := done.concurrency <= max(l.config.MinLimit, l.limit/2)
	if uncontended || base.samples < minBaselineSamples {
		base.add(serviceTime)
	}
	if base.samples < minBaselineSamples {
		return
	}
	w := &l.learner.window
	w.measuredTime += serviceTime
	w.expectedTime += base.mean
	w.concurrencySum += done.concurrency
	w.samples++
	if w.samples >= max(l.config.LearnSamples, 2*l.limit) {
		l.adjustLimit()
	}
}

func (b *baseline) add(sample time.Duration) {
	b.samples++
	if b.samples <= warmupSamples {
		b.mean += (sample - b.mean) / time.Duration(b.samples)
		return
	}
	b.mean += time.Duration(baselineWeight * float64(sample-b.mean))
}

// adjustLimit closes a window. Inflated service times or refusals by the target
// lower the limit; a window that reached the limit without either raises it.
func (l *Limiter) adjustLimit() {
	w := l.learner.window
	l.learner.window = window{}
	l.learner.meanServiceTime = w.measuredTime / time.Duration(w.samples)
	inflation := float64(w.measuredTime) / float64(max(w.expectedTime, 1))
	concurrency := float64(w.concurrencySum) / float64(w.samples)
	switch {
	case l.baselineShifted(inflation, concurrency):
		l.rebaseline(inflation)
	case inflation > l.config.InflationHigh:
		l.decreaseLimit(inflation, concurrency)
	case w.rejected > 0:
		l.decreaseLimit(inflation, concurrency)
		l.learner.trial = nil
	case w.limitReached && l.learner.coldStart:
		l.limit *= 2
		l.learner.trial = nil
	case w.limitReached:
		l.limit++
		l.learner.trial = nil
	default:
		l.learner.trial = nil
	}
	l.limit = min(max(l.limit, l.config.MinLimit), l.config.MaxLimit)
}

// decreaseLimit lowers the limit, starting a trial if none is running.
func (l *Limiter) decreaseLimit(inflation, concurrency float64) {
	l.learner.coldStart = false
	if l.learner.trial == nil {
		l.learner.trial = &decreaseTrial{inflation: inflation, concurrency: concurrency, limit: l.limit}
	}
	l.limit = int(float64(l.limit) * decreaseFactor)
}

// baselineShifted reports whether the current trial shows that the target itself
// became slower. A trial is evaluated once the concurrency has fallen far enough.
func (l *Limiter) baselineShifted(inflation, concurrency float64) bool {
	start := l.learner.trial
	if start == nil || inflation <= l.config.InflationHigh {
		return false
	}
	concurrencyRatio := concurrency / start.concurrency
	if concurrencyRatio > trialConcurrencyRatio && l.limit > l.config.MinLimit {
		return false
	}
	if 1-inflation/start.inflation < minReliefShare*(1-concurrencyRatio) {
		return true
	}
	l.learner.trial = nil // lowering the limit reduced the inflation
	return false
}

// rebaseline scales the baselines by the measured inflation and restores the
// limit from before the trial.
func (l *Limiter) rebaseline(inflation float64) {
	for _, base := range l.learner.baselines {
		base.mean = time.Duration(float64(base.mean) * inflation)
	}
	l.limit = l.learner.trial.limit
	l.learner.trial = nil
}
