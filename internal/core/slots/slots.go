// Package slots is the gate in front of one target: no more requests than the
// target has slots are at the target, the rest waits in order of importance and
// deadline. A gate that drains refuses everything that has not been sent. It is a
// state machine without locks or clocks; times are on the driver's own clock.
package slots

import (
	"sort"
	"time"
)

// Reason says why a request was not let through.
type Reason string

// The reasons of a refusal. None of these requests was sent to the target.
const (
	ReasonDraining Reason = "draining"  // the target is leaving or gone
	ReasonExpired  Reason = "expired"   // its deadline passed in the queue
	ReasonTooLong  Reason = "too_long"  // it would wait past its deadline
	ReasonFull     Reason = "full"      // the queue is full of work at least as important
	ReasonNoTarget Reason = "no_target" // no target is known here
)

// Request is one request that wants a slot.
type Request struct {
	ID         uint64
	Importance int           // lower goes first
	Deadline   time.Duration // when the answer is of no more use
	Class      string        // requests of one class take alike long; empty: none
}

// Decision tells the driver to send a request or to refuse it.
type Decision struct {
	ID     uint64
	Send   bool
	Reason Reason
	Waited time.Duration
}

// Load is what a gate tells the senders.
type Load struct {
	Slots   int
	Running int
	Waiting int
	// Hold is the mean time that a request keeps a slot; 0: too few have ended to tell.
	Hold time.Duration
}

// Occupancy is the share of the slots that is in use or waited for.
func (l Load) Occupancy() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// sent is a request at the target.
type sent struct {
	class string
	at    time.Duration
}

// learned is a mean time, learned from requests that have ended.
type learned struct {
	mean  float64 // ns
	ended int
}

// learn takes in how long one lasted.
func (l *learned) learn(lasted float64) {
	l.ended++
	l.mean += max(holdWeight, 1/float64(l.ended)) * (lasted - l.mean)
}

// known tells whether enough have ended to trust the mean.
func (l *learned) known() bool { return l.ended >= learnedFrom }

type waiting struct {
	request Request
	arrived time.Duration
}

// Gate is the state of one target. It is not safe for concurrent use.
type Gate struct {
	slots    int
	running  map[uint64]sent
	queue    []waiting
	hold     learned             // of all requests
	classes  map[string]*learned // by class
	draining bool
	beginAll bool // also what cannot end in its time
}

// holdWeight is the weight of one request in the mean hold time. The first ones
// weigh more: the mean begins with them.
const holdWeight = 0.05

// learnedFrom is the number of requests that a gate learns the hold time from before
// it tells it. The first to end are the shortest ones.
const learnedFrom = 10

// firstHold is what a gate reckons with until a request has ended.
const firstHold = 20 * time.Millisecond

// queueFactor bounds the queue as a multiple of the slots.
const queueFactor = 8

// usableShare is the share of a target's slots that is used: some targets turn
// slow when they are nearly full.
const usableShare = 0.95

func usable(slots int) int { return max(int(float64(slots)*usableShare), 1) }

// New makes a gate for a target with so many slots.
func New(slots int) *Gate {
	return &Gate{slots: usable(slots), running: map[uint64]sent{}, hold: learned{mean: float64(firstHold)}, classes: map[string]*learned{}}
}

// BeginAll has the gate begin also what cannot end in its time.
func (g *Gate) BeginAll() { g.beginAll = true }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(now time.Duration, slots int) []Decision {
	g.slots = usable(slots)
	return g.fill(now, nil)
}

// Load describes the gate now.
func (g *Gate) Load() Load {
	load := Load{Slots: g.slots, Running: len(g.running), Waiting: len(g.queue)}
	if g.hold.known() {
		load.Hold = time.Duration(g.hold.mean)
	}
	return load
}

// Draining tells whether the gate refuses all new work.
func (g *Gate) Draining() bool { return g.draining }

