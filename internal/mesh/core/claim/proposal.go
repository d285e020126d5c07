package claim

import "fmt"

// Step is what a proposal does next.
type Step int

// The steps.
const (
	// StepWait needs more replies.
	StepWait Step = iota
	// StepSend sends Proposal.Request to all voters.
	StepSend
	// StepChosen is final: Proposal.Chosen is the key's executor.
	StepChosen
	// StepFailed is final for this proposal: no majority went along.
	StepFailed
)

// MaxRounds bounds the rounds of one proposal.
const MaxRounds = 8

// Proposal is one attempt to learn the executor of a key, by proposing oneself.
// It is a state machine: send Request to the voters, feed Reply or Lost for
// each, do what it says. It is not safe for concurrent use.
type Proposal struct {
	key     string
	voters  int
	self    Executor
	ballot  Ballot
	prepare bool

	identity string // proposer of all rounds but 0
	replies  int
	granted  int
	highest  Ballot // highest ballot that refused
	accepted Ballot // highest accepted ballot found by the prepare step
	value    Executor
	refusal  Refusal
	rounds   int
}

// NewProposal begins a proposal of self for the key. owner is true only for the
// one incarnation that the epoch's voter set makes the owner of the key: it may
// skip the prepare step of round 0, where it never proposes anyone but itself
// [FastPropose]. attempt is a number that self uses for one proposal only: two
// proposals of one process must not share a ballot, because late messages of the
// first could then vote for another executor than the second found.
func NewProposal(key string, epoch int64, voters int, self Executor, owner bool, attempt uint64) *Proposal {
	proposal := &Proposal{key: key, voters: voters, self: self, prepare: !owner}
	proposal.identity = fmt.Sprintf("%s#%d", self.Incarnation, attempt)
	proposal.ballot = Ballot{Epoch: epoch, Proposer: self.Incarnation}
	if !owner {
		proposal.ballot.Round = 1
		proposal.ballot.Proposer = proposal.identity
	}
	proposal.value = self
	return proposal
}

// Request gives the message of the current step [Propose].
func (p *Proposal) Request() Request {
	return Request{Prepare: p.prepare, Key: p.key, Ballot: p.ballot, Executor: p.value}
}

// Chosen gives the executor after StepChosen.
func (p *Proposal) Chosen() Executor { return p.value }

// Refusal gives the last reason of a voter that did not go along.
func (p *Proposal) Refusal() Refusal { return p.refusal }

// Reply takes one voter's answer to the current request.
func (p *Proposal) Reply(reply Reply) Step {
	p.replies++
	if reply.Refusal != RefusedNone {
		p.refusal = reply.Refusal
		if p.highest.Less(reply.Promised) {
			p.highest = reply.Promised
		}
		return p.next()
	}
	p.granted++
	if p.prepare && !reply.Executor.Zero() && p.accepted.Less(reply.Accepted) {
		p.accepted, p.value = reply.Accepted, reply.Executor
	}
	return p.next()
}

// Lost counts a voter that did not answer.
func (p *Proposal) Lost() Step {
	p.replies++
	return p.next()
}

func (p *Proposal) next() Step {
	majority := Majority(p.voters)
	switch {
	case p.granted >= majority && p.prepare:
		p.begin(false)
		return StepSend
	case p.granted >= majority:
		return StepChosen
	case p.granted+p.voters-p.replies >= majority:
		return StepWait
	case p.refusal == RefusedBallot && p.rounds < MaxRounds:
		p.rounds++
		p.ballot.Round = max(p.highest.Round, p.ballot.Round) + 1
		p.ballot.Proposer = p.identity
		p.value, p.accepted = p.self, Ballot{}
		p.begin(true)
		return StepSend
	default:
		return StepFailed
	}
}

func (p *Proposal) begin(prepare bool) {
	p.prepare = prepare
	p.replies, p.granted = 0, 0
	p.refusal = RefusedNone
	p.highest = Ballot{}
}
