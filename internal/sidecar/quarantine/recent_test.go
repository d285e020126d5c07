package quarantine

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/crashes"
	. "github.com/onsi/gomega"
)

func TestRecentSuccessesExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	var r recentSuccesses
	r.add(0, 1)
	g.Expect(r.contains(recentTTL-1, 1)).To(BeTrue())
	g.Expect(r.contains(recentTTL, 1)).To(BeFalse())
	r.add(recentTTL, 1)
	g.Expect(r.contains(recentTTL, 1)).To(BeTrue())
	for variant := range crashes.Variant(3 * maxRecent) {
		r.add(recentTTL, variant)
	}
	g.Expect(len(r.lastSeen)).To(Equal(maxRecent))
	g.Expect(len(r.ring)).To(Equal(maxRecent))
	g.Expect(r.contains(recentTTL, 3*maxRecent-1)).To(BeTrue())
}
