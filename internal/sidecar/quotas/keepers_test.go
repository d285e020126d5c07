package quotas

import (
	"testing"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestKeepersKeepLatestRevision(t *testing.T) {
	g := NewWithT(t)
	var k Keepers
	g.Expect(k.Learn(&wire.Keeper{Shard: 1, Node: "a", Revision: 5})).To(BeTrue())
	g.Expect(k.Learn(&wire.Keeper{Shard: 1, Node: "b", Revision: 4})).To(BeFalse())
	g.Expect(k.Get(1).Node).To(Equal("a"))
	k.MarkAbsent(1, 3) // older than the known record
	g.Expect(k.AbsentShards()).To(BeEmpty())
	k.MarkAbsent(1, 6)
	g.Expect(k.AbsentShards()).To(ConsistOf(1))
	g.Expect(k.Learn(&wire.Keeper{Shard: 1, Node: "c", Revision: 7})).To(BeTrue())
	g.Expect(k.AbsentShards()).To(BeEmpty())
	g.Expect(k.Learn(&wire.Keeper{Shard: Shards, Revision: 9})).To(BeFalse())
	g.Expect(k.All()).To(HaveLen(1))
}

// Zones must have distinct ranks for each shard, and no zone may come first for all shards.
func TestZoneRanksAreDistinctAndVaryByShard(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	first := map[string]int{}
	for shard := range Shards {
		ranks := map[int]bool{}
		for _, zone := range zones {
			rank := zoneRank(shard, zone, zones)
			ranks[rank] = true
			if rank == 0 {
				first[zone]++
			}
		}
		g.Expect(ranks).To(HaveLen(len(zones)), "shard %d", shard)
	}
	g.Expect(len(first)).To(BeNumerically(">", 1))
}

// A shard may be taken over before its lease expires only if the process that wrote the record
// has ended.
func TestMayReplaceOnlyEndedProcess(t *testing.T) {
	failed := &wire.Keeper{Node: "a", Address: "1", Incarnation: "old"}
	for _, tc := range []struct {
		name   string
		self   string
		record *wire.KeeperRecord
		want   bool
	}{
		{"record of the failed process", "b", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "old"}, true},
		{"node restarted and keeps the shard", "b", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "new"}, false},
		{"another node took over", "b", &wire.KeeperRecord{Node: "c", Address: "2", Incarnation: "x"}, false},
		{"no record", "b", nil, false},
		{"earlier process of this node", "a", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "older"}, true},
		{"this process", "a", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "own"}, false},
		{"this node's name at another address", "a", &wire.KeeperRecord{Node: "a", Address: "2", Incarnation: "old"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			own := func() *settings.Settings { return &settings.Settings{Node: tc.self} }
			g.Expect(NewServer(Options{Settings: own, Incarnation: "own"}, nil).mayReplace(failed, tc.record)).To(Equal(tc.want))
		})
	}
}
