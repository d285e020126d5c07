package gate

import (
	"strconv"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"pgregory.net/rapid"
)

// Checks for random arrivals, completions and ticks, with a moving cursor, that no
// call is refused for a full queue while a less important call is queued, and that
// none is admitted while a more important call is queued.
func TestQueueStaysOrderedWhileCursorMoves(t *testing.T) {
	const levels = 4
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig(levels)
		config.Limiter.InitialLimit, config.Limiter.MinLimit, config.Limiter.QueueFactor = 2, 2, 1
		gate := New(config)
		level := map[uint64]int{}
		waiting := map[uint64]bool{}
		var running []uint64
		now := time.Duration(0)
		checkOrder := func(actions []limiter.Action) {
			for _, action := range actions {
				if action.Kind == limiter.Preempt {
					continue
				}
				delete(waiting, action.ID)
				for other := range waiting {
					if action.Kind == limiter.Admit && level[other] < level[action.ID] {
						t.Fatalf("admitted level %d while level %d waits", level[action.ID], level[other])
					}
					if action.Reason == outcome.ReasonQueueFull && level[other] > level[action.ID] {
						t.Fatalf("refused level %d while level %d waits", level[action.ID], level[other])
					}
				}
				if action.Kind == limiter.Admit {
					running = append(running, action.ID)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step == 0:
				checkOrder(gate.Tick(now))
			case step < 3 && len(running) > 0:
				ended := running[0]
				running = running[1:]
				checkOrder(gate.Finish(now, ended, time.Millisecond, true, false))
			default:
				level[id] = rapid.IntRange(0, levels-1).Draw(t, "level")
				waiting[id] = true
				rank := admission.RankOf(level[id], strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "user")))
				checkOrder(gate.Arrive(now, limiter.Call{ID: id, Level: level[id], Class: "c", Deadline: now + time.Second, Preemptible: true}, rank))
			}
		}
	})
}
