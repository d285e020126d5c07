package startqueue

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/pricing"
	"github.com/landingmast/landingmast/internal/testbed/events"
	. "github.com/onsi/gomega"
)

// kind is a route of the simulation.
type kind struct {
	name      string
	rank      int
	perSecond float64 // over all nodes, at a load of 1
	slotTime  time.Duration
	timeout   time.Duration
	maxWait   time.Duration
}

// simulation plays nodes that admit requests by the prices of one service. The load offered to the service
// is the slot time of the admitted requests; results report it after a second.
type simulation struct {
	kinds       []kind
	nodes       int
	capacity    float64 // slot seconds per second
	load        func(now time.Duration) float64
	returns     int           // times that the client of a refused request returns
	returnAfter time.Duration // 0: at once
	draws       bool          // admits by a random draw, without a queue

	seed    uint64
	random  *rand.Rand
	queue   events.Queue
	lastID  uint64
	demand  float64 // decayed slot seconds
	seenAt  time.Duration
	players []*player

	// By kind and interval of intervalLength: arrivals, sum of their probabilities, admitted requests.
	arrivals, probability, admitted [][]float64
	requests, finished              [2]int // of new and of returning requests: all, admitted
	longestWait                     []time.Duration
	waits                           []time.Duration // of all admitted requests
	mostWaiting                     int
}

// player is one node.
type player struct {
	prices  *pricing.Controller
	queue   *Queue
	pending map[uint64]attempt
}

// attempt is one attempt of a client.
type attempt struct {
	kind     int
	number   int // 0: the first one
	since    time.Duration
	deadline time.Duration
}

const (
	intervalLength = 2 * time.Second
	reportDelay    = time.Second
	offeredWindow  = 300 * time.Millisecond // as at the gates
)

// shortage is the load of 84 nodes on a service that two routes share.
func shortage(load func(time.Duration) float64) *simulation {
	return &simulation{
		nodes: 84, capacity: 650, load: load,
		kinds: []kind{
			{name: "book", rank: 1, perSecond: 340, slotTime: 220 * time.Millisecond, timeout: 1500 * time.Millisecond, maxWait: 188 * time.Millisecond},
			{name: "browse", rank: 1, perSecond: 1000, slotTime: 440 * time.Millisecond, timeout: 1200 * time.Millisecond, maxWait: 150 * time.Millisecond},
			{name: "view", perSecond: 147, slotTime: 880 * time.Millisecond, timeout: 5 * time.Second, maxWait: 625 * time.Millisecond},
		},
	}
}

// burst multiplies the load by 1.8 for 18 s.
func burst(now time.Duration) float64 {
	if now >= 4*time.Second && now < 22*time.Second {
		return 1.8
	}
	return 1
}

// crests swings by 55% with a period of 15 s.
func crests(now time.Duration) float64 { return 1.4 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15)) }

func (s *simulation) run(length time.Duration) {
	s.random = rand.New(rand.NewPCG(3, s.seed))
	intervals := int(length/intervalLength) + 1
	for _, counts := range []*[][]float64{&s.arrivals, &s.probability, &s.admitted} {
		*counts = make([][]float64, len(s.kinds))
		for index := range s.kinds {
			(*counts)[index] = make([]float64, intervals)
		}
	}
	s.longestWait = make([]time.Duration, len(s.kinds))
	for range s.nodes {
		p := &player{prices: pricing.New(pricing.DefaultConfig()), queue: New(), pending: map[uint64]attempt{}}
		s.players = append(s.players, p)
		for index := range s.kinds {
			s.arriveNext(0, p, index)
		}
	}
	s.queue.Run(length)
}

// arriveNext schedules the next new request of a kind at a node.
func (s *simulation) arriveNext(now time.Duration, p *player, index int) {
	rate := s.kinds[index].perSecond / float64(s.nodes) * s.load(now)
	s.queue.At(now+time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))+1, func(now time.Duration) {
		s.arrive(now, p, attempt{kind: index, deadline: now + 4*s.kinds[index].timeout})
		s.arriveNext(now, p, index)
	})
}

func (s *simulation) arrive(now time.Duration, p *player, a attempt) {
	k := &s.kinds[a.kind]
	a.since = now
	decision := p.prices.Admit(now, pricing.Request{Route: pricing.Route{Name: k.name, Rank: k.rank}, Deadline: a.deadline - now})
	interval := now / intervalLength
	s.arrivals[a.kind][interval]++
	s.probability[a.kind][interval] += decision.Probability
	if a.number < 2 {
		s.requests[a.number]++
	}
	s.lastID++
	id := s.lastID
	p.pending[id] = a
	switch {
	case s.draws || decision.Service == "":
		s.apply(now, p, p.queue.ArriveUnrestricted(now, k.name))
		s.apply(now, p, []Decision{{id, s.random.Float64() < decision.Probability}})
	default:
		s.apply(now, p, p.queue.Arrive(now, Request{
			ID: id, Route: k.name, Probability: decision.Probability, Returning: decision.Returning,
			Deadline: now + k.timeout, WaitUntil: now + k.maxWait, Draw: s.random.Float64(),
		}))
	}
	s.mostWaiting = max(s.mostWaiting, p.queue.Waiting())
	s.wake(p)
}

// wake schedules the next decision of a node, as the timer of a node does.
func (s *simulation) wake(p *player) {
	at, waiting := p.queue.NextDecision()
	if !waiting {
		return
	}
	s.queue.At(at, func(now time.Duration) {
		if next, waiting := p.queue.NextDecision(); waiting && next <= now {
			s.apply(now, p, p.queue.Expire(now))
			s.wake(p)
		}
	})
}

