package membership

import (
	"fmt"
	"testing"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestZoneCount(t *testing.T) {
	for _, zones := range []int{1, 6, 29} {
		g := NewWithT(t)
		n := newTestNode("node-0", "node-0")
		changed := *n.settings()
		changed.Zone = "zone-0"
		n.current.Store(&changed)
		var others []wire.NodeRecord
		for i := 1; i < zones*2; i++ {
			name := fmt.Sprintf("node-%d", i)
			others = append(others, wire.NodeRecord{Node: name, Incarnation: name, Zone: fmt.Sprintf("zone-%d", i%zones)})
		}
		n.membership.Merge(others)
		g.Expect(n.membership.ZoneCount()).To(Equal(zones))
	}
}
