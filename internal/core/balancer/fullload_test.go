package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/testbed/events"
	. "github.com/onsi/gomega"
)

// Parameters of the simulation, those of service "results" in docs/design/shared-capacity.md.
const (
	simTargets = 18
	simSenders = 84
	simSlots   = 50
	simWork    = 55 * time.Millisecond
	simDelay   = time.Millisecond // one way
	simTimeout = 700 * time.Millisecond
)

var simSpeeds = []float64{0.6, 1, 1.4} // multipliers of the service time

// simTarget is a target with its gate.
type simTarget struct {
	gate    *slots.Gate
	speed   float64
	slow    float64 // multiplier of the service time at this moment
	waiting map[uint64]func(now time.Duration, decision slots.Decision)
}

// simulation plays senders with a balancer each and targets behind gates.
type simulation struct {
	// Separate sources, so that arrivals and draws of the speed are the same whatever senders choose.
	random, arrivals, draws *rand.Rand
	events                  events.Queue
	targets                 map[string]*simTarget
	order                   []*simTarget
	senders                 []*Balancer
	statePace               bool          // targets state their pace
	redraw                  time.Duration // interval at which slow is drawn; 0: never
	from                    time.Duration // results count from here on

	served, refused int
	inTime          int // served within simObjective
	byTarget        map[*simTarget][]time.Duration
	total           time.Duration
}

// simObjective is the time within which a response is useful.
const simObjective = 120 * time.Millisecond

func newSimulation(seed uint64, noPace bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), draws: rand.New(rand.NewPCG(seed, 3)), targets: map[string]*simTarget{}, byTarget: map[*simTarget][]time.Duration{}}
	list := make([]Target, simTargets)
	for i := range list {
		name := string(rune('a' + i))
		list[i] = Target{Node: name, Zone: "z", Instance: name, Slots: simSlots}
		target := &simTarget{gate: slots.New(simSlots), speed: simSpeeds[i%len(simSpeeds)], slow: 1, waiting: map[uint64]func(time.Duration, slots.Decision){}}
		s.targets[name], s.order = target, append(s.order, target)
	}
	for range simSenders {
		config := DefaultConfig()
		config.NoPace = noPace
		b := New(config, "sender", "z", s.random)
		b.Update(list)
		s.senders = append(s.senders, b)
	}
	return s
}

func (s *simulation) after(now, delay time.Duration, run func(now time.Duration)) {
	s.events.At(now+delay, run)
}

// play sends requests at load times the capacity of the targets at their usual pace.
func (s *simulation) play(load float64, until time.Duration) {
	capacity := 0.0 // requests per second
	for _, target := range s.order {
		capacity += simSlots / (simWork.Seconds() * target.speed)
	}
	var arrive func(now time.Duration)
	id := uint64(0)
	arrive = func(now time.Duration) {
		id++
		s.send(now, id)
		s.after(now, time.Duration(s.arrivals.ExpFloat64()/(capacity*load)*float64(time.Second)), arrive)
	}
	s.after(0, 0, arrive)
	if s.redraw > 0 {
		for _, target := range s.order {
			var draw func(now time.Duration)
			draw = func(now time.Duration) {
				target.slow = 1
				if s.draws.Float64() < 0.15 {
					target.slow = 2.5
				}
				s.after(now, s.redraw, draw)
			}
			s.after(0, time.Duration(s.draws.Float64()*float64(s.redraw)), draw)
		}
	}
	s.events.Run(until)
}

