package quotas

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Shards is the number of shards that tenants are hashed into. Each shard has its own keeper.
// All nodes must use the same number.
const Shards = 4

// shardOf returns the shard that a tenant is hashed to.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// Keepers caches the keeper of each shard, as learned from the store or from other nodes. A
// stale entry is harmless: a node that is no longer the keeper says so in its answer.
type Keepers struct {
	prefix string // key prefix of the records in the store

	mutex   sync.Mutex
	keepers [Shards]*wire.Keeper
	absent  [Shards]bool // the store has no record of the shard
}

// NewKeepers returns an empty cache. prefix is the key prefix of the records in the store.
func NewKeepers(prefix string) *Keepers { return &Keepers{prefix: prefix} }

// key returns the store key of a shard's record.
func (k *Keepers) key(shard int) string { return k.prefix + strconv.Itoa(shard) }

// ApplyStored applies records read from the store. Items with other keys are ignored.
func (k *Keepers) ApplyStored(items []store.Item) {
	for i := range items {
		item := &items[i]
		suffix, found := strings.CutPrefix(item.Key, k.prefix)
		shard, ok := parseShard(suffix)
		if !found || !ok {
			continue
		}
		if item.Deleted {
			k.MarkAbsent(shard, item.Revision)
			continue
		}
		if record, err := wire.KeeperRecordCodec.Decode(item.Value); err == nil {
			k.Learn(&wire.Keeper{Shard: shard, Node: record.Node, Address: record.Address, Incarnation: record.Incarnation, Revision: item.Revision})
		}
	}
}

// MarkMissing marks the shards that have no record among items, which must be a complete
// listing of the store at the given revision.
func (k *Keepers) MarkMissing(items []store.Item, revision int64) {
	for shard := range Shards {
		key := k.key(shard)
		if !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == key }) {
			k.MarkAbsent(shard, revision+1)
		}
	}
}

// parseShard parses the shard number that ends a record's key.
func parseShard(text string) (int, bool) {
	if len(text) != 1 || text[0] < '0' || text[0] >= '0'+Shards {
		return 0, false
	}
	return int(text[0] - '0'), true
}

// Learn records the keeper of a shard. It returns false if the shard number is invalid or the
// known record is at least as recent.
func (k *Keepers) Learn(keeper *wire.Keeper) bool {
	if keeper.Shard < 0 || keeper.Shard >= Shards {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if known := k.keepers[keeper.Shard]; known != nil && known.Revision >= keeper.Revision {
		return false
	}
	k.keepers[keeper.Shard], k.absent[keeper.Shard] = keeper, false
	return true
}

// MarkAbsent marks a shard as having no record as of a revision.
func (k *Keepers) MarkAbsent(shard int, revision int64) {
	if shard < 0 || shard >= Shards {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if known := k.keepers[shard]; known == nil || known.Revision < revision {
		k.absent[shard] = true
	}
}

// Get returns the last known keeper of a shard, or nil.
func (k *Keepers) Get(shard int) *wire.Keeper {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.keepers[shard]
}

// AbsentShards returns the shards that have no record in the store.
func (k *Keepers) AbsentShards() (shards []int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for shard, absent := range k.absent {
		if absent {
			shards = append(shards, shard)
		}
	}
	return shards
}

// All returns the known keepers.
func (k *Keepers) All() []wire.Keeper {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	known := []wire.Keeper{}
	for _, keeper := range k.keepers {
		if keeper != nil {
			known = append(known, *keeper)
		}
	}
	return known
}

// zoneRank returns the position of a zone in the order in which the followers of the zones may
// take over a shard, starting at 0. The order is a rendezvous hash, so all nodes agree on it
// and it differs between shards.
func zoneRank(shard int, zone string, zones []string) int {
	weight := func(zone string) uint64 { return xxhash.Sum64String(zone + "/" + string(rune('0'+shard))) }
	rank := 0
	for _, other := range zones {
		if other != zone && (weight(other) < weight(zone) || weight(other) == weight(zone) && other < zone) {
			rank++
		}
	}
	return rank
}
