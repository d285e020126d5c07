// Package retrybudget implements retry budgets. In every window the retries of all nodes together
// must not exceed a ratio of the requests plus an allowance. Each node enforces its own part of
// that limit, so that no coordination is needed.
package retrybudget

import "time"

// Config configures the budget of one node.
type Config struct {
	// Ratio is the number of retries per request of this node in a window.
	Ratio float64
	// Allowance is this node's part of the retries allowed in addition.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget counts the requests to and retries of one service over a sliding window of slices. It
// is not safe for concurrent use.
//
// The limit holds for every window. The retries in a window are compared with the highest
// number of requests in that window, the window before it, and the window half its length
// earlier. A retry also counts in windows that end up to one window length later, in which no
// more requests may arrive, so the budget is what remains in the worst of them.
type Budget struct {
	config   Config
	requests sliceCounter
	retries  sliceCounter
}

// A window has windowSlices slices. The history covers three windows.
const (
	windowSlices  = 10
	historySlices = 3 * windowSlices
)

type sliceCounter struct {
	counts [historySlices + 1]float64
	newest int64 // index of the newest slice
}

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config} }

// SetBounds changes the ratio and the node's part of the allowance.
func (b *Budget) SetBounds(ratio, allowance float64) {
	b.config.Ratio, b.config.Allowance = ratio, allowance
}

func (b *Budget) slice(now time.Duration) int64 {
	return int64(now / (b.config.Window / windowSlices))
}

// CountRequests counts requests.
func (b *Budget) CountRequests(now time.Duration, count float64) { b.requests.add(b.slice(now), count) }

// Allows reports whether the budget permits count more retries.
func (b *Budget) Allows(now time.Duration, count float64) bool {
	slice := b.slice(now)
	b.retries.advance(slice)
	b.requests.advance(slice)
	// The sum covers one slice more than a window and that of requests one less, because the
	// position of events within their slices is unknown.
	retries := b.retries.sum(slice-windowSlices, slice)
	return retries+count <= b.config.Ratio*b.worstCaseRequests(slice)+b.config.Allowance
}

// AllowsPaced reports whether the budget permits count more retries of declined requests.
// Targets may decline for a long time, so part of the remaining budget is kept for later slices.
func (b *Budget) AllowsPaced(now time.Duration, count float64) bool {
	if !b.Allows(now, count) {
		return false
	}
	slice := b.slice(now)
	remaining := b.config.Ratio*b.worstCaseRequests(slice) + b.config.Allowance - b.retries.sum(slice-windowSlices, slice)
	return count <= b.pacedRemaining(slice, remaining)
}

// pacedFraction is the part of the budget remaining at the start of a slice that paced retries
// may use in it.
const pacedFraction = 1.0 / 3

// minPacedPerSlice is the number of paced retries permitted in a slice in any case.
const minPacedPerSlice = 10

// pacedRemaining returns the number of paced retries still permitted in the slice.
func (b *Budget) pacedRemaining(slice int64, remaining float64) float64 {
	used := b.retries.sum(slice, slice)
	return max(pacedFraction*(remaining+used), minPacedPerSlice) - used
}

// worstCaseRequests returns the lowest number of requests that the retries are compared with, over
// all windows that include the slice.
func (b *Budget) worstCaseRequests(slice int64) float64 {
	least := -1.0
	for end := slice; end <= slice+windowSlices; end++ {
		most := 0.0
		for _, shift := range [...]int64{0, windowSlices / 2, windowSlices} {
			last := end - shift
			most = max(most, b.requests.sum(last-windowSlices+2, min(last, slice)))
		}
		if least < 0 || most < least {
			least = most
		}
	}
	return least
}

// CountRetries counts retries.
func (b *Budget) CountRetries(now time.Duration, count float64) { b.retries.add(b.slice(now), count) }

func (s *sliceCounter) advance(slice int64) {
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

func (s *sliceCounter) add(slice int64, count float64) {
	s.advance(slice)
	s.counts[slice%(historySlices+1)] += count
}

// sum returns the total of the slices from first to last that are still in the history.
func (s *sliceCounter) sum(first, last int64) float64 {
	total := 0.0
	for slice := max(first, s.newest-historySlices, 0); slice <= min(last, s.newest); slice++ {
		total += s.counts[slice%(historySlices+1)]
	}
	return total
}
