package claim

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func executor(name string) Executor { return Executor{Node: name, Incarnation: name + "/1"} }

// decide runs one proposal against voters; reach tells which of them answer.
func decide(voters []*Voter, proposal *Proposal, reach func() bool) Step {
	for {
		request := proposal.Request()
		step := StepWait
		for _, voter := range voters {
			if reach() {
				step = proposal.Reply(voter.Handle(request))
			} else {
				step = proposal.Lost()
			}
			if step != StepWait {
				break
			}
		}
		if step != StepSend {
			return step
		}
	}
}

func newVoters(count int, epoch int64) []*Voter {
	voters := make([]*Voter, count)
	for index := range voters {
		voters[index] = NewVoter(100)
		voters[index].Install(epoch, nil)
	}
	return voters
}

func always() bool { return true }

func TestFirstProposalIsChosenAndStays(t *testing.T) {
	g := NewWithT(t)
	voters := newVoters(3, 1)
	first := NewProposal("k", 1, 3, executor("a"), true, 1)
	g.Expect(decide(voters, first, always)).To(Equal(StepChosen))
	g.Expect(first.Chosen()).To(Equal(executor("a")))

	second := NewProposal("k", 1, 3, executor("b"), false, 1)
	g.Expect(decide(voters, second, always)).To(Equal(StepChosen))
	g.Expect(second.Chosen()).To(Equal(executor("a")))
}

func TestRoundZeroDoesNotOverrideACarriedClaim(t *testing.T) {
	g := NewWithT(t)
	old := newVoters(3, 1)
	g.Expect(decide(old, NewProposal("k", 1, 3, executor("a"), true, 1), always)).To(Equal(StepChosen))

	entries, _, _ := old[0].Seal(1)
	more, _, _ := old[1].Seal(1)
	renewed := []*Voter{NewVoter(9), NewVoter(9), NewVoter(9)}
	for _, voter := range renewed {
		g.Expect(voter.Install(2, Merge(entries, more))).To(Equal(RefusedNone))
	}
	owner := NewProposal("k", 2, 3, executor("b"), true, 1)
	g.Expect(decide(renewed, owner, always)).To(Equal(StepChosen))
	g.Expect(owner.Chosen()).To(Equal(executor("a")))
}

func TestSealedVoterNeverVotesInThatEpochAgain(t *testing.T) {
	g := NewWithT(t)
	voter := newVoters(1, 1)[0]
	voter.Seal(1)
	reply := voter.Handle(NewProposal("k", 1, 1, executor("a"), true, 1).Request())
	g.Expect(reply.Refusal).To(Equal(RefusedEpoch))
	g.Expect(voter.Install(1, nil)).To(Equal(RefusedNone)) // a late repetition changes nothing
	g.Expect(voter.Handle(NewProposal("k", 1, 1, executor("a"), true, 2).Request()).Refusal).To(Equal(RefusedEpoch))
}

func TestFreshVoterIsNoVoter(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewVoter(9).Handle(NewProposal("k", 1, 1, executor("a"), true, 1).Request()).Refusal).To(Equal(RefusedEpoch))
	_, _, refusal := NewVoter(9).Seal(1)
	g.Expect(refusal).To(Equal(RefusedEpoch))
}

func TestFullVoterRefusesNewKeysAndKeepsOldOnes(t *testing.T) {
	g := NewWithT(t)
	voter := NewVoter(1)
	voter.Install(1, nil)
	g.Expect(voter.Handle(NewProposal("k1", 1, 1, executor("a"), true, 1).Request()).Refusal).To(Equal(RefusedNone))
	g.Expect(voter.Handle(NewProposal("k2", 1, 1, executor("a"), true, 2).Request()).Refusal).To(Equal(RefusedFull))
	g.Expect(voter.Handle(NewProposal("k1", 1, 1, executor("b"), false, 1).Request()).Executor).To(Equal(executor("a")))
}

