// Package claim elects the executor of each key of an at-most-once class. The voters
// of a service choose one executor per key by single-decree Paxos; the choice is
// permanent. The executor records its keys in memory and runs each once. The protocol
// depends on no clock, so a process that was suspended for any time stays safe.
//
// Voters are identified by node and incarnation: a restarted process has lost its
// state and does not vote until a new epoch includes it. A new epoch starts by sealing
// a majority of the previous voters and carrying over their claims.
//
// spec/claim.pml is the model-checked specification. Names in brackets, such as
// [Accept], refer to its steps.
package claim

// Executor identifies one incarnation (process lifetime) of a node.
type Executor struct {
	Node        string `avro:"node" json:"node"`
	Incarnation string `avro:"incarnation" json:"incarnation"`
}

// IsZero reports whether e is the zero value, which stands for no executor.
func (e Executor) IsZero() bool { return e.Node == "" && e.Incarnation == "" }

// Ballot is a Paxos ballot number. Round 0 is reserved for the owner of the key and
// needs no prepare phase, because no lower ballot of the epoch exists.
type Ballot struct {
	Epoch    int64  `avro:"epoch" json:"epoch"`
	Round    int64  `avro:"round" json:"round"`
	Proposer string `avro:"proposer" json:"proposer"` // incarnation, from round 1 on followed by the attempt
}

// Less compares ballots by epoch, then round, then proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Entry is the state of a voter for one key.
type Entry struct {
	Key      string   `avro:"key" json:"key"`
	Promised Ballot   `avro:"promised" json:"promised"`
	Accepted Ballot   `avro:"accepted" json:"accepted"`
	Executor Executor `avro:"executor" json:"executor"`
}

// Refusal is the reason why a voter refused a request.
type Refusal string

// Refusal reasons.
const (
	RefusedNone     Refusal = ""
	RefusedEpoch    Refusal = "epoch"     // voter is not active in the requested epoch
	RefusedBallot   Refusal = "ballot"    // voter promised a higher ballot, or round 0 met a carried claim
	RefusedFull     Refusal = "full"      // voter has reached its maximum number of keys
	RefusedNotVoter Refusal = "not_voter" // request is addressed to another incarnation or service
)

// Request is a Paxos prepare or accept request.
type Request struct {
	Prepare  bool     `avro:"prepare"`
	Key      string   `avro:"key"`
	Ballot   Ballot   `avro:"ballot"`
	Executor Executor `avro:"executor"` // proposed value; ignored in a prepare request
}

// Reply is the reply of a voter to a Request.
type Reply struct {
	Refusal  Refusal  `avro:"refusal"`
	Promised Ballot   `avro:"promised"` // highest promised ballot, if Refusal is RefusedBallot
	Accepted Ballot   `avro:"accepted"` // ballot at which Executor was accepted
	Executor Executor `avro:"executor"`
	Epoch    int64    `avro:"epoch"` // latest epoch that the voter has installed or sealed
}

// Voter is the Paxos acceptor of one service. It is not safe for concurrent use.
type Voter struct {
	epoch   int64 // latest installed epoch; 0 for none
	sealed  int64 // highest sealed epoch; the voter never votes in it again
	entries map[string]*Entry
	maxKeys int
}

// NewVoter returns an empty voter. It refuses all requests until Install is called.
func NewVoter(maxKeys int) *Voter {
	return &Voter{entries: map[string]*Entry{}, maxKeys: maxKeys}
}

// Epoch returns the epoch in which the voter is active, or 0.
func (v *Voter) Epoch() int64 {
	if v.sealed >= v.epoch {
		return 0
	}
	return v.epoch
}

// Handle processes a prepare or accept request [Promise] [Accept].
func (v *Voter) Handle(request Request) Reply {
	if request.Ballot.Epoch != v.epoch || v.epoch <= v.sealed {
		return Reply{Refusal: RefusedEpoch, Epoch: max(v.epoch, v.sealed)}
	}
	entry := v.entries[request.Key]
	if entry == nil {
		if len(v.entries) >= v.maxKeys {
			return Reply{Refusal: RefusedFull, Epoch: v.epoch}
		}
		entry = &Entry{Key: request.Key}
		v.entries[request.Key] = entry
	}
	if request.Ballot.Less(entry.Promised) {
		return Reply{Refusal: RefusedBallot, Promised: entry.Promised, Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
	}
	if skipsPrepare(request) && !entry.Executor.IsZero() && entry.Accepted != request.Ballot {
		// A claim carried over from an earlier epoch must be learned by a prepare phase.
		return Reply{Refusal: RefusedBallot, Promised: entry.Promised, Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
	}
	entry.Promised = request.Ballot
	if !request.Prepare {
		entry.Accepted, entry.Executor = request.Ballot, request.Executor
	}
	return Reply{Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
}

// skipsPrepare reports whether the request is an accept request of round 0.
func skipsPrepare(request Request) bool {
	return !request.Prepare && request.Ballot.Round == 0
}

// Seal stops the voter from voting in an epoch and returns its accepted entries
// [Seal]. It is idempotent. A voter that was never active in the epoch refuses,
// because it may lack claims. A voter that has installed the next epoch returns the
// entries of that epoch with installed set: they include all claims of the sealed
// epoch, so no other voter needs to be sealed.
func (v *Voter) Seal(epoch int64) (entries []Entry, installed bool, refusal Refusal) {
	if v.epoch != epoch && v.epoch != epoch+1 {
		return nil, false, RefusedEpoch
	}
	v.sealed = max(v.sealed, epoch)
	return v.acceptedEntries(), v.epoch == epoch+1, RefusedNone
}

func (v *Voter) acceptedEntries() []Entry {
	entries := make([]Entry, 0, len(v.entries))
	for _, entry := range v.entries {
		if !entry.Executor.IsZero() {
			entries = append(entries, *entry)
		}
	}
	return entries
}

// Install activates the voter in a new epoch with the claims carried over from the
// previous one [Install]. Installing the same epoch again has no effect.
func (v *Voter) Install(epoch int64, carried []Entry) Refusal {
	if epoch == v.epoch {
		return RefusedNone
	}
	if epoch <= v.epoch || epoch <= v.sealed {
		return RefusedEpoch
	}
	v.entries = make(map[string]*Entry, len(carried))
	for _, entry := range carried {
		entry.Promised = entry.Accepted
		v.entries[entry.Key] = &entry
	}
	v.epoch = epoch
	return RefusedNone
}

// Merge combines the entries of a majority of sealed voters: for each key it returns
// the entry accepted at the highest ballot. Every majority includes a voter that
// accepted a chosen executor, so no chosen executor is lost [Carry].
func Merge(snapshots ...[]Entry) []Entry {
	highest := map[string]Entry{}
	var order []string
	for _, entries := range snapshots {
		for _, entry := range entries {
			existing, ok := highest[entry.Key]
			if !ok {
				order = append(order, entry.Key)
			}
			if !ok || existing.Accepted.Less(entry.Accepted) {
				highest[entry.Key] = entry
			}
		}
	}
	merged := make([]Entry, 0, len(highest))
	for _, key := range order {
		merged = append(merged, highest[key])
	}
	return merged
}

// Majority returns the size of the smallest majority of voters.
func Majority(voters int) int { return voters/2 + 1 }
