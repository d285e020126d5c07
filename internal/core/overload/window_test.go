package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/events"
	. "github.com/onsi/gomega"
)

func TestWindowBeforeSamples(t *testing.T) {
	for _, tc := range []struct {
		name     string
		ends     int // completed requests
		waited   time.Duration
		after    time.Duration // time since the first request
		inFlight int
		refused  bool
	}{
		{"no sample, below the initial limit", 0, 0, 0, 7, false},
		{"no sample, initial limit reached", 0, 0, 0, 8, true},
		{"completed without queueing", 8, 0, 0, 11, false},
		{"no queueing until enforcement expires", 8, 0, 2 * time.Second, 100, false},
		{"first sample exceeds the budget", 1, 300 * time.Millisecond, 0, 8, true},
		{"all samples exceed the budget", 8, 300 * time.Millisecond, 0, 7, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			w := NewWindow(DefaultWindow(), 0)
			for range tc.inFlight + tc.ends {
				w.Begin(0)
			}
			for range tc.ends {
				w.End(0, Sample{Latency: 200*time.Millisecond + tc.waited, QueueWait: tc.waited, WaitBudget: 100 * time.Millisecond})
			}
			g.Expect(w.AdmitProbability(tc.after) == 0).To(Equal(tc.refused))
		})
	}
}

func TestDiscardLeavesTheLimitUnchanged(t *testing.T) {
	g := NewWithT(t)
	w := NewWindow(DefaultWindow(), 0)
	w.Begin(0)
	before := w.Limit()
	w.Discard()
	g.Expect(w.Limit()).To(Equal(before))
	g.Expect(w.InFlight()).To(BeZero())
}

// simulation models chains of sequential calls to one service with a fixed number of slots and
// a FIFO queue. The chains start at several independent nodes.
type simulation struct {
	nodes, slots, calls int
	serviceTime, pause  time.Duration // of a call; between two calls
	limit               time.Duration
	arrivalRate         func(now time.Duration) float64 // chains per second

	random  *rand.Rand
	queue   events.Queue
	free    int
	waiting []func(now time.Duration)
	// Counts by second.
	served, refused, late []int
}

func (s *simulation) after(now, delay time.Duration, do func(time.Duration)) {
	s.queue.At(now+delay, do)
}

func (s *simulation) call(now time.Duration, done func(now, waited time.Duration)) {
	run := func(at time.Duration) {
		s.after(at, time.Duration(float64(s.serviceTime)*(0.5+s.random.Float64())), func(end time.Duration) {
			s.free++
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				s.free--
				next(end)
			}
			done(end, at-now)
		})
	}
	if s.free > 0 {
		s.free--
		run(now)
		return
	}
	s.waiting = append(s.waiting, run)
}

func (s *simulation) run(length time.Duration) {
	s.random = rand.New(rand.NewPCG(1, 2)) // fixed seed
	s.free = s.slots
	seconds := int(length / time.Second)
	s.served, s.refused, s.late = make([]int, seconds), make([]int, seconds), make([]int, seconds)
	for range s.nodes {
		c := New(DefaultConfig())
		var begin func(now time.Duration)
		begin = func(now time.Duration) {
			s.after(now, time.Duration(s.random.ExpFloat64()/s.arrivalRate(now)*float64(s.nodes)*float64(time.Second)), begin)
			second := int(now / time.Second)
			if share, _ := c.AdmitProbability(now, "list"); share < 1 && s.random.Float64() >= share {
				s.refused[second]++
				return
			}
			c.Begin(now, "list")
			s.chain(now, now, s.calls, 0, func(end, waited time.Duration) {
				needs := []Need{{Service: "deep", Calls: s.calls, Wait: waited / time.Duration(s.calls)}}
				c.End(end, "list", Completion{Needs: needs, LatencyBudget: s.limit, Latency: end - now})
				if second := int(end / time.Second); second < seconds {
					s.served[second]++
					if end-now > s.limit {
						s.late[second]++
					}
				}
			})
		}
		s.after(0, time.Duration(s.random.Int64N(int64(100*time.Millisecond))), begin)
	}
	s.queue.Run(length)
}

func (s *simulation) chain(started, now time.Duration, left int, waited time.Duration, done func(end, waited time.Duration)) {
	if left == 0 {
		done(now, waited)
		return
	}
	s.call(now, func(end, more time.Duration) {
		s.after(end, s.pause, func(next time.Duration) { s.chain(started, next, left-1, waited+more, done) })
	})
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// Simulates an arrival rate of 1.5 times the capacity for ten seconds. Admission must keep
// throughput near capacity with few late requests, and stop refusing when the load drops. An
// oscillating controller fails here.
func TestShortageSettles(t *testing.T) {
	for _, tc := range []struct {
		name  string
		nodes int
	}{{"few nodes", 5}, {"fifteen nodes", 15}, {"many nodes", 60}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			const capacity = 250 // chains per second: 20 slots, 20 ms a call, four calls
			s := &simulation{
				nodes: tc.nodes, slots: 20, calls: 4, serviceTime: 20 * time.Millisecond, pause: 20 * time.Millisecond, limit: 1200 * time.Millisecond,
				arrivalRate: func(now time.Duration) float64 {
					if now > 2*time.Second && now < 12*time.Second {
						return 1.5 * capacity
					}
					return 0.6 * capacity
				},
			}
			s.run(16 * time.Second)
			t.Logf("served %v refused %v late %v", s.served, s.refused, s.late)
			g.Expect(sum(s.refused[:2])).To(BeNumerically("<=", 2), "refused before the overload")
			g.Expect(sum(s.served[4:12])).To(BeNumerically(">=", 0.93*capacity*8), "served during the overload")
			g.Expect(sum(s.late[4:12])).To(BeNumerically("<=", 0.02*capacity*8), "late during the overload")
			g.Expect(sum(s.refused[14:])).To(BeNumerically("<=", 2), "refused after the overload")
		})
	}
}