func TestTableGrantsAKeyOnce(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10, 100, 50)
	table.Begin("k")
	g.Expect(table.Grant("k")).To(BeTrue())
	g.Expect(table.Grant("k")).To(BeFalse())
	table.GiveUp("k") // too late: it runs
	g.Expect(table.Grant("k")).To(BeFalse())
	table.Complete("k", &Answer{Status: 200, Body: make([]byte, 40)})
	phase, answer, _ := table.Begin("k")
	g.Expect(phase).To(Equal(PhaseDone))
	g.Expect(answer.Status).To(Equal(200))
}

func TestTableDropsOldAnswersButNoKeys(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10, 100, 50)
	for index := range 5 {
		key := fmt.Sprint(index)
		table.Begin(key)
		table.Grant(key)
		table.Complete(key, &Answer{Body: make([]byte, 40)})
	}
	phase, answer := table.Peek("0")
	g.Expect(phase).To(Equal(PhaseDone))
	g.Expect(answer).To(BeNil())
	_, answer = table.Peek("4")
	g.Expect(answer).NotTo(BeNil())
	g.Expect(table.records).To(HaveLen(5))
}

func TestPlanNeedsAMajorityOfTheOldVoters(t *testing.T) {
	g := NewWithT(t)
	members := []Executor{executor("a"), executor("b"), executor("c")}
	current := &VoterSet{Service: "s", Epoch: 4, Active: true, Members: members}
	restarted := Executor{Node: "c", Incarnation: "c/2"}
	g.Expect(Plan("s", current, members, 3)).To(BeNil())
	next := Plan("s", current, []Executor{members[0], members[1], restarted}, 3)
	g.Expect(next.Epoch).To(Equal(int64(5)))
	g.Expect(next.Previous).To(Equal(members))
	g.Expect(Plan("s", current, []Executor{members[0], {Node: "b", Incarnation: "b/2"}, restarted}, 3)).To(BeNil())
	g.Expect(Plan("s", nil, members[:1], 3)).To(BeNil())
	g.Expect(Plan("s", nil, members, 3).Epoch).To(Equal(int64(1)))
}

// network is a model of one key at a service: voters that restart, proposers
// whose messages arrive at any time, and voter sets that change.
type network struct {
	t         *rapid.T
	voters    []*Voter
	members   []string // incarnation of each voter in the record's set
	names     []string // incarnation of each voter now
	epoch     int64
	active    bool
	previous  []string
	pending   []func()
	ran       map[Executor]bool
	runs      int
	proposals uint64
	weak      weakness
}

// weakness leaves a step of the protocol out.
type weakness struct{ noCarry, noSeal, rejoin bool }

func newNetwork(t *rapid.T, weak weakness) *network {
	n := &network{t: t, epoch: 1, active: true, ran: map[Executor]bool{}, weak: weak, voters: newVoters(3, 1)}
	for index := range n.voters {
		n.names = append(n.names, fmt.Sprintf("v%d/1", index))
	}
	n.members = append([]string(nil), n.names...)
	return n
}

// deliver queues a message to a voter; it may come at any later step, or never.
func (n *network) deliver(incarnation string, handle func(*Voter)) {
	n.pending = append(n.pending, func() {
		for index, name := range n.names {
			if name == incarnation || (n.weak.rejoin && name[:2] == incarnation[:2]) {
				handle(n.voters[index])
				return
			}
		}
	})
}

func (n *network) propose(self Executor, owner bool) {
	if !n.active {
		return
	}
	n.proposals++
	proposal := NewProposal("k", n.epoch, len(n.members), self, owner, n.proposals)
	n.send(proposal, self, append([]string(nil), n.members...))
}

func (n *network) send(proposal *Proposal, self Executor, members []string) {
	request := proposal.Request()
	over := false
	for _, member := range members {
		n.deliver(member, func(voter *Voter) {
			reply := voter.Handle(request)
			if over {
				return
			}
			switch step := proposal.Reply(reply); step {
			case StepSend:
				over = true
				n.send(proposal, self, members)
			case StepChosen:
				over = true
				n.run(proposal.Chosen(), self)
			case StepFailed:
				over = true
			}
		})
	}
}

