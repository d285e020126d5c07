package targetlink

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sentIDs holds the ids of the requests that were sent on a connection, as hashes: a collision only costs
// a new connection. It is not safe for concurrent use.
type sentIDs struct{ hashes []uint64 }

// maxSentIDs is the number of requests after which a connection is not used again. It bounds the memory
// of a connection to 4 KiB and the time to search it.
const maxSentIDs = 512

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (s *sentIDs) add(id uint64) { s.hashes = append(s.hashes, id) }

func (s *sentIDs) contains(id uint64) bool { return slices.Contains(s.hashes, id) }

func (s *sentIDs) full() bool { return len(s.hashes) >= maxSentIDs }
