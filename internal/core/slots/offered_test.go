package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// offer submits a request of 100 ms every interval for a second, as long as the gate accepts them, and
// returns the offered load at the end.
func offer(gate *Gate, interval time.Duration) float64 {
	type run struct {
		id  uint64
		end time.Duration
	}
	var running []run
	admit := func(now time.Duration, decisions []Decision) {
		for _, decision := range decisions {
			if decision.Send {
				running = append(running, run{decision.ID, now + 100*time.Millisecond})
			}
		}
	}
	id := uint64(0)
	for now := time.Duration(0); now < 2*time.Second; now += interval {
		for len(running) > 0 && running[0].end <= now {
			first := running[0]
			running = running[1:]
			admit(first.end, gate.Finish(first.end, first.id, true))
		}
		id++
		admit(now, gate.Submit(now, Request{ID: id, Deadline: now + 300*time.Millisecond, Class: "read"}))
	}
	return gate.OfferedLoad(2 * time.Second)
}

// The offered load must show how much more than its capacity a target is asked for, although its
// running requests never exceed its slots and refused requests leave no trace in the queue.
func TestOfferedLoad(t *testing.T) {
	for _, tc := range []struct {
		name     string
		interval time.Duration // between requests of 100 ms; the target has 19 usable slots
		from, to float64
	}{
		{"half of the capacity", 10500 * time.Microsecond, 0.45, 0.6},
		{"just the capacity", 5300 * time.Microsecond, 0.85, 0.95},
		{"twice the capacity, with a queue up to the deadline", 2650 * time.Microsecond, 1.1, 1.6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			load := offer(New(20), tc.interval)
			g.Expect(load).To(BeNumerically(">=", tc.from))
			g.Expect(load).To(BeNumerically("<=", tc.to))
		})
	}
}

func TestOfferedLoadFallsWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	g.Expect(offer(gate, 2650*time.Microsecond)).To(BeNumerically(">", 1.1))
	gate.Expire(4 * time.Second)
	g.Expect(gate.OfferedLoad(4 * time.Second)).To(BeNumerically("<", 0.01))
}

// A target that leaves answers its last requests while others get the new ones. It must not report that
// its service has room, or all nodes lower their prices during a restart of the targets.
func TestDrainingTargetReportsNoOfferedLoad(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	g.Expect(offer(gate, 2650*time.Microsecond)).To(BeNumerically(">", 1.1))
	gate.Drain(2 * time.Second)
	g.Expect(gate.Load(2200 * time.Millisecond).Running).To(BeNumerically(">", 0))
	g.Expect(gate.OfferedLoad(2200 * time.Millisecond)).To(BeZero())
}

// A target that states a rate has free slots while it is asked for more than it takes.
func TestOfferedLoadOfRateLimitedTarget(t *testing.T) {
	g := NewWithT(t)
	gate := New(200)
	gate.SetRateLimit(0, 10)
	for id := range uint64(60) {
		now := time.Duration(id) * 33 * time.Millisecond
		for _, decision := range gate.Submit(now, Request{ID: id, Deadline: now + time.Second}) {
			if decision.Send {
				gate.Finish(now+time.Millisecond, decision.ID, true)
			}
		}
	}
	g.Expect(gate.OfferedLoad(2 * time.Second)).To(BeNumerically("~", 3, 0.5))
}

// An idle target must report that it is idle: senders ignore a load of 0, and would keep their price.
func TestIdleTargetReportsOfferedLoad(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	gate.Submit(0, Request{ID: 1, Deadline: time.Second})
	g.Expect(gate.OfferedLoadBesides(0, "", 0)).To(BeNumerically(">", 0))
	g.Expect(gate.OfferedLoad(time.Hour)).To(BeNumerically(">", 0))
}

// A target with few requests reports its load only with the results of these. The report must be right
// on average, or callers are refused although there is room.
func TestReportedLoadOfFewRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		slots int
		rate  float64 // stated; 0: none
		work  time.Duration
	}{
		{"one request per second", 200, 1, 10 * time.Millisecond},
		{"few requests per second", 200, 3.6, 10 * time.Millisecond},
		{"one slot", 1, 0, 100 * time.Millisecond},
		{"one slot, long requests", 1, 0, 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const utilization = 0.5
			random := rand.New(rand.NewPCG(3, 5))
			gate, interval := New(tc.slots), tc.work.Seconds()/utilization
			if tc.rate > 0 {
				gate.SetRateLimit(0, tc.rate)
				interval = 1 / tc.rate / utilization
			}
			submitted, ends := map[uint64]time.Duration{}, map[uint64]time.Duration{}
			sum, reports := 0.0, 0
			report := func(now time.Duration, id uint64) {
				sum += gate.OfferedLoadBesides(now, "read", submitted[id])
				reports++
			}
			apply := func(now time.Duration, decisions []Decision) {
				for _, decision := range decisions {
					if decision.Send {
						ends[decision.ID] = now + tc.work
					} else {
						report(now, decision.ID)
					}
				}
			}
			next, id := time.Duration(0), uint64(0)
			for now := time.Duration(0); now < 10*time.Minute; now += time.Millisecond {
				for ended, end := range ends {
					if end <= now {
						delete(ends, ended)
						apply(now, gate.Finish(now, ended, true))
						report(now, ended)
					}
				}
				apply(now, gate.Expire(now))
				if now < next {
					continue
				}
				next += time.Duration(random.ExpFloat64() * interval * float64(time.Second))
				id++
				submitted[id] = now
				apply(now, gate.Submit(now, Request{ID: id, Deadline: now + 2*time.Second, Class: "read"}))
			}
			g := NewWithT(t)
			g.Expect(sum / float64(reports)).To(BeNumerically("~", utilization, 0.2))
		})
	}
}

// A burst that the queue absorbs must not look like an overload: with prices that rose at any arrival
// rate above the capacity, 4 in 100 requests were refused during bursts of a few seconds.
func TestShortQueueIsNoOverload(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	for id := range uint64(30) { // 19 run, 11 wait for about 60 ms
		gate.Submit(0, Request{ID: id, Deadline: time.Second, Class: "read"})
	}
	g.Expect(gate.OfferedLoad(0)).To(BeNumerically("<", 0.95))
}
