package limiter

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func call(id uint64, level int) Call {
	return Call{ID: id, Level: level, Class: "c", Deadline: time.Hour, Preemptible: true}
}

func smallConfig() Config {
	config := DefaultConfig()
	config.InitialLimit, config.MinLimit, config.QueueFactor = 2, 2, 1
	return config
}

func TestQueueIsOrderedByLevel(t *testing.T) {
	g := NewWithT(t)
	limiter := New(smallConfig())
	limiter.Arrive(0, call(1, 0))
	limiter.Arrive(0, call(2, 0))
	limiter.Arrive(0, call(3, 3))
	limiter.Arrive(0, call(4, 1))
	actions := limiter.Arrive(0, call(5, 2)) // full: the least important call is refused
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].ID).To(Equal(uint64(3)))
	g.Expect(actions[0].Reason).To(Equal(outcome.ReasonQueueFull))
	g.Expect(limiter.Finish(1, 1, 1, true, false)[0].ID).To(Equal(uint64(4)))
	g.Expect(limiter.Finish(1, 2, 1, true, false)[0].ID).To(Equal(uint64(5)))
}

// Guards against a chain that calls back into a target and then waits for a slot
// that its own ancestor holds, until it is refused with queue_timeout.
func TestChainDoesNotWaitForItself(t *testing.T) {
	chainCall := func(id uint64, chain string, depth int) Call {
		c := call(id, 0)
		c.Chain, c.Depth = chain, depth
		return c
	}
	for _, tc := range []struct {
		name     string
		active   []Call // fills the limit of 2
		arriving Call
		admit    bool
	}{
		{"descendant of both active calls", []Call{chainCall(1, "r", 0), chainCall(2, "r", 2)}, chainCall(3, "r", 4), true},
		{"descendant of one active call", []Call{chainCall(1, "r", 0), chainCall(2, "other", 0)}, chainCall(3, "r", 2), true},
		{"different chain", []Call{chainCall(1, "r", 0), chainCall(2, "r", 2)}, chainCall(3, "other", 4), false},
		{"same depth in the chain", []Call{chainCall(1, "r", 2), chainCall(2, "r", 2)}, chainCall(3, "r", 2), false},
		{"unknown chain", []Call{chainCall(1, "", 0), chainCall(2, "", 1)}, chainCall(3, "", 2), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			limiter := New(smallConfig())
			for _, c := range tc.active {
				g.Expect(limiter.Arrive(0, c)).To(HaveLen(1))
			}
			actions := limiter.Arrive(0, tc.arriving)
			if !tc.admit {
				g.Expect(actions).To(BeEmpty())
				g.Expect(limiter.Queued()).To(Equal(1))
				return
			}
			g.Expect(actions).To(HaveLen(1))
			g.Expect(actions[0].Kind).To(Equal(Admit))
		})
	}
}

func TestChainDoesNotExceedMaxLimit(t *testing.T) {
	g := NewWithT(t)
	config := smallConfig()
	config.MaxLimit = 2
	limiter := New(config)
	for depth := range 3 {
		c := call(uint64(depth+1), 0)
		c.Chain, c.Depth = "r", depth
		limiter.Arrive(0, c)
	}
	g.Expect(limiter.Active()).To(Equal(2))
}

func TestExpiredCallsTakeNoSlot(t *testing.T) {
	g := NewWithT(t)
	limiter := New(smallConfig())
	limiter.Arrive(0, call(1, 0))
	limiter.Arrive(0, call(2, 0))
	late := call(3, 0)
	late.Deadline = 10 * time.Millisecond
	limiter.Arrive(0, late)
	actions := limiter.Finish(20*time.Millisecond, 1, time.Millisecond, true, false)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(Refuse))
	g.Expect(actions[0].Reason).To(Equal(outcome.ReasonDeadlineExpired))
	g.Expect(New(smallConfig()).Arrive(time.Minute, Call{ID: 1, Deadline: time.Second})[0].Reason).To(Equal(outcome.ReasonDeadlineExpired))
}

func TestRunningBulkGivesWayToWaitingImportantWork(t *testing.T) {
	g := NewWithT(t)
	limiter := New(smallConfig())
	limiter.Arrive(0, call(1, 3))
	kept := call(2, 3)
	kept.Preemptible = false
	limiter.Arrive(0, kept)
	limiter.Arrive(0, call(3, 0))
	g.Expect(limiter.Tick(time.Millisecond)).To(BeEmpty())
	actions := limiter.Tick(60 * time.Millisecond)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(Preempt))
	g.Expect(actions[0].ID).To(Equal(uint64(1)))
	g.Expect(limiter.Tick(70 * time.Millisecond)).To(BeEmpty()) // one at a time
}

func TestDrainRefusesQueuedAndKeepsActiveCalls(t *testing.T) {
	g := NewWithT(t)
	limiter := New(smallConfig())
	limiter.Arrive(0, call(1, 0))
	limiter.Arrive(0, call(2, 0))
	limiter.Arrive(0, call(3, 0))
	actions := limiter.Drain(0)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Reason).To(Equal(outcome.ReasonDraining))
	g.Expect(limiter.Active()).To(Equal(2))
	g.Expect(limiter.Arrive(0, call(4, 0))[0].Reason).To(Equal(outcome.ReasonDraining))
}

