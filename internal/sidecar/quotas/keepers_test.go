package quotas

import (
	"testing"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestTheNewestKeeperCounts(t *testing.T) {
	g := NewWithT(t)
	var d Keepers
	g.Expect(d.Learn(&wire.Keeper{Shard: 1, Node: "a", Revision: 5})).To(BeTrue())
	g.Expect(d.Learn(&wire.Keeper{Shard: 1, Node: "b", Revision: 4})).To(BeFalse())
	g.Expect(d.Of(1).Node).To(Equal("a"))
	d.Lapsed(1, 3) // news of a time before
	g.Expect(d.Without()).To(BeEmpty())
	d.Lapsed(1, 6)
	g.Expect(d.Without()).To(ConsistOf(1))
	g.Expect(d.Learn(&wire.Keeper{Shard: 1, Node: "c", Revision: 7})).To(BeTrue())
	g.Expect(d.Without()).To(BeEmpty())
	g.Expect(d.Learn(&wire.Keeper{Shard: Shards, Revision: 9})).To(BeFalse())
	g.Expect(d.All()).To(HaveLen(1))
}

// The zones take the groups in turns that all compute alike, and the first turns differ.
func TestZonesTakeTurns(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	first := map[string]int{}
	for shard := range Shards {
		turns := map[int]bool{}
		for _, zone := range zones {
			turn := turnOf(shard, zone, zones)
			turns[turn] = true
			if turn == 0 {
				first[zone]++
			}
		}
		g.Expect(turns).To(HaveLen(len(zones)), "group %d", shard)
	}
	g.Expect(len(first)).To(BeNumerically(">", 1))
}

// Only a process that is gone is followed before its lease is over.
func TestOnlyAProcessThatIsGoneIsFollowed(t *testing.T) {
	gone := &wire.Keeper{Node: "a", Address: "1", Incarnation: "old"}
	for _, tc := range []struct {
		name   string
		self   string
		record *wire.KeeperRecord
		want   bool
	}{
		{"the process that was found gone", "b", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "old"}, true},
		{"its node has come back and keeps the group", "b", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "new"}, false},
		{"another node has taken over", "b", &wire.KeeperRecord{Node: "c", Address: "2", Incarnation: "x"}, false},
		{"nobody keeps it", "b", nil, false},
		{"an earlier process of the own node", "a", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "older"}, true},
		{"this process", "a", &wire.KeeperRecord{Node: "a", Address: "1", Incarnation: "own"}, false},
		{"the own name at another address", "a", &wire.KeeperRecord{Node: "a", Address: "2", Incarnation: "old"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			own := func() *settings.Settings { return &settings.Settings{Node: tc.self} }
			g.Expect(NewServer(Options{Settings: own, Incarnation: "own"}, nil).mayFollow(gone, tc.record)).To(Equal(tc.want))
		})
	}
}
