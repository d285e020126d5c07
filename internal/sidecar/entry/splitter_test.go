package entry

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

func TestSplitterFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	s := &weightedSplitter{credit: map[string][]float64{}}
	route := &intent.Route{Name: "split", Backends: []intent.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for range 1000 {
		counts[s.choose(route)]++
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 900, 2))
	g.Expect(counts["c"]).To(BeZero())
}
