package repeats

import (
	"math"
	"time"
)

// Ration says which chains may repeat calls of a service while there are fewer repeats
// than calls that need one. A chain ends only if all of its calls do: repeats that are
// dealt out as they are asked for begin all chains and end hardly any. Chains have a rank
// that is the same on all nodes; those of low rank get what they need, the others
// nothing. It is not safe for concurrent use.
type Ration struct {
	short  float64 // 1 less the share of the ranks that may repeat
	at     time.Duration
	denied time.Duration
}

const (
	// rationStep is the least time between two cuts: one shortage denies many at once.
	rationStep = 50 * time.Millisecond
	// rationCut is the part of the ranks that a cut leaves.
	rationCut = 0.8
	// rationGrowth is the time constant with which the share grows back.
	rationGrowth = 2 * time.Second
	// rationLeast is the share that always remains.
	rationLeast = 0.02
)

// Allows tells whether a chain of a rank of 0 to 1 may repeat.
func (r *Ration) Allows(now time.Duration, rank float64) bool { return rank < r.share(now) }

func (r *Ration) share(now time.Duration) float64 {
	if r.short == 0 {
		return 1
	}
	return min((1-r.short)*math.Exp(float64(now-r.at)/float64(rationGrowth)), 1)
}

// Denied notes that the budget had too little for a chain that was allowed.
func (r *Ration) Denied(now time.Duration) {
	if r.short > 0 && now-r.denied < rationStep {
		return
	}
	share := max(r.share(now)*rationCut, rationLeast)
	r.short, r.at, r.denied = 1-share, now, now
}

// Rank gives the rank of a chain: more important ones before all others, and among equals
// by a hash of what all nodes know of the chain. priority is 0 for the most important,
// priorities how many there are.
func Rank(priority, priorities int, hash uint64) float64 {
	place := min(max(priority, 0), max(priorities-1, 0))
	return (float64(place) + float64(hash>>11)/(1<<53)) / float64(max(priorities, 1))
}
