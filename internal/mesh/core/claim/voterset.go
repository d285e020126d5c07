package claim

import (
	"github.com/cespare/xxhash/v2"
)

// VoterSet is the record of one service's voters in the platform's service. It
// is changed by compare-and-swap only: pending with a higher epoch, then active
// once a majority of the new members has installed the claims.
type VoterSet struct {
	Service  string     `json:"service" avro:"service"`
	Epoch    int64      `json:"epoch" avro:"epoch"`
	Members  []Executor `json:"members" avro:"members"`
	Active   bool       `json:"active" avro:"active"`
	Previous []Executor `json:"previous" avro:"previous"` // voters of epoch-1, to be sealed while pending
}

// Contains tells whether the executor is a member.
func (s *VoterSet) Contains(executor Executor) bool {
	for _, member := range s.Members {
		if member == executor {
			return true
		}
	}
	return false
}

// Owner gives the member that may skip the prepare step for a key, by
// rendezvous hashing over the members of the epoch.
func (s *VoterSet) Owner(key string) Executor {
	var owner Executor
	var best uint64
	for _, member := range s.Members {
		if weight := xxhash.Sum64String(key + "\x00" + member.Node); owner.Zero() || weight > best {
			owner, best = member, weight
		}
	}
	return owner
}

// Plan decides on the next voter set. alive are the executors of the service
// that answer now, current is the record in force or nil. It gives nil when
// nothing has to change, or when a change is not safe: claims are lost unless a
// majority of the current members can be sealed.
func Plan(service string, current *VoterSet, alive []Executor, targets int) *VoterSet {
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
	missing := false
	for _, executor := range alive {
		if current.Contains(executor) {
			surviving++
		} else {
			missing = true
		}
	}
	if surviving < Majority(len(current.Members)) || (!missing && surviving == len(current.Members)) {
		return nil
	}
	if !missing && len(alive) < Majority(targets) {
		return nil // shrinking further would let few voters decide
	}
	return &VoterSet{Service: service, Epoch: current.Epoch + 1, Members: alive, Previous: current.Members}
}
