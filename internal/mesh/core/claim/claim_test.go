package claim

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func executor(name string) Executor { return Executor{Node: name, Incarnation: name + "/1"} }

// runProposal drives a proposal to its end. reachable is called for each request and
// reports whether the voter replies.
func runProposal(voters []*Voter, proposal *Proposal, reachable func() bool) Step {
	for {
		request := proposal.Request()
		step := StepWait
		for _, voter := range voters {
			if reachable() {
				step = proposal.HandleReply(voter.Handle(request))
			} else {
				step = proposal.HandleNoReply()
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
	for i := range voters {
		voters[i] = NewVoter(100)
		voters[i].Install(epoch, nil)
	}
	return voters
}

func alwaysReachable() bool { return true }

func TestFirstProposalIsChosenAndStays(t *testing.T) {
	g := NewWithT(t)
	voters := newVoters(3, 1)
	first := NewProposal("k", 1, 3, executor("a"), true, 1)
	g.Expect(runProposal(voters, first, alwaysReachable)).To(Equal(StepChosen))
	g.Expect(first.Chosen()).To(Equal(executor("a")))

	second := NewProposal("k", 1, 3, executor("b"), false, 1)
	g.Expect(runProposal(voters, second, alwaysReachable)).To(Equal(StepChosen))
	g.Expect(second.Chosen()).To(Equal(executor("a")))
}

func TestRoundZeroDoesNotOverrideCarriedClaim(t *testing.T) {
	g := NewWithT(t)
	old := newVoters(3, 1)
	g.Expect(runProposal(old, NewProposal("k", 1, 3, executor("a"), true, 1), alwaysReachable)).To(Equal(StepChosen))

	entries, _, _ := old[0].Seal(1)
	more, _, _ := old[1].Seal(1)
	renewed := []*Voter{NewVoter(9), NewVoter(9), NewVoter(9)}
	for _, voter := range renewed {
		g.Expect(voter.Install(2, Merge(entries, more))).To(Equal(RefusedNone))
	}
	owner := NewProposal("k", 2, 3, executor("b"), true, 1)
	g.Expect(runProposal(renewed, owner, alwaysReachable)).To(Equal(StepChosen))
	g.Expect(owner.Chosen()).To(Equal(executor("a")))
}

func TestSealedVoterRefusesRequestsOfSealedEpoch(t *testing.T) {
	g := NewWithT(t)
	voter := newVoters(1, 1)[0]
	voter.Seal(1)
	reply := voter.Handle(NewProposal("k", 1, 1, executor("a"), true, 1).Request())
	g.Expect(reply.Refusal).To(Equal(RefusedEpoch))
	g.Expect(voter.Install(1, nil)).To(Equal(RefusedNone)) // a repeated install has no effect
	g.Expect(voter.Handle(NewProposal("k", 1, 1, executor("a"), true, 2).Request()).Refusal).To(Equal(RefusedEpoch))
}

func TestUninstalledVoterRefusesRequests(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewVoter(9).Handle(NewProposal("k", 1, 1, executor("a"), true, 1).Request()).Refusal).To(Equal(RefusedEpoch))
	_, _, refusal := NewVoter(9).Seal(1)
	g.Expect(refusal).To(Equal(RefusedEpoch))
}

func TestFullVoterRefusesOnlyNewKeys(t *testing.T) {
	g := NewWithT(t)
	voter := NewVoter(1)
	voter.Install(1, nil)
	g.Expect(voter.Handle(NewProposal("k1", 1, 1, executor("a"), true, 1).Request()).Refusal).To(Equal(RefusedNone))
	g.Expect(voter.Handle(NewProposal("k2", 1, 1, executor("a"), true, 2).Request()).Refusal).To(Equal(RefusedFull))
	g.Expect(voter.Handle(NewProposal("k1", 1, 1, executor("b"), false, 1).Request()).Executor).To(Equal(executor("a")))
}

func TestTableGrantsKeyOnce(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10, 100, 50)
	table.Begin("k")
	g.Expect(table.Grant("k")).To(BeTrue())
	g.Expect(table.Grant("k")).To(BeFalse())
	table.Abandon("k") // no effect: the key is granted
	g.Expect(table.Grant("k")).To(BeFalse())
	table.Complete("k", &Answer{Status: 200, Body: make([]byte, 40)})
	phase, answer, _ := table.Begin("k")
	g.Expect(phase).To(Equal(PhaseDone))
	g.Expect(answer.Status).To(Equal(200))
}

func TestTableEvictsAnswersButKeepsKeys(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10, 100, 50)
	for i := range 5 {
		key := fmt.Sprint(i)
		table.Begin(key)
		table.Grant(key)
		table.Complete(key, &Answer{Body: make([]byte, 40)})
	}
	phase, answer := table.Lookup("0")
	g.Expect(phase).To(Equal(PhaseDone))
	g.Expect(answer).To(BeNil())
	_, answer = table.Lookup("4")
	g.Expect(answer).NotTo(BeNil())
	g.Expect(table.records).To(HaveLen(5))
}

