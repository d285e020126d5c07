package deployment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against treating shares as probabilities when they do not sum to 1.
func TestPickFollowsShares(t *testing.T) {
	g := NewWithT(t)
	mix := []Traffic{{Class: "a", Share: 1}, {Class: "b", Share: 3}}
	counts := map[string]int{}
	for point := range 1000 {
		counts[PickTraffic(mix, float64(point)/1000).Class]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 250, "b": 750}))
}

func TestCapacityCountsHeldSlots(t *testing.T) {
	g := NewWithT(t)
	d := ExpenseClaims()
	rate, bottleneck := d.Capacity(d.Mix)
	g.Expect(bottleneck).To(Equal("receipt-store"))
	// 54 slots; 0.3 of the requests hold one for 29 ms, including the downstream lookup.
	g.Expect(rate).To(BeNumerically("~", 54/(0.3*0.029), 1))
}
