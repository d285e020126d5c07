// Package limiter implements an adaptive concurrency limit for one target, with
// a bounded priority queue in front of it. It is a deterministic state machine:
// the driver passes in events with the current time and performs the actions
// that are returned.
package limiter

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
)

// Call is a call that asks for a slot of the target.
type Call struct {
	ID          uint64
	Level       int           // importance level; 0 is the most important
	Class       string        // request class; service time baselines are kept per class
	Deadline    time.Duration // on the clock of the now parameters
	Preemptible bool          // may be cancelled while active
	Chain       string        // ID of the user request the call belongs to; empty if unknown
	Depth       int           // hops from the entry
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// Admit forwards the call to the target.
	Admit ActionKind = iota + 1
	// Refuse rejects the call with the outcome not-run.
	Refuse
	// Preempt cancels an active call.
	Preempt
)

// Action is an instruction to the driver, with the state of the limiter after it.
type Action struct {
	Kind   ActionKind
	ID     uint64
	Reason outcome.Reason
	Wait   time.Duration // time in the queue; for Preempt, time at the target
	Limit  int
	Active int
	Queued int
}

// Config holds the parameters of a limiter.
type Config struct {
	InitialLimit  int           // limit before anything is known about the target
	MinLimit      int           // lower bound of the limit
	MaxLimit      int           // upper bound of the limit; the target's connection limit
	QueueFactor   float64       // queue capacity as a multiple of the limit
	MaxWait       time.Duration // longest time in the queue; extended for targets with long service times
	PreemptAfter  time.Duration // time in the queue after which a less important active call is cancelled; 0 disables preemption
	LearnSamples  int           // minimum number of samples in a window
	InflationHigh float64       // ratio of service time to baseline above which the limit is lowered
}

// DefaultConfig returns the default parameters, which the results in
// docs/mesh/OVERLOAD.md apply to.
func DefaultConfig() Config {
	return Config{
		InitialLimit: 4, MinLimit: 2, MaxLimit: 100,
		QueueFactor: 6, MaxWait: 300 * time.Millisecond,
		PreemptAfter: 50 * time.Millisecond, LearnSamples: 40, InflationHigh: 1.6,
	}
}

type queuedCall struct {
	call       Call
	enqueuedAt time.Duration
}

type activeCall struct {
	call        Call
	startedAt   time.Duration
	preempted   bool
	concurrency int
}

// Limiter limits the concurrent calls to one target. It is not safe for
// concurrent use.
type Limiter struct {
	config   Config
	limit    int
	queue    []queuedCall // sorted by level, then arrival
	active   map[uint64]*activeCall
	learner  learner
	draining bool
}

