package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// Guards against digests that are kept after a change of the records: nodes that differ would take
// themselves for equal and not repair what a lost broadcast left out.
func TestDigestsFollowEachChange(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	n := newTestNode("node-0", "incarnation-0")
	m := n.membership
	sequence := int64(0)
	for range 2000 {
		name := fmt.Sprintf("node-%d", random.IntN(40))
		sequence++
		record := wire.NodeRecord{Node: name, Incarnation: fmt.Sprintf("incarnation-%d", random.IntN(3)), Started: int64(random.IntN(3)), Sequence: sequence}
		switch random.IntN(6) {
		case 0:
			m.Merge([]wire.NodeRecord{record})
		case 1:
			m.MergeStored(&record)
		case 2:
			if known := m.Record(name); known != nil {
				m.Remove(known)
			}
		case 3:
			m.applyRemovals([]wire.NodeRecord{record})
		case 4:
			m.SetIncarnation(name, record.Incarnation)
		case 5:
			m.AnnounceLocalRecord()
		}
		want := &buckets{}
		for _, record := range m.Records() {
			want.add(&record)
		}
		g.Expect(m.digests()).To(Equal(want))
	}
}
