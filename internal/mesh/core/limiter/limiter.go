// Package limiter holds the calls in front of one target: a concurrency limit
// that it learns, and a short queue ordered by importance. It is a state
// machine: arrivals, ends and ticks go in with the time, actions come out.
package limiter

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Call is one call that wants a slot of the target.
type Call struct {
	ID          uint64
	Level       int           // importance, 0 first
	Class       string        // baseline of the service time is kept per class
	Deadline    time.Duration // on the same clock as now
	Preemptible bool          // may be cancelled after hand-over
	Chain       string        // user request that the call is made for; empty: not known
	Depth       int           // hops below the entry
}

// ActionKind names what the driver has to do.
type ActionKind int

// The actions.
const (
	// Admit hands the call over to the target.
	Admit ActionKind = iota + 1
	// Refuse answers the call as not run.
	Refuse
	// Preempt cancels a call that was handed over.
	Preempt
)

// Action is one thing for the driver to do, with the numbers behind it.
type Action struct {
	Kind   ActionKind
	ID     uint64
	Reason outcome.Reason
	Wait   time.Duration // time spent in the queue
	Limit  int
	Active int
	Queued int
}

// Config bounds the limiter.
type Config struct {
	InitialLimit  int           // where a cold target starts
	MinLimit      int           // never below
	MaxLimit      int           // never above: the target's connections
	QueueFactor   float64       // queue length as a multiple of the limit
	MaxWait       time.Duration // longest wait in the queue of a target with short service times
	PreemptAfter  time.Duration // wait after which running less important work is cancelled; 0: never
	LearnSamples  int           // ends in one learning window
	InflationHigh float64       // mean service time over baseline that lowers the limit
}

// DefaultConfig gives the values that docs/mesh/OVERLOAD.md was measured with.
func DefaultConfig() Config {
	return Config{
		InitialLimit: 4, MinLimit: 2, MaxLimit: 100,
		QueueFactor: 6, MaxWait: 300 * time.Millisecond,
		PreemptAfter: 50 * time.Millisecond, LearnSamples: 40, InflationHigh: 1.6,
	}
}

type waiting struct {
	call    Call
	arrived time.Duration
	order   uint64
}

type running struct {
	call       Call
	started    time.Duration
	preempted  bool
	concurrent int
}

// Limiter is the state of one target. It is not safe for concurrent use.
type Limiter struct {
	config   Config
	limit    int
	queue    []waiting // sorted by level, then arrival
	active   map[uint64]*running
	sequence uint64
	learner  learner
	draining bool
}

// New makes a limiter for a cold target.
func New(config Config) *Limiter {
	return &Limiter{
		config: config, limit: config.InitialLimit, active: map[uint64]*running{},
		learner: newLearner(),
	}
}

// Limit gives the concurrency limit now.
func (l *Limiter) Limit() int { return l.limit }

// Active gives the calls that are at the target.
func (l *Limiter) Active() int { return len(l.active) }

// Queued gives the calls that wait.
func (l *Limiter) Queued() int { return len(l.queue) }

// Drain refuses everything that waits and all that arrives later; calls at the
// target go on.
func (l *Limiter) Drain(now time.Duration) []Action {
	l.draining = true
	var actions []Action
	for _, item := range l.queue {
		actions = append(actions, l.refusal(now, item, outcome.ReasonDraining))
	}
	l.queue = nil
	return actions
}

// Draining tells whether Drain was called.
func (l *Limiter) Draining() bool { return l.draining }

// Arrive takes in a call. It is admitted, queued or refused; a less important
// call may lose its place in the queue to it.
func (l *Limiter) Arrive(now time.Duration, call Call) []Action {
	item := waiting{call: call, arrived: now, order: l.sequence}
	l.sequence++
	if l.draining {
		return []Action{l.refusal(now, item, outcome.ReasonDraining)}
	}
	if now >= call.Deadline {
		return []Action{l.refusal(now, item, outcome.ReasonExpired)}
	}
	actions := l.expire(now)
	if l.waitsForItself(call) {
		return append(actions, l.admit(now, item))
	}
	l.insert(item)
	actions = append(actions, l.fill(now)...)
	if len(l.queue) > l.queueLength() {
		last := l.queue[len(l.queue)-1]
		l.queue = l.queue[:len(l.queue)-1]
		actions = append(actions, l.refusal(now, last, outcome.ReasonQueueFull))
	}
	return actions
}

// Finish takes the end of a call at the target. own is the time that the target
// itself took, without its deeper calls; healthy is false when the call was cut
// short and tells nothing about the target's speed; shed tells that the target
// refused it.
func (l *Limiter) Finish(now time.Duration, id uint64, own time.Duration, healthy, shed bool) []Action {
	call, present := l.active[id]
	if !present {
		return nil
	}
	delete(l.active, id)
	if shed {
		l.learner.window.shed++
	}
	if healthy && !call.preempted {
		l.learn(call, own)
	}
	return append(l.expire(now), l.fill(now)...)
}

