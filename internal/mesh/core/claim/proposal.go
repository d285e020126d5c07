package claim

import "fmt"

// Step is the next action of the driver of a Proposal.
type Step int

// Steps of a proposal.
const (
	// StepWait means wait for more replies.
	StepWait Step = iota
	// StepSend means send Proposal.Request to all voters.
	StepSend
	// StepChosen means that Proposal.Chosen is the executor of the key. It is final.
	StepChosen
	// StepFailed means that the proposal reached no majority. It is final.
	StepFailed
)

// MaxRetries is how often a proposal restarts with a higher ballot.
const MaxRetries = 8

// Proposal is the Paxos proposer of one key. It proposes self and learns the chosen
// executor. It does no I/O: the driver sends Request to all voters, calls HandleReply or
// HandleNoReply for each, and follows the returned Step. It is not safe for concurrent use.
type Proposal struct {
	key        string
	voterCount int
	self       Executor
	ballot     Ballot
	prepare    bool

	proposerID      string // Ballot.Proposer from round 1 on
	replies         int
	acks            int
	highestPromised Ballot // highest promised ballot among the refusals
	accepted        Ballot // highest accepted ballot found by the prepare phase
	value           Executor
	refusal         Refusal
	retries         int
}

// NewProposal returns a proposal of self as the executor of the key. owner must be
// true only for the executor that VoterSet.Owner returns: the owner skips the prepare
// phase in round 0 [FastPropose], where it proposes only itself. attempt must be
// unique among the proposals of self: if two proposals shared a ballot, a delayed
// request of one could be accepted in place of the value that the other learned.
func NewProposal(key string, epoch int64, voterCount int, self Executor, owner bool, attempt uint64) *Proposal {
	p := &Proposal{key: key, voterCount: voterCount, self: self, prepare: !owner}
	p.proposerID = fmt.Sprintf("%s#%d", self.Incarnation, attempt)
	p.ballot = Ballot{Epoch: epoch, Proposer: self.Incarnation}
	if !owner {
		p.ballot.Round = 1
		p.ballot.Proposer = p.proposerID
	}
	p.value = self
	return p
}

// Request returns the request to send to the voters [Propose].
func (p *Proposal) Request() Request {
	return Request{Prepare: p.prepare, Key: p.key, Ballot: p.ballot, Executor: p.value}
}

// Chosen returns the chosen executor. It is valid after StepChosen only.
func (p *Proposal) Chosen() Executor { return p.value }

// Refusal returns the reason of the latest refusal in the current phase.
func (p *Proposal) Refusal() Refusal { return p.refusal }

// HandleReply processes the reply of a voter to the current request.
func (p *Proposal) HandleReply(reply Reply) Step {
	p.replies++
	if reply.Refusal != RefusedNone {
		p.refusal = reply.Refusal
		if p.highestPromised.Less(reply.Promised) {
			p.highestPromised = reply.Promised
		}
		return p.nextStep()
	}
	p.acks++
	if p.prepare && !reply.Executor.IsZero() && p.accepted.Less(reply.Accepted) {
		p.accepted, p.value = reply.Accepted, reply.Executor
	}
	return p.nextStep()
}

// HandleNoReply records that a voter did not reply to the current request.
func (p *Proposal) HandleNoReply() Step {
	p.replies++
	return p.nextStep()
}

func (p *Proposal) nextStep() Step {
	majority := Majority(p.voterCount)
	switch {
	case p.acks >= majority && p.prepare:
		p.startPhase(false)
		return StepSend
	case p.acks >= majority:
		return StepChosen
	case p.acks+p.voterCount-p.replies >= majority:
		return StepWait
	case p.refusal == RefusedBallot && p.retries < MaxRetries:
		p.retries++
		p.ballot.Round = max(p.highestPromised.Round, p.ballot.Round) + 1
		p.ballot.Proposer = p.proposerID
		p.value, p.accepted = p.self, Ballot{}
		p.startPhase(true)
		return StepSend
	default:
		return StepFailed
	}
}

func (p *Proposal) startPhase(prepare bool) {
	p.prepare = prepare
	p.replies, p.acks = 0, 0
	p.refusal = RefusedNone
	p.highestPromised = Ballot{}
}
