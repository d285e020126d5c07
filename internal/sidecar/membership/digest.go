package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/wire"
)

// digestBuckets is the number of groups in which records are compared. One differing record
// causes its whole group to be sent: about 31 records at 4,000 nodes. The list of digests itself
// has a fixed size, whatever the number of nodes.
const digestBuckets = 128

// buckets holds one digest per group of records; records are grouped by the hash of the node
// name. The digests do not depend on the order in which records are added.
type buckets [digestBuckets]int64

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % digestBuckets) }

func (b *buckets) add(r *wire.NodeRecord) {
	// Combining the hashes of records by XOR makes the digest independent of their order.
	b[bucketOf(r.Node)] ^= int64(xxhash.Sum64String(r.Node + "\x00" + r.Incarnation + "\x00" + strconv.FormatInt(r.Sequence, 36)))
}

// digest returns the digest of all records.
func (b *buckets) digest() (sum int64) {
	for _, bucket := range b {
		sum ^= bucket
	}
	return sum
}

// differing returns the buckets whose digests differ from those of another node.
func (b *buckets) differing(others []int64) (differs [digestBuckets]bool) {
	for i := range differs {
		differs[i] = i >= len(others) || others[i] != b[i]
	}
	return differs
}
