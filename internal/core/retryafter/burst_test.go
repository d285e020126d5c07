package retryafter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	burstNodes    = 84
	burstCapacity = 600 // requests of the route per second that all nodes admit
	burstBegin    = 5 * time.Second
	burstEnd      = burstBegin + 18*time.Second
	burstSpan     = burstEnd + 7*time.Second
	burstStep     = 10 * time.Millisecond
	servedWithin  = 400 * time.Millisecond
)

// arrival is an attempt of a client in the simulation.
type arrival struct {
	at, deadline time.Duration
	attempt      int
}

// promiseKey identifies a time slot of a node's process.
type promiseKey struct{ node, process, slot int }

// burst plays a route over nodes that admit burstCapacity requests per second, returning ones first.
// The load is 0.8 of that, and 1.8 for 18 s.
type burst struct {
	g            *WithT
	random       *rand.Rand
	slots        bool          // the nodes assign time slots
	returnAtOnce bool          // clients return at once, up to three times, rather than once as told
	restartAt    time.Duration // of node 0; 0: none

	nodes    []*Returns
	process  []int
	credit   float64
	arrivals []arrival
	promises map[promiseKey]int
	rooms    map[promiseKey]float64 // largest room when one of them was assigned
	returned int
	served   int // of those that returned
	noTime   int // of those that returned: told that no time is left
}

func newBurst(g *WithT, seed uint64) *burst {
	b := &burst{g: g, random: rand.New(rand.NewPCG(seed, 1)), slots: true, promises: map[promiseKey]int{}, rooms: map[promiseKey]float64{}, process: make([]int, burstNodes)}
	for range burstNodes {
		b.nodes = append(b.nodes, NewReturns())
	}
	return b
}

func (b *burst) play() {
	for now := time.Duration(0); now < burstSpan; now += burstStep {
		if b.restartAt > 0 && now >= b.restartAt && b.process[0] == 0 {
			b.nodes[0], b.process[0] = NewReturns(), 1
		}
		load := 0.8
		if now >= burstBegin && now < burstEnd {
			load = 1.8
		}
		for range b.poisson(load * burstCapacity * burstStep.Seconds()) {
			b.arrivals = append(b.arrivals, arrival{at: now, deadline: now + testTimeout})
		}
		b.credit = min(b.credit+burstCapacity*burstStep.Seconds(), 0.05*burstCapacity)
		b.step(now)
	}
}

func (b *burst) poisson(mean float64) int {
	count, product := 0, b.random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= b.random.Float64()
	}
	return count
}

// step decides on the arrivals that are due, returning ones first.
func (b *burst) step(now time.Duration) {
	slices.SortStableFunc(b.arrivals, func(x, y arrival) int { return cmp.Compare(y.attempt, x.attempt) })
	due := slices.Clone(b.arrivals)
	b.arrivals = slices.DeleteFunc(b.arrivals, func(a arrival) bool { return a.at <= now })
	for _, a := range due {
		if a.at <= now {
			b.decide(now, a)
		}
	}
}

func (b *burst) decide(now time.Duration, a arrival) {
	index := b.random.IntN(burstNodes)
	if a.attempt > 0 {
		b.returned++
	}
	if b.credit >= 1 {
		b.credit--
		b.nodes[index].Admit(now, testRoute)
		b.nodes[index].Served(testRoute, servedWithin)
		if a.attempt > 0 {
			b.served++
		}
		return
	}
	after, told := b.refuse(now, index, a)
	switch {
	case !told && a.attempt > 0:
		b.noTime++
	case b.returnAtOnce && a.attempt < 3:
		b.arrivals = append(b.arrivals, arrival{at: now + burstStep, deadline: a.deadline, attempt: a.attempt + 1})
	case !b.returnAtOnce && a.attempt < 1:
		b.arrivals = append(b.arrivals, arrival{at: now + after, deadline: a.deadline, attempt: 1})
	}
}

// refuse returns the delay that a refused client is told, if it is told one.
func (b *burst) refuse(now time.Duration, index int, a arrival) (after time.Duration, told bool) {
	left := a.deadline - now
	refusal := Refusal{Route: testRoute, Timeout: left, Objective: testObjective, Returning: a.attempt > 0}
	if !b.slots {
		return ShedByPrice(left, testObjective).Draw(b.random.Float64()), true
	}
	node := b.nodes[index]
	room := node.route(testRoute).room(now)
	r := node.Refuse(now, refusal)
	longest := min(left/shedDivisor, testObjective/objectiveDivisor)
	b.g.Expect(r.Range.Min + r.Range.Spread).To(BeNumerically("<=", longest))
	switch {
	case r.Range == Range{}:
		b.g.Expect(refusal.Returning).To(BeTrue())
		b.g.Expect(left - minReturn).To(BeNumerically("<", servedWithin))
		return 0, false
	case r.Promised:
		key := promiseKey{index, b.process[index], int((now + r.Range.Min) / returnSlot)}
		b.promises[key]++
		b.rooms[key] = max(b.rooms[key], room)
	default:
		b.g.Expect(r.Range).To(Equal(ShedByPrice(left, testObjective)))
	}
	return r.Range.Draw(b.random.Float64()), true
}

// checkRoom checks the promises of each time slot, and of each second, against the room. A node with
// room for part of a request in a time slot promises one at a time.
func (b *burst) checkRoom() {
	seconds, largest := map[promiseKey]int{}, map[promiseKey]float64{}
	for key, count := range b.promises {
		b.g.Expect(count).To(BeNumerically("<=", math.Ceil(b.rooms[key])), "time slot %v", key)
		second := promiseKey{key.node, key.process, key.slot / 20}
		seconds[second] += count
		largest[second] = max(largest[second], b.rooms[key])
	}
	for second, count := range seconds {
		b.g.Expect(float64(count)).To(BeNumerically("<=", 20*largest[second]+1), "second %v", second)
	}
}

func (b *burst) servedShare() float64 { return float64(b.served) / float64(max(b.returned, 1)) }

// Promises beyond the room of a time slot would bring back a burst of requests that are refused again;
// delays beyond the bounds leave the client no time to be served.
func TestPromisesInABurst(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(b *burst)
	}{
		{"clients return once, as told", func(*burst) {}},
		{"clients return at once, up to three times", func(b *burst) { b.returnAtOnce = true }},
		{"restart of a node in the burst", func(b *burst) { b.restartAt = burstBegin + 6*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				b := newBurst(g, seed)
				tc.change(b)
				b.play()
				b.checkRoom()
				plain := newBurst(g, seed)
				tc.change(plain)
				plain.slots = false
				plain.play()
				t.Logf("seed %d: %d returned, %.3f served, %d told that no time is left; without time slots %d and %.3f",
					seed, b.returned, b.servedShare(), b.noTime, plain.returned, plain.servedShare())
				g.Expect(b.promises).NotTo(BeEmpty())
				g.Expect(b.servedShare()).To(BeNumerically(">=", plain.servedShare()-0.02))
			}
		})
	}
}
