package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs nodes, keepers and a store whose leased key names the keeper. Messages are
// delayed, lost and reordered; processes pause and restart.
type simulation struct {
	t              *rapid.T
	random         *rand.Rand
	now            time.Duration
	nodes          []*simulatedNode
	keeper         *Keeper
	keeperNode     int           // index into nodes; -1: no keeper
	keeperLeaseEnd time.Duration // end of the lease as the keeper sees it
	storeLeaseEnd  time.Duration // end of the lease in the store
	epoch          int64
	storedNodes    []string // node names persisted with the key
	maxFraction    float64
	events         []event
	admitted       []time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type simulatedNode struct {
	name            string
	process         int
	holder          *Bucket
	outstanding     int // number of the outstanding request; 0: none
	sent            int
	waiting         int
	pausedUntil     time.Duration
	arrivalsPerStep float64
}

const (
	stepDuration   = 10 * time.Millisecond
	leaseDuration  = 2 * time.Second
	reportInterval = 300 * time.Millisecond // mean time between two reports of a node
	requestTimeout = 150 * time.Millisecond
)

func (s *simulation) schedule(delay time.Duration, do func()) {
	s.events = append(s.events, event{s.now + delay, do})
}

// delay returns a message delay, which may exceed requestTimeout.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(10) == 0 {
		return time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(s.random.IntN(20)) * time.Millisecond
}

func (s *simulation) lost() bool { return s.random.IntN(20) == 0 }

func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += stepDuration {
		s.deliver()
		s.updateLease()
		for index := range s.nodes {
			s.stepNode(index)
		}
	}
}

func (s *simulation) deliver() {
	pending := s.events[:0]
	var due []event
	for _, e := range s.events {
		if e.at <= s.now {
			due = append(due, e)
			continue
		}
		pending = append(pending, e)
	}
	s.events = pending
	for _, e := range due {
		e.do()
	}
}

// updateLease renews the keeper's lease, restarts the keeper if its node is back before the lease
// ends, and otherwise lets another node take over.
func (s *simulation) updateLease() {
	switch {
	case s.keeperNode >= 0 && s.keeper != nil && s.now < s.storeLeaseEnd:
		if s.random.IntN(50) == 0 && s.nodes[s.keeperNode].pausedUntil <= s.now {
			// The keeper counts from the start of the call, the store from its arrival.
			s.keeperLeaseEnd = s.now + leaseDuration
			s.storeLeaseEnd = s.now + time.Duration(s.random.IntN(100))*time.Millisecond + leaseDuration
		}
	case s.keeperNode >= 0 && s.now < s.storeLeaseEnd:
		s.epoch++
		s.keeper = NewKeeper(testConfig, s.epoch, s.now, s.maxFraction, PreviousKeeper{Listed: s.storedNodes, MaxFraction: s.maxFraction, ExpiresAt: s.now + leaseDuration})
		s.keeperLeaseEnd, s.storeLeaseEnd = s.now+leaseDuration, s.now+leaseDuration
	case s.now >= s.storeLeaseEnd && s.random.IntN(20) == 0:
		s.epoch++
		s.keeperNode, s.storedNodes = s.random.IntN(len(s.nodes)), nil
		s.maxFraction = MaxShareFraction(len(s.nodes))
		s.keeper = NewKeeper(testConfig, s.epoch, s.now, s.maxFraction, PreviousKeeper{})
		s.keeperLeaseEnd, s.storeLeaseEnd = s.now+leaseDuration, s.now+leaseDuration
	}
}

func (s *simulation) stepNode(index int) {
	n := s.nodes[index]
	switch s.random.IntN(1500) {
	case 0:
		s.restart(index)
	case 1:
		n.pausedUntil = s.now + time.Duration(s.random.IntN(3000))*time.Millisecond
	case 2:
		n.arrivalsPerStep = s.random.Float64() * 4
	}
	if s.now < n.pausedUntil {
		return
	}
	for range int(n.arrivalsPerStep + s.random.Float64()) {
		if n.holder.Arrive(s.now) {
			s.admitted = append(s.admitted, s.now)
		} else if n.waiting < 50 {
			n.waiting++
		}
	}
	if n.outstanding == 0 && (n.waiting > 0 && n.holder.CanRequest(s.now) || s.random.IntN(int(reportInterval/stepDuration)) == 0) {
		s.sendReport(n)
	}
}

func (s *simulation) restart(index int) {
	n := s.nodes[index]
	n.process++
	n.holder, n.outstanding, n.waiting = NewBucket(testConfig, testLimit, s.now), 0, 0
	if index == s.keeperNode {
		s.keeper = nil
	}
}

func (s *simulation) sendReport(n *simulatedNode) {
	n.sent++
	number, process, asked := n.sent, n.process, s.now
	n.outstanding = number
	report := n.holder.Report(s.now, "t", n.waiting)
	s.schedule(requestTimeout, func() {
		if n.outstanding == number && n.process == process {
			n.outstanding, n.waiting = 0, 0
		}
	})
	if s.lost() {
		return
	}
	s.schedule(s.delay(), func() { s.handleReport(n, number, process, asked, report) })
}

func (s *simulation) handleReport(n *simulatedNode, number, process int, asked time.Duration, report Report) {
	if s.keeper == nil || s.now >= s.keeperLeaseEnd || s.nodes[s.keeperNode].pausedUntil > s.now {
		return
	}
	if !s.keeper.IsListed(n.name) {
		s.storedNodes = append(s.storedNodes, n.name)
		s.keeper.AddListed(s.now, []string{n.name})
	}
	given := s.keeper.Allocate(s.now, n.name, fmt.Sprintf("%s/%d", n.name, process), testLimit, report, s.keeperLeaseEnd-s.now)
	s.keeper.MarkReported(s.now, n.name)
	if s.lost() {
		return
	}
	s.schedule(s.delay(), func() {
		if n.outstanding != number || n.process != process || s.now < n.pausedUntil {
			return
		}
		n.outstanding = 0
		tokens := n.holder.Allot(s.now, asked, given)
		for ; tokens > 0 && n.waiting > 0; tokens-- {
			n.waiting--
			s.admitted = append(s.admitted, s.now)
		}
		n.holder.Add(s.now, tokens)
		n.waiting = 0
	})
}

// maxInWindow returns the largest number of requests admitted in any window.
func (s *simulation) maxInWindow() int {
	most, from := 0, 0
	for to, at := range s.admitted {
		for at-s.admitted[from] >= testConfig.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// No window admits more than the bound of Config under message loss and delay, process pauses
// and restarts, and keeper changes.
func TestAdmissionsNeverExceedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), keeperNode: -1}
		for index := range rapid.IntRange(2, 8).Draw(t, "nodes") {
			s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprint("n", index), holder: NewBucket(testConfig, testLimit, 0), arrivalsPerStep: s.random.Float64() * 4})
		}
		s.run(40 * time.Second)
		allowed := (testLimit.Rate*testConfig.Window.Seconds()+testLimit.Burst)*(1+testConfig.Overshoot) + testConfig.Slack
		if most := s.maxInWindow(); float64(most) > allowed {
			t.Fatalf("%d requests admitted in a window; want at most %.0f", most, allowed)
		}
		if len(s.admitted) < 1000 {
			t.Fatalf("only %d requests admitted", len(s.admitted))
		}
	})
}
