package limiter

import "time"

// learner turns the service times of one window into a step of the limit.
//
// The baseline of a class is the mean service time seen while few calls shared
// the target, so that an overload is never learned as normal. Service times well
// above it mean one of two things: calls queue inside the target, or the target
// itself became slower. They are told apart by trying: the limit goes down, and
// when that brings no relief the slowness is the target's own; the baseline
// follows it and the limit goes back to where it was.
type learner struct {
	baselines map[string]*baseline
	window    window
	typical   time.Duration // mean own time of a call in the last window
	growing   bool          // cold start: the limit doubles until it is enough or too much
	trial     *trial
}

// window sums up the calls that ended since the last step.
type window struct {
	measured   time.Duration
	expected   time.Duration
	samples    int
	concurrent int
	shed       int
	full       bool
}

// trial remembers where decreases began. Once they have brought relief the next
// trial begins from there: part of the slowness may be queueing and the rest the
// target's own.
type trial struct {
	inflation  float64
	concurrent float64
	limit      int
}

type baseline struct {
	mean    time.Duration
	samples int
}

// Weights of the learner.
const (
	firstSamples   = 20   // plain mean over the first samples
	baselineWeight = 0.02 // then a moving mean
	minSamples     = 5    // a class without these has no baseline yet
	decrease       = 0.85 // of the limit, for one inflated window
	trialContrast  = 0.75 // concurrency, against the begin of the trial, at which it is judged
	trialRelief    = 0.5  // share of the relief that queueing would bring, below which there was none
)

func newLearner() learner {
	return learner{baselines: map[string]*baseline{}, growing: true}
}

func (l *Limiter) learn(call *running, own time.Duration) {
	known := l.learner.baselines[call.call.Class]
	if known == nil {
		known = &baseline{}
		l.learner.baselines[call.call.Class] = known
	}
	uncontended := call.concurrent <= max(l.config.MinLimit, l.limit/2)
	if uncontended || known.samples < minSamples {
		known.add(own)
	}
	if known.samples < minSamples {
		return
	}
	sum := &l.learner.window
	sum.measured += own
	sum.expected += known.mean
	sum.concurrent += call.concurrent
	sum.samples++
	if sum.samples >= max(l.config.LearnSamples, 2*l.limit) {
		l.step()
	}
}

func (b *baseline) add(own time.Duration) {
	b.samples++
	if b.samples <= firstSamples {
		b.mean += (own - b.mean) / time.Duration(b.samples)
		return
	}
	b.mean += time.Duration(baselineWeight * float64(own-b.mean))
}

// step closes a window: inflated service times or refusals by the target lower
// the limit; a limit that was reached without either goes up.
func (l *Limiter) step() {
	sum := l.learner.window
	l.learner.window = window{}
	l.learner.typical = sum.measured / time.Duration(sum.samples)
	inflation := float64(sum.measured) / float64(max(sum.expected, 1))
	concurrent := float64(sum.concurrent) / float64(sum.samples)
	switch {
	case l.slownessIsOwn(inflation, concurrent):
		l.accept(inflation)
	case inflation > l.config.InflationHigh:
		l.lower(inflation, concurrent)
	case sum.shed > 0:
		l.lower(inflation, concurrent)
		l.learner.trial = nil
	case sum.full && l.learner.growing:
		l.limit *= 2
		l.learner.trial = nil
	case sum.full:
		l.limit++
		l.learner.trial = nil
	default:
		l.learner.trial = nil
	}
	l.limit = min(max(l.limit, l.config.MinLimit), l.config.MaxLimit)
}

func (l *Limiter) lower(inflation, concurrent float64) {
	l.learner.growing = false
	if l.learner.trial == nil {
		l.learner.trial = &trial{inflation: inflation, concurrent: concurrent, limit: l.limit}
	}
	l.limit = int(float64(l.limit) * decrease)
}

// slownessIsOwn judges a trial once the concurrency has fallen far enough.
func (l *Limiter) slownessIsOwn(inflation, concurrent float64) bool {
	begun := l.learner.trial
	if begun == nil || inflation <= l.config.InflationHigh {
		return false
	}
	contrast := concurrent / begun.concurrent
	if contrast > trialContrast && l.limit > l.config.MinLimit {
		return false
	}
	if 1-inflation/begun.inflation < trialRelief*(1-contrast) {
		return true
	}
	l.learner.trial = nil // there was relief
	return false
}

// accept takes the measured service times as the new baseline.
func (l *Limiter) accept(inflation float64) {
	for _, known := range l.learner.baselines {
		known.mean = time.Duration(float64(known.mean) * inflation)
	}
	l.limit = l.learner.trial.limit
	l.learner.trial = nil
}
