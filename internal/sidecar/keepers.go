package sidecar

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/wire"
)

// quotaShards is the number of groups into which the tenants fall; each has a keeper. Four
// share the work among the followers of as many zones. All nodes have to reckon with the
// same number.
const quotaShards = 4

// shardOf gives the group of a tenant.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % quotaShards) }

// directory holds which node keeps the quotas of each group, as the store or other nodes
// told it. What is old here only costs a question: a node that keeps them no longer says so.
type directory struct {
	mutex   sync.Mutex
	keepers [quotaShards]*wire.Keeper
	absent  [quotaShards]bool // the store has no keeper of the group
}

// Learn takes in who keeps a group; false when it is not news.
func (d *directory) Learn(one *wire.Keeper) bool {
	if one.Shard < 0 || one.Shard >= quotaShards {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.keepers[one.Shard]; known != nil && known.Revision >= one.Revision {
		return false
	}
	d.keepers[one.Shard], d.absent[one.Shard] = one, false
	return true
}

// Lapsed notes that the store has no keeper of a group any more.
func (d *directory) Lapsed(shard int, revision int64) {
	if shard < 0 || shard >= quotaShards {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.keepers[shard]; known == nil || known.Revision < revision {
		d.absent[shard] = true
	}
}

// Of gives the keeper of a group, nil when none is known.
func (d *directory) Of(shard int) *wire.Keeper {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.keepers[shard]
}

// Without gives the groups that the store has no keeper of.
func (d *directory) Without() (shards []int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for shard, absent := range d.absent {
		if absent {
			shards = append(shards, shard)
		}
	}
	return shards
}

// All gives the keepers that are known.
func (d *directory) All() []wire.Keeper {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found := []wire.Keeper{}
	for _, one := range d.keepers {
		if one != nil {
			found = append(found, *one)
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
