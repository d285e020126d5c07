package overload

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWindowAtAStart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ends   int // requests that have ended
		waited time.Duration
		after  time.Duration // the first request
		flight int
		full   bool
	}{
		{"nothing is known, few", 0, 0, 0, 7, false},
		{"nothing is known, many", 0, 0, 0, 8, true},
		{"some did not wait", 8, 0, 0, 11, false},
		{"none has waited for some time", 8, 0, 2 * time.Second, 100, false},
		{"the first waited", 1, 300 * time.Millisecond, 0, 8, true},
		{"they wait on", 8, 300 * time.Millisecond, 0, 7, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			w := NewWindow(DefaultWindow(), 0)
			for range tc.flight + tc.ends {
				w.Begin(0)
			}
			for range tc.ends {
				w.End(0, Trip{Took: 200*time.Millisecond + tc.waited, Waited: tc.waited, Bearable: 100 * time.Millisecond})
			}
			g.Expect(w.Share(tc.after) == 0).To(Equal(tc.full))
		})
	}
}

func TestRequestOfAClientThatLeftChangesNothing(t *testing.T) {
	g := NewWithT(t)
	w := NewWindow(DefaultWindow(), 0)
	w.Begin(0)
	before := w.Limit()
	w.Leave()
	g.Expect(w.Limit()).To(Equal(before))
	g.Expect(w.InFlight()).To(BeZero())
}

// event is something that happens in the model of a shortage.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// shortage is a model of chains of calls in a row to one service with some slots, first
// come first served, begun at several nodes that know nothing of each other.
type shortage struct {
	nodes, slots, calls int
	takes, between      time.Duration // of a call; between two calls of a chain
	limit               time.Duration
	perSecond           func(now time.Duration) float64 // chains that clients begin

	random  *rand.Rand
	queue   events
	free    int
	waiting []func(now time.Duration)
	// Results by second.
	served, refused, late []int
}

func (s *shortage) after(now, span time.Duration, do func(time.Duration)) {
	heap.Push(&s.queue, event{at: now + span, do: do})
}

func (s *shortage) call(now time.Duration, done func(now, waited time.Duration)) {
	run := func(at time.Duration) {
		s.after(at, time.Duration(float64(s.takes)*(0.5+s.random.Float64())), func(end time.Duration) {
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

func (s *shortage) play(length time.Duration) {
	s.random = rand.New(rand.NewPCG(1, 2)) // the same day each time
	s.free = s.slots
	seconds := int(length / time.Second)
	s.served, s.refused, s.late = make([]int, seconds), make([]int, seconds), make([]int, seconds)
	for range s.nodes {
		c := New(DefaultConfig())
		var begin func(now time.Duration)
		begin = func(now time.Duration) {
			s.after(now, time.Duration(s.random.ExpFloat64()/s.perSecond(now)*float64(s.nodes)*float64(time.Second)), begin)
			second := int(now / time.Second)
			if share, _ := c.Share(now, "list"); share < 1 && s.random.Float64() >= share {
				s.refused[second]++
				return
			}
			c.Begin(now, "list")
			s.chain(now, now, s.calls, 0, func(end, waited time.Duration) {
				needs := []Need{{Service: "deep", Calls: s.calls, Wait: waited / time.Duration(s.calls)}}
				c.End(end, "list", Ended{Needs: needs, Limit: s.limit, Took: end - now})
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
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at >= length {
			return
		}
		next.do(next.at)
	}
}

func (s *shortage) chain(began, now time.Duration, left int, waited time.Duration, done func(end, waited time.Duration)) {
	if left == 0 {
		done(now, waited)
		return
	}
	s.call(now, func(end, more time.Duration) {
		s.after(end, s.between, func(next time.Duration) { s.chain(began, next, left-1, waited+more, done) })
	})
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// Chains of four calls, of which two thirds fit: what fits is served and comes in time;
// what does not is refused; when the shortage ends nothing more is. A share that
// followed the waits swung between all and nothing here: they are told when a chain
// ends, and by then the queue is another one.
func TestShortageSettles(t *testing.T) {
	for _, tc := range []struct {
		name  string
		nodes int
	}{{"few nodes", 5}, {"fifteen nodes", 15}, {"many nodes", 60}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			const fits = 250 // chains a second: 20 slots, 20 ms a call, four calls
			s := &shortage{
				nodes: tc.nodes, slots: 20, calls: 4, takes: 20 * time.Millisecond, between: 20 * time.Millisecond, limit: 1200 * time.Millisecond,
				perSecond: func(now time.Duration) float64 {
					if now > 2*time.Second && now < 12*time.Second {
						return 1.5 * fits
					}
					return 0.6 * fits
				},
			}
			s.play(16 * time.Second)
			t.Logf("served %v refused %v late %v", s.served, s.refused, s.late)
			g.Expect(sum(s.refused[:2])).To(BeNumerically("<=", 2), "before")
			g.Expect(sum(s.served[4:12])).To(BeNumerically(">=", 0.93*fits*8), "what fits is served")
			g.Expect(sum(s.late[4:12])).To(BeNumerically("<=", 0.02*fits*8), "and comes in time")
			g.Expect(sum(s.refused[14:])).To(BeNumerically("<=", 2), "after")
		})
	}
}
