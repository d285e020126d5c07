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
type Budget struct {
	config   Config
	requests slices
	spent    slices
}

// sliceCount is the number of slices of a window. One more is kept, so that a
// repeat counts until it is certainly out of every window.
const sliceCount = 10

type slices struct {
	counts [sliceCount + 1]float64
	first  int64 // number of the newest slice
}

// New makes a budget.
func New(config Config) *Budget { return &Budget{config: config} }

// SetBounds changes the ratio and the node's part of the allowance, as members
// come and go and settings change. The window stays.
func (b *Budget) SetBounds(ratio, allowance float64) {
	b.config.Ratio, b.config.Allowance = ratio, allowance
}

func (b *Budget) slice(now time.Duration) int64 {
	return int64(now / (b.config.Window / sliceCount))
}

// Request counts a request.
func (b *Budget) Request(now time.Duration, count float64) { b.requests.add(b.slice(now), count) }

// Allows tells whether so many repeats fit.
func (b *Budget) Allows(now time.Duration, count float64) bool {
	slice := b.slice(now)
	return b.spent.sum(slice)+count <= b.config.Ratio*b.requests.sum(slice)+b.config.Allowance
}

// Spend counts repeats.
func (b *Budget) Spend(now time.Duration, count float64) { b.spent.add(b.slice(now), count) }

func (s *slices) advance(slice int64) {
	if slice-s.first > sliceCount {
		s.counts = [sliceCount + 1]float64{}
		s.first = slice
		return
	}
	for s.first < slice {
		s.first++
		s.counts[s.first%(sliceCount+1)] = 0
	}
}

func (s *slices) add(slice int64, count float64) {
	s.advance(slice)
	s.counts[slice%(sliceCount+1)] += count
}

func (s *slices) sum(slice int64) float64 {
	s.advance(slice)
	total := 0.0
	for _, count := range s.counts {
		total += count
	}
	return total
}
