// Package admission decides by rank which calls a target still takes. A rank
// joins the importance level of a request with a hash of its user, so that one
// number orders all requests and every hop sheds the same users first. The
// cursor of a target is the highest rank that it admits; it travels back with
// every answer so that refusals happen as far up the chain as possible.
//
// The shape follows the admission levels that were published for large chat
// back ends (Zhou et al., "Overload Control for Scaling WeChat Microservices",
// SoCC 2018): adjust by counting what arrived, one window at a time.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BucketsPerLevel is the number of user buckets within one importance level.
const BucketsPerLevel = 64

// Rank orders requests: lower is more important.
type Rank int

// RankOf gives the rank of a user's request at a level; 0 is the most important.
func RankOf(level int, user string) Rank {
	bucket := xxhash.Sum64String(user) % BucketsPerLevel
	return Rank(level*BucketsPerLevel + int(bucket))
}

// Level gives the importance level that a rank belongs to.
func (r Rank) Level() int { return int(r) / BucketsPerLevel }

// Config sets how a controller reacts.
type Config struct {
	// Levels is the number of importance levels.
	Levels int
	// Window is the time between two adjustments.
	Window time.Duration
	// WaitTarget is the wait that a full queue is steered to: the queue may hold
	// what is served in that time, or in one service time where that is longer.
	WaitTarget time.Duration
	// DrainTime is the time in which a longer queue is brought down.
	DrainTime time.Duration
}

// DefaultConfig gives the values that docs/mesh/OVERLOAD.md was measured with.
func DefaultConfig(levels int) Config {
	return Config{Levels: levels, Window: 100 * time.Millisecond, WaitTarget: 80 * time.Millisecond, DrainTime: 400 * time.Millisecond}
}

// Controller learns the cursor of one target. Each window it compares what
// arrived, rank by rank, with what was served: a queue longer than wanted moves
// the cursor down to where the arrivals match the service less the part that
// brings the queue down; a short queue moves it up in growing steps. It is not
// safe for concurrent use.
type Controller struct {
	config    Config
	cursor    Rank
	arrivals  []int
	served    int
	queued    int
	overfull  int
	typical   time.Duration
	windowEnd time.Duration
	step      int
}

// NewController makes a controller that admits everything.
func NewController(config Config) *Controller {
	return &Controller{config: config, cursor: config.top(), arrivals: make([]int, config.Levels*BucketsPerLevel), step: 1}
}

func (c Config) top() Rank { return Rank(c.Levels*BucketsPerLevel - 1) }

// Cursor gives the highest rank that is admitted.
func (c *Controller) Cursor() Rank { return c.cursor }

// Admit counts the arrival of a call and tells whether its rank is admitted.
func (c *Controller) Admit(now time.Duration, rank Rank) bool {
	c.advance(now)
	if int(rank) < len(c.arrivals) && rank >= 0 {
		c.arrivals[rank]++
	}
	return rank <= c.cursor
}

// Served counts a call that got its slot.
func (c *Controller) Served(now time.Duration) {
	c.advance(now)
	c.served++
}

// Queued tells the length of the queue now.
func (c *Controller) Queued(now time.Duration, length int) {
	c.advance(now)
	c.queued = length
}

// Typical tells the mean service time of the target.
func (c *Controller) Typical(span time.Duration) { c.typical = span }

// Overfull records a refusal by the queue itself.
func (c *Controller) Overfull(now time.Duration) {
	c.advance(now)
	c.overfull++
}

// maxIdleWindows bounds the work after a long time without calls.
const maxIdleWindows = 16

// advance closes the windows that have passed.
func (c *Controller) advance(now time.Duration) {
	if c.windowEnd == 0 {
		c.windowEnd = now + c.config.Window
		return
	}
	if now < c.windowEnd {
		return
	}
	c.adjust()
	passed := (now - c.windowEnd) / c.config.Window
	for range min(int(passed), maxIdleWindows) {
		c.raise()
	}
	c.windowEnd = now + c.config.Window
}

func (c *Controller) adjust() {
	target := max(c.config.WaitTarget, c.typical)
	wanted := float64(c.served) * float64(target) / float64(c.config.Window)
	excess := float64(c.queued) - wanted
	switch {
	case excess > 0 && c.queued > 1:
		c.lower(float64(c.served), excess*float64(c.config.Window)/float64(c.config.DrainTime))
	case c.overfull > 0:
		c.lower(float64(c.served), 0)
	case float64(c.queued) < wanted/2 || c.queued == 0:
		c.raise()
	default:
		c.step = 1
	}
	clear(c.arrivals)
	c.served, c.overfull = 0, 0
}

// lower moves the cursor down until no more than the served calls would have
// arrived at or below it, and further, by the part that brings the queue down,
// within that level only: the queue is in order of importance, so that what waits
// in it is in nobody's way who is more important. The most important level stays
// open altogether.
func (c *Controller) lower(served, drained float64) {
	c.step = 1
	admitted := 0
	for rank := Rank(0); rank <= c.cursor; rank++ {
		admitted += c.arrivals[rank]
	}
	floor := Rank(BucketsPerLevel - 1)
	for float64(admitted) > served && c.cursor > floor {
		admitted -= c.arrivals[c.cursor]
		c.cursor--
	}
	floor = max(floor, Rank(c.cursor.Level()*BucketsPerLevel-1))
	for float64(admitted) > served-drained && c.cursor > floor {
		admitted -= c.arrivals[c.cursor]
		c.cursor--
	}
}

// raise opens the cursor with steps that double while the queue stays short.
func (c *Controller) raise() {
	c.cursor = min(c.cursor+Rank(c.step), c.config.top())
	c.step = min(c.step*2, maxStep)
}

// maxStep bounds how far one window opens the cursor, in buckets.
const maxStep = BucketsPerLevel / 4

// View is what a caller remembers of a target's cursor. Knowledge ages: without
// answers the cursor is taken to open again.
type View struct {
	cursor Rank
	seen   time.Duration
	probed time.Duration
	known  bool
}

// Times after which a remembered cursor is doubted.
const (
	// ProbeInterval is how often one call above the cursor is let through to
	// learn whether the target has recovered.
	ProbeInterval = 100 * time.Millisecond
	// ForgetAfter is when a cursor without news stops to count.
	ForgetAfter = time.Second
)

// Observe remembers the cursor that an answer carried.
func (v *View) Observe(now time.Duration, cursor Rank) {
	v.cursor, v.seen, v.known = cursor, now, true
}

// Cursor gives what is remembered; false when nothing is.
func (v *View) Cursor(now time.Duration) (Rank, bool) {
	return v.cursor, v.known && now-v.seen < ForgetAfter
}

// Admit tells whether a call of that rank is worth sending.
func (v *View) Admit(now time.Duration, rank Rank) bool {
	cursor, known := v.Cursor(now)
	if !known || rank <= cursor {
		return true
	}
	if now-v.probed >= ProbeInterval {
		v.probed = now
		return true
	}
	return false
}
