package pricing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// observeRare records requests of a route of which every hundredth calls the scarce service for callTime,
// beside large requests that all do.
func observeRare(c *Controller, from, span time.Duration, rare Route, callTime time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	for index := 0; time.Duration(index)*step < span; index++ {
		now := from + time.Duration(index)*step
		usages := []Usage{{Service: "files", SlotTime: 10 * time.Millisecond, Offered: 0.5}}
		if index%100 == 0 {
			usages = append(usages, Usage{Service: "deep", SlotTime: callTime, Offered: 1.5})
		}
		c.Observe(now, rare, usages, true)
		c.Observe(now, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.5}}, true)
	}
	return from + span
}

// A route that needs the scarce service in one of 100 requests must not lose three of four of them to its
// price: refusing them frees next to nothing there.
func TestRareNeedsAreNotRefused(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	now := observeRare(c, 0, 30*time.Second, small, slotTimes["small"])
	g.Expect(c.Admit(now, Request{Route: large}).Probability).To(BeNumerically("<", 0.3))
	decision := c.Admit(now, Request{Route: small})
	g.Expect(decision.Probability).To(Equal(1.0))
	g.Expect(decision.NeedKnown).To(BeTrue(), "gates order its calls")
	g.Expect(decision.RelativeNeed).To(BeNumerically("<", 0.01))
}

// A need that is rare but large, small but constant, or the only one of a service must count: refusing
// these requests frees as much as refusing others, or they are all there is to refuse.
func TestOtherNeedsAreRefused(t *testing.T) {
	t.Run("rare and large", func(t *testing.T) {
		g := NewWithT(t)
		c := New(DefaultConfig())
		now := observeRare(c, 0, 30*time.Second, small, 100*slotTimes["large"])
		g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<", 0.3))
	})
	t.Run("small and constant", func(t *testing.T) {
		g := NewWithT(t)
		c := New(DefaultConfig())
		now := time.Duration(0)
		for ; now < 30*time.Second; now += interval {
			c.Observe(now, small, []Usage{{Service: "deep", SlotTime: time.Millisecond, Offered: 1.5}}, true)
			c.Observe(now, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.5}}, true)
		}
		g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<", 0.3))
	})
	t.Run("the only one", func(t *testing.T) {
		g := NewWithT(t)
		c := New(DefaultConfig())
		now := time.Duration(0)
		for index := 0; now < 30*time.Second; index++ {
			usages := []Usage{{Service: "deep", SlotTime: slotTimes["small"], Offered: 1.5}}
			if index%100 != 0 {
				usages[0].Service = "files"
			}
			c.Observe(now, small, usages, true)
			now += 10 * time.Millisecond
		}
		g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<", 0.5))
	})
}

// A chain that begins to call the service must count there after a few requests.
func TestNewNeedsCountSoon(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	now := observeRare(c, 0, 30*time.Second, small, slotTimes["small"])
	for range 10 {
		now += interval
		c.Observe(now, small, []Usage{{Service: "deep", SlotTime: slotTimes["small"], Offered: 1.5}}, true)
		c.Observe(now, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.5}}, true)
	}
	g.Expect(c.Admit(now, Request{Route: small}).Probability).To(BeNumerically("<", 0.7))
}

// Ranks above a route that hardly needs the service must not count it: a price that does not apply to it
// has nothing to refuse before them.
func TestRareNeedsDoNotCountAsRank(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	important := Route{Name: large.Name, Rank: 1}
	now := time.Duration(0)
	for index := 0; now < 30*time.Second; index++ {
		if index%100 == 0 {
			c.Observe(now, small, []Usage{{Service: "deep", SlotTime: slotTimes["small"], Offered: 1.5}}, true)
		} else {
			c.Observe(now, small, []Usage{{Service: "files", SlotTime: slotTimes["small"], Offered: 0.5}}, true)
		}
		c.Observe(now, important, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.5}}, true)
		now += 10 * time.Millisecond
	}
	g.Expect(c.Admit(now, Request{Route: important}).Merit).To(Equal(0.0))
}

// A service that is new to a route must be refused for its whole need after a few requests: until its mean
// was known, the route went before others with the same need.
func TestNeedsOfNewServicesAreKnownSoon(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	now := time.Duration(0)
	observe := func(span time.Duration, usages ...Usage) {
		for end := now + span; now < end; now += interval {
			c.Observe(now, small, append([]Usage{{Service: "files", SlotTime: 10 * time.Millisecond, Offered: 0.5}}, usages...), true)
			c.Observe(now, large, []Usage{{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.15}}, true)
		}
	}
	observe(30 * time.Second)
	observe(8*interval, Usage{Service: "deep", SlotTime: slotTimes["large"], Offered: 1.15})
	c.refresh(now + rankingInterval)
	g.Expect(c.Admit(now, Request{Route: small}).Service).To(Equal("deep"))
	g.Expect(c.Admit(now, Request{Route: small}).Merit).To(BeNumerically("~", c.Admit(now, Request{Route: large}).Merit, 0.1))
	observe(time.Second)
	c.refresh(now + rankingInterval)
	g.Expect(c.Admit(now, Request{Route: small}).Merit).To(BeNumerically(">", 0.7), "its requests do not call the service any more")
}