func (n *network) run(chosen, self Executor) {
	if chosen == self && !n.ran[self] {
		n.ran[self] = true
		n.runs++
	}
}

func (n *network) restart(index int) {
	if n.weak.rejoin {
		epoch := n.voters[index].epoch
		n.voters[index] = NewVoter(100)
		n.voters[index].Install(epoch, nil)
		return
	}
	n.voters[index] = NewVoter(100)
	n.names[index] = fmt.Sprintf("v%d/%d", index, n.proposals+uint64(len(n.pending))+100)
}

// reconfigure begins a new epoch, or finishes one that was left pending.
func (n *network) reconfigure(reach []bool) {
	if n.active {
		n.previous, n.members, n.active = n.members, append([]string(nil), n.names...), false
		n.epoch++
	}
	var sealed [][]Entry
	count := 0
	for index, name := range n.names {
		if !reach[index] {
			continue
		}
		voter := n.voters[index]
		entries, installed, refusal := voter.Seal(n.epoch - 1)
		if n.weak.noSeal && !installed {
			voter.sealed = 0
		}
		if refusal != RefusedNone {
			continue
		}
		if installed {
			sealed, count = [][]Entry{entries}, Majority(len(n.previous))
			break
		}
		sealed = append(sealed, entries)
		for _, old := range n.previous {
			if old == name {
				count++
			}
		}
	}
	if count < Majority(len(n.previous)) {
		return
	}
	carried := Merge(sealed...)
	if n.weak.noCarry {
		carried = nil
	}
	n.install(carried)
}

// install sends what is carried to the new members; the messages come at any time.
func (n *network) install(carried []Entry) {
	epoch, installed := n.epoch, 0
	for _, member := range n.members {
		n.deliver(member, func(voter *Voter) {
			if voter.Install(epoch, carried) != RefusedNone {
				return
			}
			installed++
			if installed >= Majority(len(n.members)) && n.epoch == epoch {
				n.active = true
			}
		})
	}
}

// play draws a schedule and gives the number of runs of the key.
func play(t *rapid.T, weak weakness) int {
	n := newNetwork(t, weak)
	executors := []Executor{executor("a"), executor("b"), executor("c")}
	reach := rapid.SliceOfN(rapid.Bool(), 3, 3)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			place := rapid.IntRange(0, 2).Draw(t, "executor")
			n.propose(executors[place], place == int(n.epoch)%3)
		case 2:
			n.reconfigure(reach.Draw(t, "reach"))
		case 3:
			n.restart(rapid.IntRange(0, 2).Draw(t, "voter"))
		default:
			if len(n.pending) > 0 {
				place := rapid.IntRange(0, len(n.pending)-1).Draw(t, "message")
				message := n.pending[place]
				n.pending = append(n.pending[:place:place], n.pending[place+1:]...)
				message()
			}
		}
	}
	return n.runs
}

func TestAKeyRunsAtMostOnceUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if runs := play(t, weakness{}); runs > 1 {
			t.Fatalf("key ran %d times", runs)
		}
	})
}

// TestWeakerProtocolsAreFound shows that the property can fail: each protocol
// with a step left out runs some key twice.
func TestWeakerProtocolsAreFound(t *testing.T) {
	for name, weak := range map[string]weakness{"no carry": {noCarry: true}, "no seal": {noSeal: true}, "rejoin": {rejoin: true}} {
		t.Run(name, func(t *testing.T) {
			most := 0
			for seed := range 20000 {
				most = max(most, rapid.Custom(func(t *rapid.T) int { return play(t, weak) }).Example(seed))
				if most > 1 {
					return
				}
			}
			t.Fatalf("no schedule ran the key twice")
		})
	}
}
