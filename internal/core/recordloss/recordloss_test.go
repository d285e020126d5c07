package recordloss

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A live node that reaches the store restores its record within about two seconds of the store's
// return; a node whose record is still missing after that is gone.
func TestNodeWithMissingRecord(t *testing.T) {
	const tick = 100 * time.Millisecond
	for _, tc := range []struct {
		name        string
		storeDown   [2]time.Duration // interval in which the store is unavailable
		answer      func(now time.Duration) ProbeResult
		recordBack  time.Duration    // when the record is rewritten; 0: never
		goneBetween [2]time.Duration // interval in which the node must be reported gone; zero: never
	}{
		{"alive, record restored", [2]time.Duration{}, constantAnswer(StoreReachable), time.Second, [2]time.Duration{}},
		{"alive, reaches the store, record not restored", [2]time.Duration{}, constantAnswer(StoreReachable), 0, [2]time.Duration{2 * time.Second, 3 * time.Second}},
		{"alive, never reaches the store", [2]time.Duration{}, constantAnswer(StoreUnreachable), 0, [2]time.Duration{}},
		{"alive, reaches the store after a while", [2]time.Duration{}, func(now time.Duration) ProbeResult {
			if now < 5*time.Second {
				return StoreUnreachable
			}
			return StoreReachable
		}, 0, [2]time.Duration{6500 * time.Millisecond, 8 * time.Second}},
		{"dead", [2]time.Duration{}, constantAnswer(NoAnswer), 0, [2]time.Duration{time.Second, 2 * time.Second}},
		{"dead, store unavailable", [2]time.Duration{0, 6 * time.Second}, constantAnswer(NoAnswer), 0, [2]time.Duration{7 * time.Second, 8 * time.Second}},
		{"record restored after the store returns", [2]time.Duration{0, 6 * time.Second}, constantAnswer(StoreReachable), 7800 * time.Millisecond, [2]time.Duration{}},
		{"another node answers at the address", [2]time.Duration{}, constantAnswer(NoAnswer), 0, [2]time.Duration{time.Second, 2 * time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := New(DefaultConfig())
			tracker.RecordMissing(0, "n")
			goneAt := time.Duration(-1)
			for now := time.Duration(0); now < 12*time.Second; now += tick {
				tracker.SetStoreAvailable(now, now < tc.storeDown[0] || now >= tc.storeDown[1])
				if tc.recordBack > 0 && now >= tc.recordBack {
					tracker.RecordRestored("n")
				}
				ask, gone := tracker.Poll(now)
				if len(gone) > 0 && goneAt < 0 {
					goneAt = now
				}
				for range ask {
					tracker.HandleProbe(now, "n", tc.answer(now))
				}
			}
			if tc.goneBetween == [2]time.Duration{} {
				g.Expect(goneAt).To(BeNumerically("<", 0))
				return
			}
			g.Expect(goneAt).To(And(BeNumerically(">=", tc.goneBetween[0]), BeNumerically("<=", tc.goneBetween[1])))
		})
	}
}

func constantAnswer(answer ProbeResult) func(time.Duration) ProbeResult {
	return func(time.Duration) ProbeResult { return answer }
}
