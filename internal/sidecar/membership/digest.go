package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/wire"
)

// digestBuckets is the number of groups that records are compared by: at 4,000
// nodes a differing record costs its group of 31, at 17 nodes a list of digests.
const digestBuckets = 128

// buckets are the digests of records, grouped by the hash of their nodes' names. Two nodes with
// the same records have the same buckets, in whatever order the records came.
type buckets [digestBuckets]int64

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % digestBuckets) }

func (b *buckets) add(r *wire.NodeRecord) {
	// The sum is that of one record; the digest of many is the exclusive or.
	b[bucketOf(r.Node)] ^= int64(xxhash.Sum64String(r.Node + "\x00" + r.Incarnation + "\x00" + strconv.FormatInt(r.Sequence, 36)))
}

// digest is the digest of all records.
func (b *buckets) digest() (sum int64) {
	for _, bucket := range b {
		sum ^= bucket
	}
	return sum
}

// differing returns which buckets are not the same at another node.
func (b *buckets) differing(others []int64) (differs [digestBuckets]bool) {
	for i := range differs {
		differs[i] = i >= len(others) || others[i] != b[i]
	}
	return differs
}
