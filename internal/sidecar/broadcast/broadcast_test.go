package broadcast

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

// network passes a message on as nodes do that get it, and counts who got it how often.
type network struct {
	mutex sync.Mutex
	dead  map[string]bool
	taken map[string]int
	sent  map[string]int // by who sent it
}

func (n *network) from(sender string) Send {
	return func(address string, forward []string) error {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.sent[sender]++
		if n.dead[address] {
			return errors.New("nothing listens")
		}
		n.taken[address]++
		ToNodes(forward, n.from(address))
		return nil
	}
}

func TestBroadcastReachesEachNodeOnce(t *testing.T) {
	for _, tc := range []struct {
		name         string
		zones, nodes int // nodes in each zone
		dead         []string
		most         int // messages that the first sender sends
	}{
		{"nobody else", 0, 0, nil, 0},
		{"one zone", 1, 15, nil, 15},
		{"a tree in the own zone", 1, 200, nil, 16},
		{"one message for each other zone", 29, 138, nil, 16 + 28},
		{"two dead nodes at the head of a branch", 2, 20, []string{"1-0", "1-1"}, 16 + 3},
		{"three dead nodes at the head of a branch cut it off", 2, 20, []string{"1-0", "1-1", "1-2"}, 16 + 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := &network{dead: map[string]bool{}, taken: map[string]int{}, sent: map[string]int{}}
				for _, address := range tc.dead {
					n.dead[address] = true
				}
				addresses := map[string][]string{}
				for zone := range tc.zones {
					for node := range tc.nodes {
						name := fmt.Sprint(zone)
						addresses[name] = append(addresses[name], fmt.Sprintf("%d-%d", zone, node))
					}
				}
				ToZones(addresses, "0", n.from("sender"))
				synctest.Wait()
				want := tc.zones*tc.nodes - len(tc.dead)
				if len(tc.dead) == tries {
					want = tc.nodes // the own zone alone
				}
				g.Expect(n.taken).To(HaveLen(want))
				for address, times := range n.taken {
					g.Expect(times).To(Equal(1), address)
				}
				g.Expect(n.sent["sender"]).To(BeNumerically("<=", tc.most))
			})
		})
	}
}
