// Package pace holds how long work takes at a target at this moment, relative to the usual. Targets
// on shared machines state it in their responses, and it changes many times a second. The package
// uses no clock; all times are on the caller's clock.
package pace

import (
	"strconv"
	"strings"
	"time"
)

const (
	// usualPercent is the figure of a target where work takes as long as usual.
	usualPercent = 100
	// maxPercent is the highest figure that counts as valid.
	maxPercent = 10_000
	// MaxAge is the age from which a figure is not used. Targets draw their speed anew several times a
	// second, so that an older figure says more about the past than about the next request.
	MaxAge = 300 * time.Millisecond
	// Factors are limited to this range: a single extreme figure must neither draw all senders to a
	// target nor change its mean service time by orders of magnitude.
	minFactor = 0.2
	maxFactor = 10.0
	// figureIndex is the position of the figure in the list that a target states.
	figureIndex = 3
)

// Usual is the factor of a target where work takes as long as usual. It is assumed if none is known.
const Usual = 1.0

// FromPercent returns the factor for a figure in percent, or false if the figure is not valid.
func FromPercent(percent float64) (factor float64, valid bool) {
	if !(percent > 0 && percent <= maxPercent) { // false for NaN
		return Usual, false
	}
	return min(max(percent/usualPercent, minFactor), maxFactor), true
}

// Percent returns the figure in percent for a factor.
func Percent(factor float64) float64 { return factor * usualPercent }

// Parse returns the factor in a list of figures that a target states, in which it is the fourth, or
// false if there is no valid one.
func Parse(list string) (factor float64, valid bool) {
	for range figureIndex {
		_, rest, found := strings.Cut(list, ",")
		if !found {
			return Usual, false
		}
		list = rest
	}
	figure, _, _ := strings.Cut(list, ",")
	percent, err := strconv.ParseFloat(strings.TrimSpace(figure), 64)
	if err != nil {
		return Usual, false
	}
	return FromPercent(percent)
}

// Latest is the last factor that was observed. The zero value knows none.
type Latest struct {
	factor float64 // 0: none
	at     time.Duration
}

// Observe records a factor.
func (l *Latest) Observe(now time.Duration, factor float64) { l.factor, l.at = factor, now }

// Known returns the factor, or 0 if none is known that is young enough.
func (l *Latest) Known(now time.Duration) float64 {
	if now-l.at >= MaxAge {
		return 0
	}
	return l.factor
}

// Now returns the factor to use: the known one, or Usual.
func (l *Latest) Now(now time.Duration) float64 {
	if factor := l.Known(now); factor > 0 {
		return factor
	}
	return Usual
}

// During returns the factor for a request that ran while the factor changed from begin to end.
func During(begin, end float64) float64 { return (begin + end) / 2 }

// Scale returns the factor for a span of which a share depends on the pace of the target. Downstream
// calls take as long from any target.
func Scale(factor, share float64) float64 { return Usual + share*(factor-Usual) }