func TestPlanRequiresMajorityOfCurrentVoters(t *testing.T) {
	g := NewWithT(t)
	members := []Executor{executor("a"), executor("b"), executor("c")}
	current := &VoterSet{Service: "s", Epoch: 4, Active: true, Members: members}
	restarted := Executor{Node: "c", Incarnation: "c/2"}
	g.Expect(PlanVoterSet("s", current, members, 3)).To(BeNil())
	next := PlanVoterSet("s", current, []Executor{members[0], members[1], restarted}, 3)
	g.Expect(next.Epoch).To(Equal(int64(5)))
	g.Expect(next.Previous).To(Equal(members))
	g.Expect(PlanVoterSet("s", current, []Executor{members[0], {Node: "b", Incarnation: "b/2"}, restarted}, 3)).To(BeNil())
	g.Expect(PlanVoterSet("s", nil, members[:1], 3)).To(BeNil())
	g.Expect(PlanVoterSet("s", nil, members, 3).Epoch).To(Equal(int64(1)))
}

// network simulates one key of a service: voters restart, messages are delayed,
// reordered and lost, and the voter set is reconfigured.
type network struct {
	t            *rapid.T
	voters       []*Voter
	members      []string // incarnations of the voter set's members
	incarnations []string // current incarnation of each voter
	epoch        int64
	active       bool
	previous     []string
	pending      []func()
	executed     map[Executor]bool
	runs         int
	proposals    uint64
	mutation     mutation
}

// mutation disables steps of the protocol, as the mutants of spec/claim.pml do.
type mutation struct{ noCarry, noSeal, rejoin bool }

func newNetwork(t *rapid.T, mut mutation) *network {
	n := &network{t: t, epoch: 1, active: true, executed: map[Executor]bool{}, mutation: mut, voters: newVoters(3, 1)}
	for i := range n.voters {
		n.incarnations = append(n.incarnations, fmt.Sprintf("v%d/1", i))
	}
	n.members = append([]string(nil), n.incarnations...)
	return n
}

// deliver queues a message to a voter. A later step of the schedule may deliver it.
func (n *network) deliver(incarnation string, handle func(*Voter)) {
	n.pending = append(n.pending, func() {
		for i, name := range n.incarnations {
			if name == incarnation || (n.mutation.rejoin && name[:2] == incarnation[:2]) {
				handle(n.voters[i])
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
	done := false
	for _, member := range members {
		n.deliver(member, func(voter *Voter) {
			reply := voter.Handle(request)
			if done {
				return
			}
			switch step := proposal.HandleReply(reply); step {
			case StepSend:
				done = true
				n.send(proposal, self, members)
			case StepChosen:
				done = true
				n.execute(proposal.Chosen(), self)
			case StepFailed:
				done = true
			}
		})
	}
}

func (n *network) execute(chosen, self Executor) {
	if chosen == self && !n.executed[self] {
		n.executed[self] = true
		n.runs++
	}
}

func (n *network) restart(i int) {
	if n.mutation.rejoin {
		epoch := n.voters[i].epoch
		n.voters[i] = NewVoter(100)
		n.voters[i].Install(epoch, nil)
		return
	}
	n.voters[i] = NewVoter(100)
	n.incarnations[i] = fmt.Sprintf("v%d/%d", i, n.proposals+uint64(len(n.pending))+100)
}

// reconfigure starts a new epoch or resumes a pending one.
func (n *network) reconfigure(reachable []bool) {
	if n.active {
		n.previous, n.members, n.active = n.members, append([]string(nil), n.incarnations...), false
		n.epoch++
	}
	var sealed [][]Entry
	count := 0
	for i, name := range n.incarnations {
		if !reachable[i] {
			continue
		}
		voter := n.voters[i]
		entries, installed, refusal := voter.Seal(n.epoch - 1)
		if n.mutation.noSeal && !installed {
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
	if n.mutation.noCarry {
		carried = nil
	}
	n.install(carried)
}

// install queues the install messages of the current epoch to its members.
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

// runSchedule executes a random schedule and returns how often the key ran.
func runSchedule(t *rapid.T, mut mutation) int {
	n := newNetwork(t, mut)
	executors := []Executor{executor("a"), executor("b"), executor("c")}
	reachable := rapid.SliceOfN(rapid.Bool(), 3, 3)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			i := rapid.IntRange(0, 2).Draw(t, "executor")
			n.propose(executors[i], i == int(n.epoch)%3)
		case 2:
			n.reconfigure(reachable.Draw(t, "reachable"))
		case 3:
			n.restart(rapid.IntRange(0, 2).Draw(t, "voter"))
		default:
			if len(n.pending) > 0 {
				i := rapid.IntRange(0, len(n.pending)-1).Draw(t, "message")
				message := n.pending[i]
				n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
				message()
			}
		}
	}
	return n.runs
}

func TestAKeyRunsAtMostOnceUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if runs := runSchedule(t, mutation{}); runs > 1 {
			t.Fatalf("key ran %d times", runs)
		}
	})
}

// TestMutatedProtocolsRunKeyTwice guards against a schedule generator that is too weak to
// find a violation: each mutation must run the key twice under some schedule.
func TestMutatedProtocolsRunKeyTwice(t *testing.T) {
	for name, mut := range map[string]mutation{"no carry": {noCarry: true}, "no seal": {noSeal: true}, "rejoin": {rejoin: true}} {
		t.Run(name, func(t *testing.T) {
			maxRuns := 0
			for seed := range 20000 {
				maxRuns = max(maxRuns, rapid.Custom(func(t *rapid.T) int { return runSchedule(t, mut) }).Example(seed))
				if maxRuns > 1 {
					return
				}
			}
			t.Fatal("no schedule ran the key twice")
		})
	}
}
