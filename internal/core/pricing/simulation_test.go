package pricing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/core/fairshare"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/testbed/events"
)

// kind is a route of the simulation: a request works elsewhere for lead, makes branches parallel
// sequences of calls to the scarce service, and its result is known to the node tail after the last.
type kind struct {
	name            string
	rank            int
	importance      int     // at the gates: by rank, then by need
	perSecond       float64 // over all nodes, at a load of 1
	branches, calls int
	work            time.Duration // mean, of one call at a target of speed 1
	lead, tail      time.Duration
	timeout         time.Duration // of one call
}

// simulation plays nodes that admit by price and call one scarce service, whose targets have real
// gates.
type simulation struct {
	kinds     []kind
	nodes     int
	targets   int
	slots     int
	speeds    []float64
	load      func(now time.Duration) float64 // factor on the rates
	lostShare float64                         // share of the results that bring no report
	cut       func(node int, now time.Duration) bool
	noPrices  bool // admits everything
	seed      uint64
	tenants   *tenantLoad // nil: requests have no tenant

	random *rand.Rand
	queue  events.Queue
	gates  []*simulatedGate
	ids    uint64
	// Counts by kind and second of arrival.
	arrived, admitted, served [][]int
	busy                      []float64 // mean share of the slots in use, by second
}

type simulatedGate struct {
	gate    *slots.Gate
	speed   float64
	running int
	waiting map[uint64]func(now time.Duration, sent bool)
	meter   *fairshare.Meter // of the tenants

	restarted bool // whether the meter was replaced
}

func (s *simulation) after(now, delay time.Duration, do func(time.Duration)) {
	s.queue.At(now+delay, do)
}

func (g *simulatedGate) apply(now time.Duration, decisions []slots.Decision) {
	for _, decision := range decisions {
		if f := g.waiting[decision.ID]; f != nil {
			delete(g.waiting, decision.ID)
			f(now, decision.Send)
		}
	}
}

// pick returns the gate with the lowest occupancy of three, as a balancer with late reports would.
func (s *simulation) pick() *simulatedGate {
	var best *simulatedGate
	for range 3 {
		g := s.gates[s.random.IntN(len(s.gates))]
		if best == nil || float64(g.running+len(g.waiting))/g.speed < float64(best.running+len(best.waiting))/best.speed {
			best = g
		}
	}
	return best
}

// call makes one call; done gets its slot time, the reported load and whether it was served.
func (s *simulation) call(now time.Duration, k *kind, t *tenantRequest, done func(now, slotTime time.Duration, offered float64, served bool)) {
	g := s.pick()
	s.ids++
	id := s.ids
	t.record(now, g, k)
	g.waiting[id] = func(at time.Duration, sent bool) {
		if !sent {
			t.report(at, now, g, k)
			done(at, 0, g.gate.OfferedLoad(at), false)
			return
		}
		g.running++
		span := time.Duration(float64(k.work) * (0.5 + s.random.Float64()) / g.speed)
		s.after(at, span, func(end time.Duration) {
			g.running--
			offered := g.gate.OfferedLoad(end)
			t.report(end, now, g, k)
			g.apply(end, g.gate.Finish(end, id, true))
			done(end, span, offered, true)
		})
	}
	g.apply(now, g.gate.Submit(now, slots.Request{ID: id, Importance: k.importance, Deadline: now + k.timeout, Class: k.name}))
}

// sequence makes the calls of one branch.
func (s *simulation) sequence(now time.Duration, k *kind, t *tenantRequest, left int, total time.Duration, offered float64, done func(now, slotTime time.Duration, offered float64, served bool)) {
	s.call(now, k, t, func(end, slotTime time.Duration, load float64, served bool) {
		offered = math.Max(offered, 0) + (load-math.Max(offered, 0))/float64(k.calls-left+1)
		if !served || left == 1 {
			done(end, total+slotTime, offered, served)
			return
		}
		s.sequence(end, k, t, left-1, total+slotTime, offered, done)
	})
}

