// Package claim decides which executor may run a request of an at-most-once
// class. For each key the voters of the service agree on one executor, for
// ever, by single-decree Paxos; the chosen executor runs the request once out of
// its own memory. No rule here reads a clock: an executor that was frozen for
// any time and wakes up late is still the only one that may run its keys.
//
// The voters of one epoch are named by node and incarnation, so that a process
// that lost its memory is no voter until a new epoch takes it in. A new epoch
// first seals a majority of the old one and carries over every claim found
// there. spec/claim.pml is the model-checked specification; the names in
// brackets in the comments, such as [Accept], are its steps.
package claim

// Executor is one run of one node: the only holder of the right to run a key.
type Executor struct {
	Node        string `avro:"node" json:"node"`
	Incarnation string `avro:"incarnation" json:"incarnation"`
}

// Zero tells whether no executor is named.
func (e Executor) Zero() bool { return e.Node == "" && e.Incarnation == "" }

// Ballot orders the attempts to have an executor chosen. Ballots of a later
// epoch are higher. Round 0 belongs to the key's owner alone and needs no
// prepare step, because nobody can have accepted anything below it.
type Ballot struct {
	Epoch    int64  `avro:"epoch" json:"epoch"`
	Round    int64  `avro:"round" json:"round"`
	Proposer string `avro:"proposer" json:"proposer"` // incarnation
}

// Less orders ballots by epoch, round and proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Entry is what a voter holds about one key.
type Entry struct {
	Key      string   `avro:"key" json:"key"`
	Promised Ballot   `avro:"promised" json:"promised"`
	Accepted Ballot   `avro:"accepted" json:"accepted"`
	Executor Executor `avro:"executor" json:"executor"`
}

// Refusal says why a voter did not go along.
type Refusal string

// The refusals.
const (
	RefusedNone     Refusal = ""
	RefusedEpoch    Refusal = "epoch"     // voter is not active in that epoch
	RefusedBallot   Refusal = "ballot"    // voter promised a higher ballot
	RefusedFull     Refusal = "full"      // voter holds as many keys as it may
	RefusedNotVoter Refusal = "not_voter" // voter set names another incarnation
)

// Request asks a voter to promise (Prepare) or to accept an executor.
type Request struct {
	Prepare  bool     `avro:"prepare"`
	Key      string   `avro:"key"`
	Ballot   Ballot   `avro:"ballot"`
	Executor Executor `avro:"executor"` // of an accept request
}

// Reply is a voter's answer to one request.
type Reply struct {
	Refusal  Refusal  `avro:"refusal"`
	Promised Ballot   `avro:"promised"` // highest promise, when refused for the ballot
	Accepted Ballot   `avro:"accepted"` // of a promise: what was accepted before
	Executor Executor `avro:"executor"`
	Epoch    int64    `avro:"epoch"` // epoch that the voter knows of
}

// Voter is the memory of one voter. It is not safe for concurrent use.
type Voter struct {
	epoch   int64 // epoch that it is active in; 0: none
	sealed  int64 // highest epoch that it will never vote in again
	entries map[string]*Entry
	maximum int
}

// NewVoter makes a voter without memory; it votes in no epoch until Install.
func NewVoter(maximumKeys int) *Voter {
	return &Voter{entries: map[string]*Entry{}, maximum: maximumKeys}
}

// Epoch gives the epoch that the voter is active in; 0 when it is in none.
func (v *Voter) Epoch() int64 {
	if v.sealed >= v.epoch {
		return 0
	}
	return v.epoch
}

// Handle answers a request [Promise] [Accept].
func (v *Voter) Handle(request Request) Reply {
	if request.Ballot.Epoch != v.epoch || v.epoch <= v.sealed {
		return Reply{Refusal: RefusedEpoch, Epoch: max(v.epoch, v.sealed)}
	}
	entry := v.entries[request.Key]
	if entry == nil {
		if len(v.entries) >= v.maximum {
			return Reply{Refusal: RefusedFull, Epoch: v.epoch}
		}
		entry = &Entry{Key: request.Key}
		v.entries[request.Key] = entry
	}
	if request.Ballot.Less(entry.Promised) {
		return Reply{Refusal: RefusedBallot, Promised: entry.Promised, Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
	}
	if skipsPrepare(request) && !entry.Executor.Zero() && entry.Accepted != request.Ballot {
		// A claim carried over from an older epoch must be found by a prepare step.
		return Reply{Refusal: RefusedBallot, Promised: entry.Promised, Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
	}
	entry.Promised = request.Ballot
	if !request.Prepare {
		entry.Accepted, entry.Executor = request.Ballot, request.Executor
	}
	return Reply{Accepted: entry.Accepted, Executor: entry.Executor, Epoch: v.epoch}
}

func skipsPrepare(request Request) bool {
	return !request.Prepare && request.Ballot.Round == 0
}

// Seal ends the voter's part in an epoch and gives what it holds [Seal]. It is
// refused to a voter that never was active in that epoch, because it may lack
// claims; a voter that is sealed already gives the same again. A voter that has
// installed the next epoch gives what it holds there: the claims of the sealed
// epoch are among them, and installed tells that its answer is enough alone.
func (v *Voter) Seal(epoch int64) (entries []Entry, installed bool, refusal Refusal) {
	if v.epoch != epoch && v.epoch != epoch+1 {
		return nil, false, RefusedEpoch
	}
	v.sealed = max(v.sealed, epoch)
	return v.held(), v.epoch == epoch+1, RefusedNone
}

func (v *Voter) held() []Entry {
	entries := make([]Entry, 0, len(v.entries))
	for _, entry := range v.entries {
		if !entry.Executor.Zero() {
			entries = append(entries, *entry)
		}
	}
	return entries
}

// Install makes the voter active in a new epoch with the claims carried over
// [Install]. A second install of the same epoch changes nothing.
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

// Merge joins what a majority of sealed voters gave: for each key the executor
// accepted at the highest ballot. An executor that was chosen stands in every
// merge, whichever majority was asked [Carry].
func Merge(sealed ...[]Entry) []Entry {
	best := map[string]Entry{}
	var order []string
	for _, entries := range sealed {
		for _, entry := range entries {
			known, present := best[entry.Key]
			if !present {
				order = append(order, entry.Key)
			}
			if !present || known.Accepted.Less(entry.Accepted) {
				best[entry.Key] = entry
			}
		}
	}
	merged := make([]Entry, 0, len(best))
	for _, key := range order {
		merged = append(merged, best[key])
	}
	return merged
}

// Majority gives the number of voters that decides.
func Majority(voters int) int { return voters/2 + 1 }