// simulatedTarget is a target with a number of slots and an internal FIFO queue.
type simulatedTarget struct {
	slots   int
	service time.Duration
}

// saturate runs the target with a limiter whose queue is never empty.
func (t simulatedTarget) saturate(limiter *Limiter, from, duration time.Duration) {
	type running struct {
		id      uint64
		started time.Duration
		ends    time.Duration
	}
	var active []running
	free := make([]time.Duration, t.slots)
	next := uint64(from)*1000 + 1
	start := func(now time.Duration, actions []Action) {
		for _, action := range actions {
			if action.Kind != Admit {
				continue
			}
			earliest := 0
			for slot := range free {
				if free[slot] < free[earliest] {
					earliest = slot
				}
			}
			free[earliest] = max(free[earliest], now) + t.service
			active = append(active, running{action.ID, now, free[earliest]})
		}
	}
	for now := from; now < from+duration; now += time.Millisecond {
		for limiter.Queued() < 2 {
			next++
			start(now, limiter.Arrive(now, Call{ID: next, Class: "c", Deadline: now + time.Minute}))
		}
		var remaining []running
		for _, r := range active {
			if r.ends > now {
				remaining = append(remaining, r)
			}
		}
		ended := append([]running(nil), active...)
		active = remaining
		for _, r := range ended {
			if r.ends <= now {
				start(now, limiter.Finish(now, r.id, r.ends-r.started, true, false))
			}
		}
	}
	for _, r := range active {
		limiter.Finish(from+duration, r.id, 0, false, false)
	}
}

func TestLimitConvergesToTargetSlots(t *testing.T) {
	for _, slots := range []int{6, 10, 23} {
		g := NewWithT(t)
		limiter := New(DefaultConfig())
		simulatedTarget{slots: slots, service: 10 * time.Millisecond}.saturate(limiter, 0, 30*time.Second)
		g.Expect(limiter.Limit()).To(BeNumerically(">=", slots))
		g.Expect(limiter.Limit()).To(BeNumerically("<=", 2*slots))
	}
}

func TestSlowerTargetKeepsLimit(t *testing.T) {
	g := NewWithT(t)
	limiter := New(DefaultConfig())
	simulatedTarget{slots: 10, service: 10 * time.Millisecond}.saturate(limiter, 0, 20*time.Second)
	simulatedTarget{slots: 10, service: 40 * time.Millisecond}.saturate(limiter, 20*time.Second, 20*time.Second)
	g.Expect(limiter.Limit()).To(BeNumerically(">=", 10))
	g.Expect(limiter.Limit()).To(BeNumerically("<=", 25))
}

// Guards against a limit that falls to the minimum when a target becomes slower
// while calls are also queued inside it.
func TestSlowdownWhileQueueingKeepsLimit(t *testing.T) {
	g := NewWithT(t)
	limiter := New(DefaultConfig())
	simulatedTarget{slots: 13, service: 4 * time.Millisecond}.saturate(limiter, 0, 20*time.Second)
	limiter.limit = 32 // as after a period of low load that never reached the limit
	limiter.learner.trial = &decreaseTrial{inflation: 9.8, concurrency: 32, limit: 32}
	simulatedTarget{slots: 13, service: 16 * time.Millisecond}.saturate(limiter, 20*time.Second, 1500*time.Millisecond)
	g.Expect(limiter.Limit()).To(BeNumerically(">=", 12))
}

// Guards against a fixed queue timeout that refuses most calls to a slow target.
func TestMaxWaitScalesWithServiceTime(t *testing.T) {
	g := NewWithT(t)
	limiter := New(DefaultConfig())
	g.Expect(limiter.maxWait()).To(Equal(DefaultConfig().MaxWait))
	simulatedTarget{slots: 8, service: 240 * time.Millisecond}.saturate(limiter, 0, 20*time.Second)
	g.Expect(limiter.MeanServiceTime()).To(BeNumerically(">=", 200*time.Millisecond))
	g.Expect(limiter.maxWait()).To(BeNumerically(">=", 600*time.Millisecond))
}

// Checks for random arrivals and completions that no call is refused for a full
// queue while a less important call is queued, and that none is admitted while a
// more important call is queued.
func TestNoLessImportantWorkIsAheadOfARefusedCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := New(smallConfig())
		levels := map[uint64]int{}
		waiting := map[uint64]bool{}
		var running []uint64
		now := time.Duration(0)
		checkOrder := func(actions []Action) {
			for _, action := range actions {
				delete(waiting, action.ID)
				for other := range waiting {
					if action.Kind == Admit && levels[other] < levels[action.ID] {
						t.Fatalf("admitted level %d while level %d waits", levels[action.ID], levels[other])
					}
					if action.Reason == outcome.ReasonQueueFull && levels[other] > levels[action.ID] {
						t.Fatalf("refused level %d while level %d waits", levels[action.ID], levels[other])
					}
				}
				if action.Kind == Admit {
					running = append(running, action.ID)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				ended := running[0]
				running = running[1:]
				checkOrder(limiter.Finish(now, ended, time.Millisecond, true, false))
				continue
			}
			levels[id] = rapid.IntRange(0, 3).Draw(t, "level")
			waiting[id] = true
			checkOrder(limiter.Arrive(now, Call{ID: id, Level: levels[id], Class: "c", Deadline: now + time.Second}))
		}
	})
}
