package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet plays nodes, keepers and a store in which a key with a lease names the keeper.
// Messages are late, lost and overtake each other; processes pause, end and come back.
type fleet struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	nodes  []*fleetNode
	keeper *Keeper
	at     int           // node of the keeper; -1: none
	right  time.Duration // end of the keeper's right to give
	lease  time.Duration // end of the lease in the store
	epoch  int64
	stored []string // names beside the key
	part   float64
	later  []event
	runs   []time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type fleetNode struct {
	name    string
	process int
	holder  *Holder
	asking  int // number of the question under way; 0: none
	asked   int
	waiting int
	paused  time.Duration
	load    float64 // requests a step
}

const (
	fleetStep  = 10 * time.Millisecond
	fleetLease = 2 * time.Second
	fleetAsk   = 300 * time.Millisecond // between two questions
	fleetGive  = 150 * time.Millisecond // after which a question is given up
)

func (f *fleet) after(span time.Duration, do func()) {
	f.later = append(f.later, event{f.now + span, do})
}

// delay of a message; long ones are longer than a question lasts.
func (f *fleet) delay() time.Duration {
	if f.random.IntN(10) == 0 {
		return time.Duration(f.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(f.random.IntN(20)) * time.Millisecond
}

func (f *fleet) lost() bool { return f.random.IntN(20) == 0 }

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += fleetStep {
		f.deliver()
		f.store()
		for index := range f.nodes {
			f.act(index)
		}
	}
}

func (f *fleet) deliver() {
	kept := f.later[:0]
	var due []event
	for _, one := range f.later {
		if one.at <= f.now {
			due = append(due, one)
			continue
		}
		kept = append(kept, one)
	}
	f.later = kept
	for _, one := range due {
		one.do()
	}
}

// store renews the keeper's lease, or has another node take over: at once where the
// keeper's node has come back, else when the lease is over.
func (f *fleet) store() {
	switch {
	case f.at >= 0 && f.keeper != nil && f.now < f.lease:
		if f.random.IntN(50) == 0 && f.nodes[f.at].paused <= f.now {
			// The right counts from the begin of the call, the lease from its arrival.
			f.right = f.now + fleetLease
			f.lease = f.now + time.Duration(f.random.IntN(100))*time.Millisecond + fleetLease
		}
	case f.at >= 0 && f.now < f.lease:
		f.epoch++
		f.keeper = NewKeeper(bounds, f.epoch, f.now, f.part, Before{Listed: f.stored, Part: f.part, Ends: f.now + fleetLease})
		f.right, f.lease = f.now+fleetLease, f.now+fleetLease
	case f.now >= f.lease && f.random.IntN(20) == 0:
		f.epoch++
		f.at, f.stored = f.random.IntN(len(f.nodes)), nil
		f.part = PartOf(len(f.nodes))
		f.keeper = NewKeeper(bounds, f.epoch, f.now, f.part, Before{})
		f.right, f.lease = f.now+fleetLease, f.now+fleetLease
	}
}

func (f *fleet) act(index int) {
	n := f.nodes[index]
	switch f.random.IntN(1500) {
	case 0:
		f.restart(index)
	case 1:
		n.paused = f.now + time.Duration(f.random.IntN(3000))*time.Millisecond
	case 2:
		n.load = f.random.Float64() * 4
	}
	if f.now < n.paused {
		return
	}
	for range int(n.load + f.random.Float64()) {
		if n.holder.Arrive(f.now) {
			f.runs = append(f.runs, f.now)
		} else if n.waiting < 50 {
			n.waiting++
		}
	}
	if n.asking == 0 && (n.waiting > 0 && n.holder.MayAsk(f.now) || f.random.IntN(int(fleetAsk/fleetStep)) == 0) {
		f.ask(n)
	}
}

func (f *fleet) restart(index int) {
	n := f.nodes[index]
	n.process++
	n.holder, n.asking, n.waiting = NewHolder(bounds, limit, f.now), 0, 0
	if index == f.at {
		f.keeper = nil
	}
}

func (f *fleet) ask(n *fleetNode) {
	n.asked++
	number, process, asked := n.asked, n.process, f.now
	n.asking = number
	report := n.holder.Report(f.now, "t", n.waiting)
	f.after(fleetGive, func() {
		if n.asking == number && n.process == process {
			n.asking, n.waiting = 0, 0
		}
	})
	if f.lost() {
		return
	}
	f.after(f.delay(), func() { f.answer(n, number, process, asked, report) })
}

func (f *fleet) answer(n *fleetNode, number, process int, asked time.Duration, report Report) {
	if f.keeper == nil || f.now >= f.right || f.nodes[f.at].paused > f.now {
		return
	}
	if !f.keeper.Lists(n.name) {
		f.stored = append(f.stored, n.name)
		f.keeper.List(f.now, []string{n.name})
	}
	given := f.keeper.Answer(f.now, n.name, fmt.Sprintf("%s/%d", n.name, process), limit, report, f.right-f.now)
	f.keeper.Heard(f.now, n.name)
	if f.lost() {
		return
	}
	f.after(f.delay(), func() {
		if n.asking != number || n.process != process || f.now < n.paused {
			return
		}
		n.asking = 0
		tokens := n.holder.Allot(f.now, asked, given)
		for ; tokens > 0 && n.waiting > 0; tokens-- {
			n.waiting--
			f.runs = append(f.runs, f.now)
		}
		n.holder.Store(f.now, tokens)
		n.waiting = 0
	})
}

// most is the highest number of requests in a window of the users' rule.
func (f *fleet) most() int {
	most, from := 0, 0
	for to, at := range f.runs {
		for at-f.runs[from] >= bounds.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// The users' rule holds for every window, with messages that are late or lost, processes
// that pause and restart, and keepers that lose their right, come back or are followed by
// others.
func TestNoWindowHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), at: -1}
		for index := range rapid.IntRange(2, 8).Draw(t, "nodes") {
			f.nodes = append(f.nodes, &fleetNode{name: fmt.Sprint("n", index), holder: NewHolder(bounds, limit, 0), load: f.random.Float64() * 4})
		}
		f.run(40 * time.Second)
		allowed := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
		if most := f.most(); float64(most) > allowed {
			t.Fatalf("%d requests in a window; allowed are %.0f", most, allowed)
		}
		if len(f.runs) < 1000 {
			t.Fatalf("only %d requests were let in", len(f.runs))
		}
	})
}