func (s *simulation) arrive(now time.Duration, node int, controller *Controller, index int) {
	k := &s.kinds[index]
	second := int(now / time.Second)
	s.arrived[index][second]++
	route := Route{Name: k.name, Rank: k.rank}
	t := s.tenants.request(s.random, second)
	if decision := controller.Admit(now, Request{Route: route, Tenant: t.name()}); !s.noPrices && s.random.Float64() >= decision.Probability {
		return
	}
	s.admitted[index][second]++
	s.after(now, k.lead, func(begin time.Duration) {
		pending, total, offered, ok := k.branches, time.Duration(0), 0.0, true
		for range k.branches {
			s.sequence(begin, k, t, k.calls, 0, 0, func(end, slotTime time.Duration, load float64, served bool) {
				pending--
				total += slotTime
				offered += load / float64(k.branches)
				ok = ok && served
				if pending > 0 {
					return
				}
				if ok {
					s.served[index][second]++
					t.served(second)
				}
				s.after(end, k.tail, func(known time.Duration) {
					if s.random.Float64() < s.lostShare || s.cut != nil && s.cut(node, known) {
						return
					}
					controller.Observe(known, route, []Usage{{Service: "scarce", SlotTime: total, Offered: offered}}, ok)
					t.observe(known, s, controller)
				})
			})
		}
	})
}

// run plays the load for a time.
func (s *simulation) run(length time.Duration) {
	s.random = rand.New(rand.NewPCG(7, 11+s.seed))
	seconds := int(length/time.Second) + 1
	s.busy = make([]float64, seconds)
	for _, counts := range []*[][]int{&s.arrived, &s.admitted, &s.served} {
		*counts = make([][]int, len(s.kinds))
		for index := range s.kinds {
			(*counts)[index] = make([]int, seconds)
		}
	}
	for index := range s.targets {
		s.gates = append(s.gates, &simulatedGate{gate: slots.New(s.slots), speed: s.speeds[index%len(s.speeds)], waiting: map[uint64]func(time.Duration, bool){}, meter: fairshare.NewMeter()})
	}
	for node := range s.nodes {
		controller := New(DefaultConfig())
		for index, k := range s.kinds {
			var next func(now time.Duration)
			next = func(now time.Duration) {
				if now > 0 {
					s.arrive(now, node, controller, index)
				}
				rate := k.perSecond / float64(s.nodes) * s.load(now) * s.tenants.rate()
				s.after(now, time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))+1, next)
			}
			next(0)
		}
	}
	s.tick(0)
	s.queue.Run(length)
}

// tick expires waiting requests and samples the slots in use.
func (s *simulation) tick(now time.Duration) {
	const interval = 10 * time.Millisecond
	used, all := 0, 0
	for _, g := range s.gates {
		g.apply(now, g.gate.Expire(now))
		used += g.running
		all += g.gate.Load(now).Slots
	}
	s.busy[int(now/time.Second)] += float64(used) / float64(all) * interval.Seconds()
	s.after(now, interval, s.tick)
}

// shares returns the shares of a kind's requests admitted and served, and of the admitted ones
// failed, that arrived in the seconds [from, to).
func (s *simulation) shares(index, from, to int) (admitted, served, failed float64) {
	arrived, let, done := 0, 0, 0
	for second := from; second < to; second++ {
		arrived += s.arrived[index][second]
		let += s.admitted[index][second]
		done += s.served[index][second]
	}
	return float64(let) / float64(max(arrived, 1)), float64(done) / float64(max(arrived, 1)), 1 - float64(done)/float64(max(let, 1))
}

// failedShare returns the share of the admitted chains that arrived in the seconds [from, to) and failed.
func (s *simulation) failedShare(from, to int) float64 {
	admitted, served := 0, 0
	for index := range s.kinds {
		for second := from; second < to; second++ {
			admitted += s.admitted[index][second]
			served += s.served[index][second]
		}
	}
	return 1 - float64(served)/float64(max(admitted, 1))
}
