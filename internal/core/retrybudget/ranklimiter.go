package retrybudget

import (
	"math"
	"time"
)

// RankLimiter decides which chains may retry calls to a service while its retry budget is too small
// for all of them. A chain succeeds only if all its calls do, so granting retries in order of
// demand lets few chains complete. RankLimiter grants them to chains below a rank threshold instead.
// Ranks are the same on all nodes. It is not safe for concurrent use.
type RankLimiter struct {
	excluded  float64 // 1 minus the admitted share of the ranks at updatedAt
	updatedAt time.Duration
	lastCut   time.Duration
}

const (
	// minCutInterval is the minimum time between two cuts, since one shortage denies many retries.
	minCutInterval = 50 * time.Millisecond
	// cutFactor is the factor on the share at a cut.
	cutFactor = 0.8
	// recoveryTime is the time constant of the share's exponential recovery.
	recoveryTime = 2 * time.Second
	// minShare is the lower bound of the share.
	minShare = 0.02
)

// Allows reports whether a chain with a rank in [0, 1) may retry.
func (r *RankLimiter) Allows(now time.Duration, rank float64) bool { return rank < r.share(now) }

func (r *RankLimiter) share(now time.Duration) float64 {
	if r.excluded == 0 {
		return 1
	}
	return min((1-r.excluded)*math.Exp(float64(now-r.updatedAt)/float64(recoveryTime)), 1)
}

// Denied records that the budget was too small for a chain that was allowed to retry.
func (r *RankLimiter) Denied(now time.Duration) {
	if r.excluded > 0 && now-r.lastCut < minCutInterval {
		return
	}
	share := max(r.share(now)*cutFactor, minShare)
	r.excluded, r.updatedAt, r.lastCut = 1-share, now, now
}

// Rank returns the rank of a chain: by priority first, then by need, then by a hash that is the same on
// all nodes. Priority 0 is the most important; priorities is the number of priorities. need is a class
// from 1 to needs, 0 if it is unknown: chains of fewer calls complete with fewer retries.
func Rank(priority, priorities, need, needs int, hash uint64) float64 {
	level := min(max(priority, 0), max(priorities-1, 0))
	position := float64(hash>>11) / (1 << 53)
	if need > 0 {
		position = (float64(min(need, needs)-1) + position) / float64(needs)
	}
	return (float64(level) + position) / float64(max(priorities, 1))
}
