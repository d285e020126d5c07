// Package admission implements priority-based admission control. A request has a
// rank, made of its importance level and a hash of its user, so that every hop
// sheds the same users first. The cursor of a target is the highest rank that it
// admits. Responses carry the cursor back to callers, which then refuse calls
// above it without sending them.
//
// The cursor is adjusted from the histogram of arrivals in a window, as in Zhou
// et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BucketsPerLevel is the number of user buckets within one importance level.
const BucketsPerLevel = 64

// Rank is the priority of a request; a lower rank is more important.
type Rank int

// RankOf returns the rank of a user's request at an importance level; level 0 is
// the most important.
func RankOf(level int, user string) Rank {
	bucket := xxhash.Sum64String(user) % BucketsPerLevel
	return Rank(level*BucketsPerLevel + int(bucket))
}

// Level returns the importance level of the rank.
func (r Rank) Level() int { return int(r) / BucketsPerLevel }

// Config holds the parameters of a Controller.
type Config struct {
	// Levels is the number of importance levels.
	Levels int
	// Window is the interval between adjustments of the cursor.
	Window time.Duration
	// TargetQueueDelay is the target queueing delay. A target whose service time is
	// longer uses its service time instead.
	TargetQueueDelay time.Duration
	// QueueDrainTime is the time in which the excess of a longer queue is drained.
	QueueDrainTime time.Duration
}

// DefaultConfig returns the default parameters, which the results in
// docs/mesh/OVERLOAD.md apply to.
func DefaultConfig(levels int) Config {
	return Config{Levels: levels, Window: 100 * time.Millisecond, TargetQueueDelay: 80 * time.Millisecond, QueueDrainTime: 400 * time.Millisecond}
}

// Controller adjusts the cursor of one target. When the queue is longer than the
// target queueing delay allows, the cursor moves down to the rank at which the
// arrivals of the last window match its throughput, less the capacity needed to
// drain the queue. When the queue is short, the cursor moves up in growing steps.
// It is not safe for concurrent use.
type Controller struct {
	config        Config
	cursor        Rank
	arrivals      []int
	served        int
	queueLength   int
	queueRefusals int
	serviceTime   time.Duration
	windowEnd     time.Duration
	step          int
}

// NewController returns a controller that initially admits all ranks.
func NewController(config Config) *Controller {
	return &Controller{config: config, cursor: config.maxRank(), arrivals: make([]int, config.Levels*BucketsPerLevel), step: 1}
}

func (c Config) maxRank() Rank { return Rank(c.Levels*BucketsPerLevel - 1) }

// Cursor returns the highest rank that is admitted.
func (c *Controller) Cursor() Rank { return c.cursor }

// Admit counts the arrival of a call and reports whether its rank is admitted.
func (c *Controller) Admit(now time.Duration, rank Rank) bool {
	c.advance(now)
	if int(rank) < len(c.arrivals) && rank >= 0 {
		c.arrivals[rank]++
	}
	return rank <= c.cursor
}

// Served counts a call that was forwarded to the target.
func (c *Controller) Served(now time.Duration) {
	c.advance(now)
	c.served++
}

// SetQueueLength records the current length of the queue.
func (c *Controller) SetQueueLength(now time.Duration, length int) {
	c.advance(now)
	c.queueLength = length
}

// SetServiceTime records the mean service time of the target.
func (c *Controller) SetServiceTime(serviceTime time.Duration) { c.serviceTime = serviceTime }

// QueueRefused counts a call that was refused because the queue was full or timed out.
func (c *Controller) QueueRefused(now time.Duration) {
	c.advance(now)
	c.queueRefusals++
}

// maxIdleWindows bounds the adjustments made up for after an idle period.
const maxIdleWindows = 16

// advance closes the windows that ended before now.
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
	delay := max(c.config.TargetQueueDelay, c.serviceTime)
	targetLength := float64(c.served) * float64(delay) / float64(c.config.Window)
	excess := float64(c.queueLength) - targetLength
	switch {
	case excess > 0 && c.queueLength > 1:
		c.lower(float64(c.served), excess*float64(c.config.Window)/float64(c.config.QueueDrainTime))
	case c.queueRefusals > 0:
		c.lower(float64(c.served), 0)
	case float64(c.queueLength) < targetLength/2 || c.queueLength == 0:
		c.raise()
	default:
		c.step = 1
	}
	clear(c.arrivals)
	c.served, c.queueRefusals = 0, 0
}

// lower moves the cursor down until the arrivals it admits match the calls served,
// and then further, by the calls to drain, within that level only: the queue is
// ordered by importance, so its backlog does not delay more important levels. The
// most important level is never shed.
func (c *Controller) lower(served, toDrain float64) {
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
	for float64(admitted) > served-toDrain && c.cursor > floor {
		admitted -= c.arrivals[c.cursor]
		c.cursor--
	}
}

// raise moves the cursor up in steps that double while the queue stays short.
func (c *Controller) raise() {
	c.cursor = min(c.cursor+Rank(c.step), c.config.maxRank())
	c.step = min(c.step*2, maxStep)
}

// maxStep is the largest step of the cursor in one window, in buckets.
const maxStep = BucketsPerLevel / 4

// View is a caller's cached copy of a target's cursor. It expires without new
// responses, so that the target is tried again.
type View struct {
	cursor     Rank
	observedAt time.Duration
	probedAt   time.Duration
	known      bool
}

const (
	// ProbeInterval is the interval at which a call above the cursor is sent to
	// detect that the target has recovered.
	ProbeInterval = 100 * time.Millisecond
	// CursorTTL is the lifetime of a cached cursor.
	CursorTTL = time.Second
)

// Observe caches the cursor of a response.
func (v *View) Observe(now time.Duration, cursor Rank) {
	v.cursor, v.observedAt, v.known = cursor, now, true
}

// Cursor returns the cached cursor, or false if there is none or it has expired.
func (v *View) Cursor(now time.Duration) (Rank, bool) {
	return v.cursor, v.known && now-v.observedAt < CursorTTL
}

// Admit reports whether a call of the rank should be sent to the target.
func (v *View) Admit(now time.Duration, rank Rank) bool {
	cursor, known := v.Cursor(now)
	if !known || rank <= cursor {
		return true
	}
	if now-v.probedAt >= ProbeInterval {
		v.probedAt = now
		return true
	}
	return false
}
