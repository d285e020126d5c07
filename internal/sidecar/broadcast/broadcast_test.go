package broadcast

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

// network forwards messages as nodes do and counts deliveries.
type network struct {
	mutex     sync.Mutex
	dead      map[string]bool
	delivered map[string]int // by recipient
	sent      map[string]int // by sender
}

func (n *network) sendFrom(sender string) Send {
	return func(address string, forward []string) error {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.sent[sender]++
		if n.dead[address] {
			return errors.New("connection refused")
		}
		n.delivered[address]++
		ToNodes(forward, n.sendFrom(address))
		return nil
	}
}

func TestBroadcastReachesEachNodeOnce(t *testing.T) {
	for _, tc := range []struct {
		name         string
		zones, nodes int // nodes in each zone
		dead         []string
		maxSent      int // by the original sender
	}{
		{"no other nodes", 0, 0, nil, 0},
		{"one zone", 1, 15, nil, 15},
		{"tree in the sender's zone", 1, 200, nil, 16},
		{"one message per other zone", 29, 138, nil, 16 + 28},
		{"two dead nodes at the head of a branch", 2, 20, []string{"1-0", "1-1"}, 16 + 3},
		{"branch with three dead nodes at its head is not reached", 2, 20, []string{"1-0", "1-1", "1-2"}, 16 + 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := &network{dead: map[string]bool{}, delivered: map[string]int{}, sent: map[string]int{}}
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
				accepted := ToZones(addresses, "0", n.sendFrom("sender"))
				synctest.Wait()
				g.Expect(accepted).To(BeClosed())
				want := tc.zones*tc.nodes - len(tc.dead)
				if len(tc.dead) == maxAttempts {
					want = tc.nodes // only the sender's zone
				}
				g.Expect(n.delivered).To(HaveLen(want))
				for address, times := range n.delivered {
					g.Expect(times).To(Equal(1), address)
				}
				g.Expect(n.sent["sender"]).To(BeNumerically("<=", tc.maxSent))
			})
		})
	}
}