// Arrive takes in a request; the decisions may be about others that it displaces.
func (g *Gate) Arrive(now time.Duration, request Request) []Decision {
	if g.draining {
		return []Decision{{ID: request.ID, Reason: ReasonDraining}}
	}
	request.Deadline -= g.needed(request.Class)
	if now >= request.Deadline {
		return []Decision{{ID: request.ID, Reason: ReasonExpired}}
	}
	if len(g.running) < g.slots && len(g.queue) == 0 {
		g.running[request.ID] = sent{class: request.Class, at: now}
		return []Decision{{ID: request.ID, Send: true}}
	}
	place := g.place(request)
	wait := g.expectedWait(place)
	if now+wait >= request.Deadline {
		return []Decision{{ID: request.ID, Reason: ReasonTooLong}}
	}
	g.queue = append(g.queue, waiting{})
	copy(g.queue[place+1:], g.queue[place:])
	g.queue[place] = waiting{request: request, arrived: now}
	decisions := g.fill(now, nil)
	if len(g.queue) > queueFactor*g.slots {
		last := g.queue[len(g.queue)-1]
		g.queue = g.queue[:len(g.queue)-1]
		decisions = append(decisions, Decision{ID: last.request.ID, Reason: ReasonFull, Waited: now - last.arrived})
	}
	return decisions
}

// place gives the position in the queue: by importance, then first come.
func (g *Gate) place(request Request) int {
	return sort.Search(len(g.queue), func(i int) bool { return g.queue[i].request.Importance > request.Importance })
}

func (g *Gate) expectedWait(place int) time.Duration {
	return time.Duration(g.hold.mean * float64(place+1) / float64(g.slots))
}

// Parts of the mean time of its class, or of all requests, that a request must have
// left for its work to be worth beginning. Requests of one class take alike long; of
// all requests some are much shorter than the mean.
const (
	neededOfClass = 0.7
	neededOfAll   = 0.5
)

// needed is the time that a request of a class needs at the target.
func (g *Gate) needed(class string) time.Duration {
	if g.beginAll {
		return 0
	}
	if one := g.classes[class]; one != nil && one.known() {
		return time.Duration(neededOfClass * one.mean)
	}
	if g.hold.known() && class == "" {
		return time.Duration(neededOfAll * g.hold.mean)
	}
	return 0
}

// Finish gives the slot of a request back. learn tells that it was answered, so
// that its time at the target says how fast the target is. One that was cut off
// would have taken longer: it counts when it lasted longer than the mean. Without
// it a target that is too slow for the deadlines would look as fast as before.
func (g *Gate) Finish(now time.Duration, id uint64, learn bool) []Decision {
	one, present := g.running[id]
	if !present {
		return nil
	}
	delete(g.running, id)
	lasted := float64(now - one.at)
	if learn || lasted > g.hold.mean {
		g.hold.learn(lasted)
	}
	if class := g.class(one.class); class != nil && (learn || class.known() && lasted > class.mean) {
		class.learn(lasted)
	}
	return g.fill(now, nil)
}

// maxClasses bounds the classes that are told apart.
const maxClasses = 64

// class gives what is learned of a class, nil when there are too many.
func (g *Gate) class(name string) *learned {
	one := g.classes[name]
	if one == nil && name != "" && len(g.classes) < maxClasses {
		one = &learned{}
		g.classes[name] = one
	}
	return one
}

// Withdraw takes a request out of the queue; it gives false when the request
// does not wait there.
func (g *Gate) Withdraw(id uint64) bool {
	for index, item := range g.queue {
		if item.request.ID == id {
			g.queue = append(g.queue[:index], g.queue[index+1:]...)
			return true
		}
	}
	return false
}

// Tick refuses what has waited past its deadline. Call it while anything waits.
func (g *Gate) Tick(now time.Duration) []Decision { return g.fill(now, nil) }

// Drain refuses everything that waits and all that comes; what is at the target
// goes on.
func (g *Gate) Drain(now time.Duration) []Decision {
	g.draining = true
	var decisions []Decision
	for _, item := range g.queue {
		decisions = append(decisions, Decision{ID: item.request.ID, Reason: ReasonDraining, Waited: now - item.arrived})
	}
	g.queue = nil
	return decisions
}

// fill drops what has expired and hands out the free slots.
func (g *Gate) fill(now time.Duration, decisions []Decision) []Decision {
	kept := g.queue[:0]
	for _, item := range g.queue {
		if now >= item.request.Deadline {
			decisions = append(decisions, Decision{ID: item.request.ID, Reason: ReasonExpired, Waited: now - item.arrived})
			continue
		}
		kept = append(kept, item)
	}
	g.queue = kept
	for len(g.queue) > 0 && len(g.running) < g.slots {
		next := g.queue[0]
		g.queue = g.queue[1:]
		g.running[next.request.ID] = sent{class: next.request.Class, at: now}
		decisions = append(decisions, Decision{ID: next.request.ID, Send: true, Waited: now - next.arrived})
	}
	return decisions
}
