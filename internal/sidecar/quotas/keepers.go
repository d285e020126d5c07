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

// Shards is the number of groups into which the tenants fall; each has a keeper. Four
// share the work among the followers of as many zones. All nodes have to reckon with the
// same number.
const Shards = 4

// shardOf gives the group of a tenant.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// Keepers is which node keeps the quotas of each group, as the store or other nodes
// told it. What is old here only costs a question: a node that keeps them no longer says so.
type Keepers struct {
	prefix string // of the keepers' keys in the store

	mutex   sync.Mutex
	keepers [Shards]*wire.Keeper
	absent  [Shards]bool // the store has no keeper of the group
}

// NewKeepers makes an empty list; prefix stands before a shard's number in its key.
func NewKeepers(prefix string) *Keepers { return &Keepers{prefix: prefix} }

// Key gives the key in the store that names the keeper of a group.
func (k *Keepers) Key(shard int) string { return k.prefix + strconv.Itoa(shard) }

// TakeStored learns the keepers that the store has.
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

// NoteAbsent notes the groups that the store has no keeper of; items are all that it has at
// a revision.
func (k *Keepers) NoteAbsent(items []store.Item, at int64) {
	for shard := range Shards {
		key := k.Key(shard)
		if !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == key }) {
			k.Lapsed(shard, at+1)
		}
	}
}

// shardOfKey reads the last part of a keeper's key.
func shardOfKey(text string) (int, bool) {
	if len(text) != 1 || text[0] < '0' || text[0] >= '0'+Shards {
		return 0, false
	}
	return int(text[0] - '0'), true
}

// Learn takes in who keeps a group; false when it is not news.
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

// Lapsed notes that the store has no keeper of a group any more.
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

// Of gives the keeper of a group, nil when none is known.
func (k *Keepers) Of(shard int) *wire.Keeper {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.keepers[shard]
}

// Without gives the groups that the store has no keeper of.
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

// All gives the keepers that are known.
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

// turnOf gives the place of a zone among those whose followers take over a group.
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
