package heldback

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/crashes"
	. "github.com/onsi/gomega"
)

func TestGoodEndsAreRememberedForAWhileWithinBounds(t *testing.T) {
	g := NewWithT(t)
	var r recentlyGood
	r.add(0, 1)
	g.Expect(r.holds(goodFor-1, 1)).To(BeTrue())
	g.Expect(r.holds(goodFor, 1)).To(BeFalse())
	r.add(goodFor, 1)
	g.Expect(r.holds(goodFor, 1)).To(BeTrue())
	for variant := range crashes.Variant(3 * goodKept) {
		r.add(goodFor, variant)
	}
	g.Expect(len(r.at)).To(Equal(goodKept))
	g.Expect(len(r.ring)).To(Equal(goodKept))
	g.Expect(r.holds(goodFor, 3*goodKept-1)).To(BeTrue())
}