func (s *simulation) send(now time.Duration, id uint64) {
	b, class := s.senders[id%simSenders], "c"
	endpoint := b.Pick(now, Requirement{Class: class, Timeout: simTimeout}, nil, true)
	target := s.targets[endpoint.Node]
	b.Sent(now, endpoint)
	sentAt := now
	reply := func(now, waited time.Duration, runPace float64, served bool) {
		load := target.gate.Load(now)
		s.after(now, simDelay, func(now time.Duration) {
			b.Done(endpoint)
			b.Report(now, endpoint, load)
			if served {
				b.Answered(now, endpoint, class, 500, b.AtUsualPace(class, now-sentAt-waited, runPace, 1))
			}
			if sentAt < s.from {
				return
			}
			if !served {
				s.refused++
				return
			}
			s.served++
			s.total += now - sentAt
			if now-sentAt <= simObjective {
				s.inTime++
			}
			s.byTarget[target] = append(s.byTarget[target], now-sentAt)
		})
	}
	s.after(now, simDelay, func(now time.Duration) {
		target.waiting[id] = func(now time.Duration, decision slots.Decision) {
			if !decision.Send {
				reply(now, decision.Waited, 0, false)
				return
			}
			begin := target.gate.Pace(now)
			span := time.Duration(float64(simWork) * target.speed * target.slow * (0.7 + 0.6*s.random.Float64()))
			s.after(now, span, func(now time.Duration) {
				if s.statePace {
					target.gate.ObservePace(now, target.slow)
				}
				runPace := target.gate.Pace(now)
				if begin > 0 && runPace > 0 {
					runPace = pace.During(begin, runPace)
				}
				s.apply(now, target, target.gate.Finish(now, id, true))
				reply(now, decision.Waited, runPace, true)
			})
		}
		s.apply(now, target, target.gate.Submit(now, slots.Request{ID: id, Deadline: sentAt + simTimeout, Class: class}))
	})
}

func (s *simulation) apply(now time.Duration, target *simTarget, decisions []slots.Decision) {
	for _, decision := range decisions {
		run := target.waiting[decision.ID]
		delete(target.waiting, decision.ID)
		run(now, decision)
	}
}

// meanBySpeed returns the mean time from sending to the response by the speed of the target.
func (s *simulation) meanBySpeed() map[float64]time.Duration {
	sums, counts := map[float64]time.Duration{}, map[float64]int{}
	for target, times := range s.byTarget {
		for _, span := range times {
			sums[target.speed] += span
			counts[target.speed]++
		}
	}
	for speed := range sums {
		sums[speed] /= time.Duration(counts[speed])
	}
	return sums
}

// inTimeShare returns the share of the requests that were served within simObjective.
func (s *simulation) inTimeShare() float64 {
	return float64(s.inTime) / float64(max(s.served+s.refused, 1))
}

func (s *simulation) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: served %.3f, in time %.3f, mean %v, by speed %v", name, float64(s.served)/float64(max(s.served+s.refused, 1)), s.inTimeShare(), s.total/time.Duration(max(s.served, 1)), s.meanBySpeed())
}

// logWithout plays the same with senders that do not use the pace.
func (s *simulation) logWithout(t *testing.T, load float64, redraw time.Duration) *simulation {
	t.Helper()
	without := runSimulation(load, redraw, true)
	without.log(t, "without pace")
	return without
}

// runSimulation plays targets that state their pace, with senders that use it or not.
func runSimulation(load float64, redraw time.Duration, noPace bool) *simulation {
	s := newSimulation(1, noPace)
	s.statePace, s.redraw, s.from = true, redraw, time.Second
	s.play(load, 3*time.Second)
	return s
}

// At full load, targets of any speed must finish their work about equally late: a slow target that
// queues as many requests as a fast one answers all of them later.
func TestTargetsOfAnySpeedFinishEquallyLateAtFullLoad(t *testing.T) {
	for _, load := range []float64{1, 1.5} {
		g := NewWithT(t)
		s := runSimulation(load, 0, false)
		s.log(t, fmt.Sprintf("load %.1f", load))
		s.logWithout(t, load, 0)
		means := s.meanBySpeed()
		fast, slow := means[simSpeeds[0]], means[simSpeeds[len(simSpeeds)-1]]
		g.Expect(float64(slow) / float64(fast)).To(BeNumerically("~", 1, 0.2))
		g.Expect(float64(means[1]) / float64(fast)).To(BeNumerically("~", 1, 0.2))
	}
}

// Requests must avoid targets that are slow at this moment, also if that changes ten times a second.
func TestPaceServesMoreRequestsInTime(t *testing.T) {
	for _, redraw := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(redraw.String(), func(t *testing.T) {
			g := NewWithT(t)
			with := runSimulation(0.7, redraw, false)
			with.log(t, "with")
			without := with.logWithout(t, 0.7, redraw)
			g.Expect(with.inTimeShare()).To(BeNumerically(">=", 0.93))
			g.Expect(with.inTimeShare()).To(BeNumerically(">", without.inTimeShare()+0.1))
		})
	}
}
