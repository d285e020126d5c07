package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// Guards against needs of one request that show up in another, since the buffers into which they are
// decoded are shared: results of several routes arrive at the same time, with lists of any length.
func TestNeedsOfRoutesAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	control := New(Options{Now: func() time.Duration { return time.Second }, Configuration: noConfiguration{}})
	var group sync.WaitGroup
	for calls := 1; calls <= 6; calls++ {
		route, needs := &intent.Route{Name: fmt.Sprintf("route-%d", calls)}, []wire.Need{}
		for i := range calls {
			needs = append(needs, wire.Need{Service: fmt.Sprintf("service-%d-%d", calls, i), Calls: calls, Offered: 0.5})
		}
		group.Go(func() {
			for range 200 {
				control.Admit(route, "", 0)
				control.RecordNeeds(route, needs, true, false)
				control.End(Completion{Route: route, Needs: needs, LatencyBudget: time.Second, Latency: time.Millisecond})
			}
		})
	}
	group.Wait()
	for calls := 1; calls <= 6; calls++ {
		want := map[string]float64{}
		for i := range calls {
			want[fmt.Sprintf("service-%d-%d", calls, i)] = float64(calls)
		}
		got := control.Needs(&intent.Route{Name: fmt.Sprintf("route-%d", calls)})
		g.Expect(got).To(HaveLen(len(want)))
		for service, mean := range want {
			g.Expect(got[service]).To(BeNumerically("~", mean, 1e-9))
		}
	}
}
