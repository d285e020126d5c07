package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// The watches of one follower for each zone take 0.4 of the store's rate at most.
func TestFollowersKeepToTheStoresRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zones int
		rate  float64 // reading calls a second; 0: not known
		rest  time.Duration
	}{
		{"rate not known", 6, 0, 0},
		{"a large store", 6, 16_000, 937500 * time.Nanosecond},
		{"many zones, a small store", 29, 145, 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			n := memberNode("node-0", "node-0")
			changed := *n.settings()
			changed.Zone = "zone-0"
			changed.Store.ReadsPerSecond = tc.rate
			n.checked.Store(&changed)
			var others []wire.NodeRecord
			for i := 1; i < tc.zones*2; i++ {
				name := fmt.Sprintf("node-%d", i)
				others = append(others, wire.NodeRecord{Node: name, Incarnation: name, Zone: fmt.Sprintf("zone-%d", i%tc.zones)})
			}
			n.membership.Merge(others)
			g.Expect(n.follower.fairRest()).To(BeNumerically("~", tc.rest, time.Microsecond))
		})
	}
}