// New returns a limiter for a target with no history.
func New(config Config) *Limiter {
	return &Limiter{
		config: config, limit: config.InitialLimit, active: map[uint64]*activeCall{},
		learner: newLearner(),
	}
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int { return l.limit }

// Active returns the number of calls at the target.
func (l *Limiter) Active() int { return len(l.active) }

// Queued returns the number of calls in the queue.
func (l *Limiter) Queued() int { return len(l.queue) }

// Drain refuses the queued calls and all later arrivals. Active calls continue.
func (l *Limiter) Drain(now time.Duration) []Action {
	l.draining = true
	var actions []Action
	for _, item := range l.queue {
		actions = append(actions, l.refuse(now, item, outcome.ReasonDraining))
	}
	l.queue = nil
	return actions
}

// Draining reports whether Drain was called.
func (l *Limiter) Draining() bool { return l.draining }

// Arrive admits, queues or refuses a call. When the queue is full, its least
// important call is refused to make room.
func (l *Limiter) Arrive(now time.Duration, call Call) []Action {
	item := queuedCall{call: call, enqueuedAt: now}
	if l.draining {
		return []Action{l.refuse(now, item, outcome.ReasonDraining)}
	}
	if now >= call.Deadline {
		return []Action{l.refuse(now, item, outcome.ReasonDeadlineExpired)}
	}
	actions := l.dropExpired(now)
	if l.chainHoldsSlot(call) {
		return append(actions, l.admit(now, item))
	}
	l.enqueue(item)
	actions = append(actions, l.dispatchQueued(now)...)
	if len(l.queue) > l.queueCapacity() {
		last := l.queue[len(l.queue)-1]
		l.queue = l.queue[:len(l.queue)-1]
		actions = append(actions, l.refuse(now, last, outcome.ReasonQueueFull))
	}
	return actions
}

// Finish releases the slot of a call. serviceTime excludes the nested calls that
// the target waited for. complete is false when the call was cut short, so that
// its service time is not representative. rejected reports that the target itself
// refused the call.
func (l *Limiter) Finish(now time.Duration, id uint64, serviceTime time.Duration, complete, rejected bool) []Action {
	call, ok := l.active[id]
	if !ok {
		return nil
	}
	delete(l.active, id)
	if rejected {
		l.learner.window.rejected++
	}
	if complete && !call.preempted {
		l.recordSample(call, serviceTime)
	}
	return append(l.dropExpired(now), l.dispatchQueued(now)...)
}

// Cancel removes a call from the queue, for callers that disconnected.
func (l *Limiter) Cancel(id uint64) {
	for index, item := range l.queue {
		if item.call.ID == id {
			l.queue = append(l.queue[:index], l.queue[index+1:]...)
			return
		}
	}
}

// Tick refuses calls that were queued for too long and preempts less important
// active calls. The driver calls it every few milliseconds while Queued is not 0.
func (l *Limiter) Tick(now time.Duration) []Action {
	actions := l.dropExpired(now)
	actions = append(actions, l.dispatchQueued(now)...)
	return append(actions, l.preempt(now)...)
}

// MeanServiceTime returns the mean service time of the last learning window, or 0
// before the first.
func (l *Limiter) MeanServiceTime() time.Duration { return l.learner.meanServiceTime }

// maxWaitServiceTimes extends the longest time in the queue to a multiple of the
// service time, so that slow targets do not time out their whole queue.
const maxWaitServiceTimes = 3

func (l *Limiter) maxWait() time.Duration {
	return max(l.config.MaxWait, maxWaitServiceTimes*l.learner.meanServiceTime)
}

func (l *Limiter) queueCapacity() int {
	return max(int(float64(l.limit)*l.config.QueueFactor), 2)
}

func (l *Limiter) enqueue(item queuedCall) {
	pos := sort.Search(len(l.queue), func(index int) bool {
		other := l.queue[index]
		return other.call.Level > item.call.Level
	})
	l.queue = append(l.queue, queuedCall{})
	copy(l.queue[pos+1:], l.queue[pos:])
	l.queue[pos] = item
}

// dispatchQueued admits calls from the front of the queue while slots are free.
func (l *Limiter) dispatchQueued(now time.Duration) []Action {
	var actions []Action
	for len(l.queue) > 0 {
		item := l.queue[0]
		if len(l.active) >= l.limit {
			l.learner.window.limitReached = true
			break
		}
		l.queue = l.queue[1:]
		actions = append(actions, l.admit(now, item))
	}
	return actions
}

func (l *Limiter) admit(now time.Duration, item queuedCall) Action {
	l.active[item.call.ID] = &activeCall{call: item.call, startedAt: now, concurrency: len(l.active) + 1}
	return l.newAction(Admit, item.call.ID, outcome.ReasonNone, now-item.enqueuedAt)
}

// chainHoldsSlot reports whether the limit is reached and an ancestor of the call
// in the same chain holds a slot. The ancestor keeps its slot until the call ends,
// so queueing the call could deadlock; it is admitted above the limit instead, up
// to MaxLimit.
func (l *Limiter) chainHoldsSlot(call Call) bool {
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

// dropExpired refuses queued calls whose deadline or longest queue time has passed.
func (l *Limiter) dropExpired(now time.Duration) []Action {
	var actions []Action
	kept := l.queue[:0]
	for _, item := range l.queue {
		switch {
		case now >= item.call.Deadline:
			actions = append(actions, l.refuse(now, item, outcome.ReasonDeadlineExpired))
		case now-item.enqueuedAt > l.maxWait():
			actions = append(actions, l.refuse(now, item, outcome.ReasonQueueTimeout))
		default:
			kept = append(kept, item)
		}
	}
	l.queue = kept
	return actions
}

// preempt cancels a less important active call once the first queued call has
// waited for PreemptAfter.
func (l *Limiter) preempt(now time.Duration) []Action {
	if l.config.PreemptAfter == 0 || len(l.queue) == 0 {
		return nil
	}
	first := l.queue[0]
	if now-first.enqueuedAt < l.config.PreemptAfter {
		return nil
	}
	var victim *activeCall
	for _, candidate := range l.active {
		if candidate.preempted {
			return nil // one at a time: its slot is being released
		}
		if candidate.call.Preemptible && candidate.call.Level > first.call.Level && preferVictim(candidate, victim) {
			victim = candidate
		}
	}
	if victim == nil {
		return nil
	}
	victim.preempted = true
	return []Action{l.newAction(Preempt, victim.call.ID, outcome.ReasonPreempted, now-victim.startedAt)}
}

// preferVictim reports whether candidate is a better call to preempt than victim:
// the less important one, then the one that started last.
func preferVictim(candidate, victim *activeCall) bool {
	if victim == nil || candidate.call.Level != victim.call.Level {
		return victim == nil || candidate.call.Level > victim.call.Level
	}
	if candidate.startedAt != victim.startedAt {
		return candidate.startedAt > victim.startedAt
	}
	return candidate.call.ID > victim.call.ID
}

func (l *Limiter) refuse(now time.Duration, item queuedCall, reason outcome.Reason) Action {
	return l.newAction(Refuse, item.call.ID, reason, now-item.enqueuedAt)
}

func (l *Limiter) newAction(kind ActionKind, id uint64, reason outcome.Reason, wait time.Duration) Action {
	return Action{Kind: kind, ID: id, Reason: reason, Wait: wait, Limit: l.limit, Active: len(l.active), Queued: len(l.queue)}
}
