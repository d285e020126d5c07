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
	// WaitTarget is the mean queue wait above which the target counts as overloaded.
	WaitTarget time.Duration
	// Decrease is the share of admitted calls taken away by an overloaded window.
	Decrease float64
}

// DefaultConfig gives the values that docs/OVERLOAD.md was measured with.
func DefaultConfig(levels int) Config {
	return Config{Levels: levels, Window: 100 * time.Millisecond, WaitTarget: 20 * time.Millisecond, Decrease: 0.05}
}

// Controller learns the cursor of one target. It is not safe for concurrent use.
type Controller struct {
	config    Config
	cursor    Rank
	arrivals  []int
	waits     time.Duration
	waited    int
	overfull  int
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

// Waited records how long an admitted call waited for its slot.
func (c *Controller) Waited(now, wait time.Duration) {
	c.advance(now)
	c.waits += wait
	c.waited++
}

// Overfull records a refusal by the queue itself.
func (c *Controller) Overfull(now time.Duration) {
	c.advance(now)
	c.overfull++
}

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
	for range min(int(passed), 16) {
		c.raise()
	}
	c.windowEnd = now + c.config.Window
}

func (c *Controller) adjust() {
	overloaded := c.overfull > 0 || (c.waited > 0 && c.waits/time.Duration(c.waited) > c.config.WaitTarget)
	if overloaded {
		c.lower()
	} else {
		c.raise()
	}
	clear(c.arrivals)
	c.waits, c.waited, c.overfull = 0, 0, 0
}

// lower moves the cursor down until the share to be taken away is covered. The
// most important level stays open: its own queue order protects it.
func (c *Controller) lower() {
	c.step = 1
	admitted := 0
	for rank := Rank(0); rank <= c.cursor; rank++ {
		admitted += c.arrivals[rank]
	}
	excess := int(float64(admitted)*c.config.Decrease) + c.overfull/2 + 1
	floor := Rank(BucketsPerLevel - 1)
	for excess > 0 && c.cursor > floor {
		excess -= c.arrivals[c.cursor]
		c.cursor--
	}
}

// raise opens the cursor with steps that double while no overload is seen.
func (c *Controller) raise() {
	c.cursor = min(c.cursor+Rank(c.step), c.config.top())
	c.step = min(c.step*2, BucketsPerLevel)
}

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
