package limiter

import "time"

// learner turns the service times of one window into a step of the limit. The
// baseline of a class is the mean service time seen while few calls shared the
// target, so that an overload is never learned as normal; when the limit has
// fallen to its minimum every sample is such a sample, so that a target that
// really became slower gets a new baseline and its limit grows again.
type learner struct {
	baselines map[string]*baseline
	measured  time.Duration
	expected  time.Duration
	samples   int
	shed      int
	full      bool
}

type baseline struct {
	mean    time.Duration
	samples int
}

// Weights of the learner.
const (
	firstSamples   = 20   // plain mean over the first samples
	baselineWeight = 0.02 // then a moving mean
	smallDecrease  = 0.9
	largeDecrease  = 0.7
	largeInflation = 2.0
	minSamples     = 5 // a class without these has no baseline yet
)

func newLearner() learner {
	return learner{baselines: map[string]*baseline{}}
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
	l.learner.measured += own
	l.learner.expected += known.mean
	l.learner.samples++
	if l.learner.samples >= max(l.config.LearnSamples, 2*l.limit) {
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
// the limit; a limit that was reached without either goes up by one.
func (l *Limiter) step() {
	window := &l.learner
	inflation := float64(window.measured) / float64(max(window.expected, 1))
	switch {
	case window.shed > 0 || inflation > largeInflation:
		l.limit = int(float64(l.limit) * largeDecrease)
	case inflation > l.config.InflationHigh:
		l.limit = int(float64(l.limit) * smallDecrease)
	case window.full:
		l.limit++
	}
	l.limit = min(max(l.limit, l.config.MinLimit), l.config.MaxLimit)
	window.measured, window.expected, window.samples, window.shed, window.full = 0, 0, 0, 0, false
}