func (s *simulation) apply(now time.Duration, p *player, decisions []Decision) {
	ordered := slices.SortedFunc(slices.Values(decisions), func(a, b Decision) int { return cmp.Compare(a.ID, b.ID) })
	for _, decision := range ordered { // the order of routes is not that of a run before
		a := p.pending[decision.ID]
		delete(p.pending, decision.ID)
		s.longestWait[a.kind] = max(s.longestWait[a.kind], now-a.since)
		if decision.Admitted {
			s.admit(now, p, a)
			continue
		}
		if a.number < s.returns {
			a.number++
			back := s.players[s.random.IntN(len(s.players))]
			s.queue.At(now+s.returnAfter+time.Millisecond, func(now time.Duration) { s.arrive(now, back, a) })
		}
	}
}

func (s *simulation) admit(now time.Duration, p *player, a attempt) {
	k := &s.kinds[a.kind]
	s.admitted[a.kind][now/intervalLength]++
	s.waits = append(s.waits, now-a.since)
	if a.number < 2 {
		s.finished[a.number]++
	}
	s.demand = s.demand*math.Exp(-float64(now-s.seenAt)/float64(offeredWindow)) + k.slotTime.Seconds()
	s.seenAt = now
	offered := s.demand / offeredWindow.Seconds() / s.capacity
	s.queue.At(now+reportDelay, func(now time.Duration) {
		p.prices.Observe(now, pricing.Route{Name: k.name, Rank: k.rank}, []pricing.Usage{{Service: "scarce", SlotTime: k.slotTime, Offered: offered}}, true)
	})
}

// deviation returns how far the share admitted of a kind differs from the mean probability at most in any
// interval, and by how much it exceeds what is allowed there.
func (s *simulation) deviation(index int) (worst, excess float64) {
	for interval, arrived := range s.arrivals[index] {
		if arrived > 0 {
			deviation := math.Abs(s.admitted[index][interval]-s.probability[index][interval]) / arrived
			worst, excess = max(worst, deviation), max(excess, deviation-s.allowed(arrived))
		}
	}
	return worst, excess
}

// allowed returns the deviation that is allowed in an interval: 3 percentage points, or more if a node has so
// few arrivals of the route that the fractions of a request in the credits of all nodes exceed that. Each
// changes by sqrt(1/6) (standard deviation) in an interval.
func (s *simulation) allowed(arrived float64) float64 {
	const most, deviations = 0.03, 3.5
	return max(most, deviations*math.Sqrt(float64(s.nodes)/6)/arrived)
}

// returningShare returns the share admitted of the requests that return for the first time.
func (s *simulation) returningShare() float64 {
	return float64(s.finished[1]) / float64(max(s.requests[1], 1))
}

func (s *simulation) meanWait() time.Duration {
	total := time.Duration(0)
	for _, wait := range s.waits {
		total += wait
	}
	return total / time.Duration(len(s.waits))
}

// The share admitted must be the one that the prices ask for, since they are tuned to it: with more, the
// service is overloaded, with less its slots are idle. No request may wait longer than its route allows.
func TestShareAdmittedFollowsThePrice(t *testing.T) {
	for _, tc := range []struct {
		name    string
		load    func(time.Duration) float64
		returns int
		after   time.Duration
	}{
		{"burst", burst, 0, 0},
		{"burst, clients return once", burst, 1, 300 * time.Millisecond},
		{"burst, clients return at once, three times", burst, 3, 0},
		{"crests", crests, 1, 300 * time.Millisecond},
		{"crests, clients return at once, three times", crests, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			play := shortage(tc.load)
			play.returns, play.returnAfter = tc.returns, tc.after
			play.run(32 * time.Second)
			t.Logf("mean wait of admitted requests %s, most waiting at a node %d, returning admitted %.3f", play.meanWait(), play.mostWaiting, play.returningShare())
			for index, k := range play.kinds {
				worst, excess := play.deviation(index)
				t.Logf("%s: deviation %.4f, longest wait %s", k.name, worst, play.longestWait[index])
				g.Expect(excess).To(BeZero(), k.name)
				g.Expect(play.longestWait[index]).To(BeNumerically("<=", k.maxWait), k.name)
			}
			g.Expect(play.mostWaiting).To(BeNumerically(">", 0), "nothing waits")
			g.Expect(play.mostWaiting).To(BeNumerically("<=", MaxWaiting))
		})
	}
}

// The share of a single busy node must follow the price too, not only that of a fleet.
func TestShareAdmittedAtABusyNode(t *testing.T) {
	g := NewWithT(t)
	play := shortage(burst)
	play.nodes, play.returns, play.returnAfter = 4, 1, 300*time.Millisecond
	play.run(26 * time.Second)
	for index, k := range play.kinds {
		t.Logf("%s: arrivals %.0f, sums of their probabilities %.1f, admitted %.0f", k.name, play.arrivals[index], play.probability[index], play.admitted[index])
		worst, _ := play.deviation(index)
		g.Expect(worst).To(BeNumerically("<=", 0.03), k.name)
	}
}

// A client that returns has no time for another attempt: it must be admitted more often than by a draw.
func TestReturningRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	shares := map[bool]float64{}
	for _, draws := range []bool{true, false} {
		play := shortage(burst)
		play.returns, play.returnAfter, play.draws = 1, 300*time.Millisecond, draws
		play.run(24 * time.Second)
		shares[draws] = play.returningShare()
	}
	t.Logf("returning requests admitted: %.3f by a draw, %.3f in order", shares[true], shares[false])
	g.Expect(shares[false]).To(BeNumerically(">", shares[true]+0.03))
}
