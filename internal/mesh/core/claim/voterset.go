package claim

import (
	"github.com/cespare/xxhash/v2"
)

// VoterSet is the record of a service's voters in the platform store, updated only by
// compare-and-swap. A new epoch is first written as pending (Active is false) and
// becomes active once a majority of its members has installed the claims.
type VoterSet struct {
	Service  string     `json:"service" avro:"service"`
	Epoch    int64      `json:"epoch" avro:"epoch"`
	Members  []Executor `json:"members" avro:"members"`
	Active   bool       `json:"active" avro:"active"`
	Previous []Executor `json:"previous" avro:"previous"` // voters of the previous epoch, sealed while this one is pending
}

// Contains reports whether the executor is a member.
func (s *VoterSet) Contains(executor Executor) bool {
	for _, member := range s.Members {
		if member == executor {
			return true
		}
	}
	return false
}

// Owner returns the member that may skip the prepare phase for a key, chosen by
// rendezvous hashing over the members.
func (s *VoterSet) Owner(key string) Executor {
	var owner Executor
	var highest uint64
	for _, member := range s.Members {
		if weight := xxhash.Sum64String(key + "\x00" + member.Node); owner.IsZero() || weight > highest {
			owner, highest = member, weight
		}
	}
	return owner
}

// PlanVoterSet returns the next voter set of a service, or nil if no change is needed or
// safe: claims would be lost unless a majority of the current members can be sealed.
// current is the stored record or nil, alive the responsive executors of the service
// and targets the number of its targets.
func PlanVoterSet(service string, current *VoterSet, alive []Executor, targets int) *VoterSet {
	if current == nil {
		if len(alive) < Majority(targets) {
			return nil
		}
		return &VoterSet{Service: service, Epoch: 1, Members: alive}
	}
	if !current.Active {
		return nil
	}
	surviving := 0
	joining := false
	for _, executor := range alive {
		if current.Contains(executor) {
			surviving++
		} else {
			joining = true
		}
	}
	if surviving < Majority(len(current.Members)) || (!joining && surviving == len(current.Members)) {
		return nil
	}
	if !joining && len(alive) < Majority(targets) {
		return nil // keep the set at a majority of the targets or more
	}
	return &VoterSet{Service: service, Epoch: current.Epoch + 1, Members: alive, Previous: current.Members}
}