// Withdraw takes a call out of the queue, because its caller went away.
func (l *Limiter) Withdraw(id uint64) {
	for index, item := range l.queue {
		if item.call.ID == id {
			l.queue = append(l.queue[:index], l.queue[index+1:]...)
			return
		}
	}
}

// Tick drops what has waited too long and cancels less important work that
// keeps more important work waiting. Call it every few milliseconds while
// anything is queued.
func (l *Limiter) Tick(now time.Duration) []Action {
	actions := l.expire(now)
	actions = append(actions, l.fill(now)...)
	return append(actions, l.preempt(now)...)
}

// Typical gives the mean time that the target itself took for a call lately; 0
// until it is known.
func (l *Limiter) Typical() time.Duration { return l.learner.typical }

// waitFactor is how many service times a call may wait where that is longer than
// the configured wait: downloads of seconds need a queue of seconds.
const waitFactor = 3

func (l *Limiter) maxWait() time.Duration {
	return max(l.config.MaxWait, waitFactor*l.learner.typical)
}

func (l *Limiter) queueLength() int {
	return max(int(float64(l.limit)*l.config.QueueFactor), 2)
}

func (l *Limiter) insert(item waiting) {
	place := sort.Search(len(l.queue), func(index int) bool {
		other := l.queue[index]
		return other.call.Level > item.call.Level
	})
	l.queue = append(l.queue, waiting{})
	copy(l.queue[place+1:], l.queue[place:])
	l.queue[place] = item
}

// fill admits from the front of the queue while slots are free.
func (l *Limiter) fill(now time.Duration) []Action {
	var actions []Action
	for len(l.queue) > 0 {
		item := l.queue[0]
		if len(l.active) >= l.limit {
			l.learner.window.full = true
			break
		}
		l.queue = l.queue[1:]
		actions = append(actions, l.admit(now, item))
	}
	return actions
}

func (l *Limiter) admit(now time.Duration, item waiting) Action {
	l.active[item.call.ID] = &running{call: item.call, started: now, concurrent: len(l.active) + 1}
	return l.action(Admit, item.call.ID, outcome.ReasonNone, now-item.arrived)
}

// waitsForItself tells that the limit is reached and a call further up in the same
// chain holds a slot here: it gives the slot back only when this call has ended, so
// that waiting for a slot is in vain. Such a call goes beyond the limit, never
// beyond the most that the target can take.
func (l *Limiter) waitsForItself(call Call) bool {
	if call.Chain == "" || len(l.active) < l.limit || len(l.active) >= l.config.MaxLimit {
		return false
	}
	for _, other := range l.active {
		if other.call.Chain == call.Chain && other.call.Depth < call.Depth {
			return true
		}
	}
	return false
}

func (l *Limiter) expire(now time.Duration) []Action {
	var actions []Action
	kept := l.queue[:0]
	for _, item := range l.queue {
		switch {
		case now >= item.call.Deadline:
			actions = append(actions, l.refusal(now, item, outcome.ReasonExpired))
		case now-item.arrived > l.maxWait():
			actions = append(actions, l.refusal(now, item, outcome.ReasonQueueTimeout))
		default:
			kept = append(kept, item)
		}
	}
	l.queue = kept
	return actions
}

// preempt cancels one less important running call for the first waiting call,
// once that has waited for long enough.
func (l *Limiter) preempt(now time.Duration) []Action {
	if l.config.PreemptAfter == 0 || len(l.queue) == 0 {
		return nil
	}
	first := l.queue[0]
	if now-first.arrived < l.config.PreemptAfter {
		return nil
	}
	var victim *running
	for _, candidate := range l.active {
		if candidate.preempted {
			return nil // one at a time: its slot is about to come free
		}
		if candidate.call.Preemptible && candidate.call.Level > first.call.Level && worse(candidate, victim) {
			victim = candidate
		}
	}
	if victim == nil {
		return nil
	}
	victim.preempted = true
	return []Action{l.action(Preempt, victim.call.ID, outcome.ReasonPreempted, now-victim.started)}
}

// worse prefers the least important call, then the one that lost least work.
func worse(candidate, victim *running) bool {
	if victim == nil || candidate.call.Level != victim.call.Level {
		return victim == nil || candidate.call.Level > victim.call.Level
	}
	if candidate.started != victim.started {
		return candidate.started > victim.started
	}
	return candidate.call.ID > victim.call.ID
}

func (l *Limiter) refusal(now time.Duration, item waiting, reason outcome.Reason) Action {
	return l.action(Refuse, item.call.ID, reason, now-item.arrived)
}

func (l *Limiter) action(kind ActionKind, id uint64, reason outcome.Reason, wait time.Duration) Action {
	return Action{Kind: kind, ID: id, Reason: reason, Wait: wait, Limit: l.limit, Active: len(l.active), Queued: len(l.queue)}
}
