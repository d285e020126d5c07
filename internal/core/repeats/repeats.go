// Package repeats bounds how many requests a node sends a second time. The sum
// over all nodes must stay below a share of the requests plus an allowance in
// every window; each node keeps to a part of its own, so that no agreement is
// needed.
package repeats

import "time"

// Config sets the budget of one node.
type Config struct {
	// Ratio is the share of the node's own requests that may be repeated in a window.
	Ratio float64
	// Allowance is the node's part of what may be repeated besides.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget counts requests and repeats of one service over a sliding window made
// of slices. It is not safe for concurrent use.
//
// The bound on repeats holds in every window: they are counted there, and against them
// the requests in whichever has most of that window, the one before it, and the one half
// a window before. A repeat now lies in windows that end up to a whole window later, in
// which no further request may come: the budget is what the bound leaves in the worst of
// them.
type Budget struct {
	config   Config
	requests slices
	spent    slices
}

// A window has windowSlices slices; the history is that of three windows.
const (
	windowSlices  = 10
	historySlices = 3 * windowSlices
)

type slices struct {
	counts [historySlices + 1]float64
	newest int64 // number of the newest slice
}

// New makes a budget.
func New(config Config) *Budget { return &Budget{config: config} }

// SetBounds changes the ratio and the node's part of the allowance, as members
// come and go and settings change. The window stays.
func (b *Budget) SetBounds(ratio, allowance float64) {
	b.config.Ratio, b.config.Allowance = ratio, allowance
}

func (b *Budget) slice(now time.Duration) int64 {
	return int64(now / (b.config.Window / windowSlices))
}

// Request counts a request.
func (b *Budget) Request(now time.Duration, count float64) { b.requests.add(b.slice(now), count) }

// Allows tells whether so many repeats fit.
func (b *Budget) Allows(now time.Duration, count float64) bool {
	slice := b.slice(now)
	b.spent.advance(slice)
	b.requests.advance(slice)
	// One slice more of repeats and one less of requests than a window has: where
	// in their slices they came is not known.
	spent := b.spent.between(slice-windowSlices, slice)
	return spent+count <= b.config.Ratio*b.worst(slice)+b.config.Allowance
}

// AllowsPaced tells whether so many repeats fit that are wanted since targets decline
// calls. That lasts: a part of what is left is kept for the seconds to come.
func (b *Budget) AllowsPaced(now time.Duration, count float64) bool {
	if !b.Allows(now, count) {
		return false
	}
	slice := b.slice(now)
	left := b.config.Ratio*b.worst(slice) + b.config.Allowance - b.spent.between(slice-windowSlices, slice)
	return count <= b.atOnce(slice, left)
}

// spentAtOnce is the part of what is left at the beginning of a slice that may go in it.
const spentAtOnce = 1.0 / 3

// leastAtOnce is what may go in a slice in any case.
const leastAtOnce = 10

// atOnce gives what may still go in the slice.
func (b *Budget) atOnce(slice int64, left float64) float64 {
	now := b.spent.between(slice, slice)
	return max(spentAtOnce*(left+now), leastAtOnce) - now
}

// worst gives the requests that count in the window, of all that a repeat in the
// slice lies in, in which fewest do.
func (b *Budget) worst(slice int64) float64 {
	least := -1.0
	for end := slice; end <= slice+windowSlices; end++ {
		most := 0.0
		for _, shift := range [...]int64{0, windowSlices / 2, windowSlices} {
			last := end - shift
			most = max(most, b.requests.between(last-windowSlices+2, min(last, slice)))
		}
		if least < 0 || most < least {
			least = most
		}
	}
	return least
}

// Spend counts repeats.
func (b *Budget) Spend(now time.Duration, count float64) { b.spent.add(b.slice(now), count) }

func (s *slices) advance(slice int64) {
	if slice-s.newest > historySlices {
		s.counts = [historySlices + 1]float64{}
		s.newest = slice
		return
	}
	for s.newest < slice {
		s.newest++
		s.counts[s.newest%(historySlices+1)] = 0
	}
}

func (s *slices) add(slice int64, count float64) {
	s.advance(slice)
	s.counts[slice%(historySlices+1)] += count
}

// between sums up the slices from first to last that are still held.
func (s *slices) between(first, last int64) float64 {
	total := 0.0
	for slice := max(first, s.newest-historySlices, 0); slice <= min(last, s.newest); slice++ {
		total += s.counts[slice%(historySlices+1)]
	}
	return total
}
