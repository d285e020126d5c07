package sidecar

import (
	"testing"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestTheNewestKeeperCounts(t *testing.T) {
	g := NewWithT(t)
	var d directory
	g.Expect(d.learn(&wire.Keeper{Shard: 1, Node: "a", Revision: 5})).To(BeTrue())
	g.Expect(d.learn(&wire.Keeper{Shard: 1, Node: "b", Revision: 4})).To(BeFalse())
	g.Expect(d.of(1).Node).To(Equal("a"))
	d.lapsed(1, 3) // news of a time before
	g.Expect(d.without()).To(BeEmpty())
	d.lapsed(1, 6)
	g.Expect(d.without()).To(ConsistOf(1))
	g.Expect(d.learn(&wire.Keeper{Shard: 1, Node: "c", Revision: 7})).To(BeTrue())
	g.Expect(d.without()).To(BeEmpty())
	g.Expect(d.learn(&wire.Keeper{Shard: quotaShards, Revision: 9})).To(BeFalse())
	g.Expect(d.all()).To(HaveLen(1))
}

// The zones take the groups in turns that all compute alike, and the first turns differ.
func TestZonesTakeTurns(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	first := map[string]int{}
	for shard := range quotaShards {
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
