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

// Shards is the number of shards into which the tenants fall; each has a keeper. Four spread
// the work over the followers of as many zones. All nodes must use the same number.
const Shards = 4

// shardOf returns the shard of a tenant.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// Keepers is what this node knows of the keeper of each shard, from the store or from other
// nodes. An entry that is out of date costs one message: a node that is not the keeper says so.
type Keepers struct {
	prefix string // of the keepers' keys in the store

	mutex   sync.Mutex
	keepers [Shards]*wire.Keeper
	absent  [Shards]bool // the store has no keeper of the shard
}

// NewKeepers makes an empty list. prefix is that of the records' keys in the store.
func NewKeepers(prefix string) *Keepers { return &Keepers{prefix: prefix} }

// key returns the key of a shard's record in the store.
func (k *Keepers) key(shard int) string { return k.prefix + strconv.Itoa(shard) }

// TakeStored takes in records of the store; other keys are passed over.
func (k *Keepers) TakeStored(items []store.Item) {
	for index := range items {
		item := &items[index]
		name, below := strings.CutPrefix(item.Key, k.prefix)
		shard, is := shardOfKey(name)
		if !below || !is {
			continue
		}
		if item.Gone {
			k.Lapsed(shard, item.Revision)
			continue
		}
		if record, err := wire.KeeperRecordCodec.Decode(item.Value); err == nil {
			k.Learn(&wire.Keeper{Shard: shard, Node: record.Node, Address: record.Address, Incarnation: record.Incarnation, Revision: item.Revision})
		}
	}
}

// NoteAbsent notes the shards that have no record; items are all that the store has as of a
// revision.
func (k *Keepers) NoteAbsent(items []store.Item, at int64) {
	for shard := range Shards {
		key := k.key(shard)
		if !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == key }) {
			k.Lapsed(shard, at+1)
		}
	}
}

// shardOfKey reads the shard's number at the end of a key.
func shardOfKey(text string) (int, bool) {
	if len(text) != 1 || text[0] < '0' || text[0] >= '0'+Shards {
		return 0, false
	}
	return int(text[0] - '0'), true
}

// Learn takes in the keeper of a shard; false: the node knows it or a newer one.
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

// Lapsed notes that the record of a shard is gone as of a revision.
func (k *Keepers) Lapsed(shard int, revision int64) {
	if shard < 0 || shard >= Shards {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if known := k.keepers[shard]; known == nil || known.Revision < revision {
		k.absent[shard] = true
	}
}

// Of returns the keeper of a shard; nil: none is known.
func (k *Keepers) Of(shard int) *wire.Keeper {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.keepers[shard]
}

// Without lists the shards of which the store has no keeper.
func (k *Keepers) Without() (shards []int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for shard, absent := range k.absent {
		if absent {
			shards = append(shards, shard)
		}
	}
	return shards
}

// All lists the known keepers.
func (k *Keepers) All() []wire.Keeper {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	found := []wire.Keeper{}
	for _, keeper := range k.keepers {
		if keeper != nil {
			found = append(found, *keeper)
		}
	}
	return found
}

// turnOf returns the turn of a zone, 0 being the first, among those whose followers may take
// over a shard. The order is the same at all nodes and differs from shard to shard.
func turnOf(shard int, zone string, zones []string) int {
	weight := func(zone string) uint64 { return xxhash.Sum64String(zone + "/" + string(rune('0'+shard))) }
	turn := 0
	for _, other := range zones {
		if other != zone && (weight(other) < weight(zone) || weight(other) == weight(zone) && other < zone) {
			turn++
		}
	}
	return turn
}
