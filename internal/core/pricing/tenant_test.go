package pricing

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// playTenants plays 85 tenants, of which one sends factor times its rate, at 1.3 of the capacity without
// what that one sends too much.
func playTenants(hot int, factor float64, change func(*simulation)) *simulation {
	const capacity = 1.31 // load of deepChains at which all slots are in use
	play := deepChains()
	play.tenants = zipfTenants(85, hot, factor)
	play.load = func(now time.Duration) float64 {
		if now < 3*time.Second {
			return 0.5 * capacity
		}
		return 1.3 * capacity
	}
	if change != nil {
		change(play)
	}
	play.run(22 * time.Second)
	return play
}

// othersShare returns the share of the requests of the tenants [first, last) but one that was served after
// the load has settled.
func othersShare(play *simulation, first, last, besides int) float64 {
	requests, served := 0, 0.0
	for tenant := first; tenant < last; tenant++ {
		if tenant != besides {
			count, share := play.tenants.servedShare(tenant, 6, 22)
			requests += count
			served += share * float64(count)
		}
	}
	return served / float64(max(requests, 1))
}

// A tenant that sends seven times its usual rate during a shortage must not take capacity from the
// others, large or small, also if reports are late or lost or gates restart. Without shares all are
// refused alike.
func TestTenantAboveItsShareDoesNotDisplaceOthers(t *testing.T) {
	const tolerance = 0.05
	for _, tc := range []struct {
		name   string
		hot    int // the larger the number, the smaller the tenant
		change func(*simulation)
	}{
		{"a tenant with 2 in 100 requests", 9, nil},
		{"a small tenant", 39, nil},
		{"reports on tenants a second later", 9, func(s *simulation) { s.tenants.late = time.Second }},
		{"all reports half a second later", 9, func(s *simulation) {
			for index := range s.kinds {
				s.kinds[index].tail += 500 * time.Millisecond
			}
		}},
		{"half of the reports lost", 9, func(s *simulation) { s.lostShare = 0.5 }},
		{"gates restart", 9, func(s *simulation) { s.tenants.restart = 12 * time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			usual, play := playTenants(tc.hot, 1, tc.change), playTenants(tc.hot, 7, tc.change)
			for _, group := range [][2]int{{0, 85}, {0, 10}, {10, 40}, {40, 85}} {
				before, share := othersShare(usual, group[0], group[1], tc.hot), othersShare(play, group[0], group[1], tc.hot)
				t.Logf("tenants %v: served %.3f, %.3f without the excess", group, share, before)
				g.Expect(share).To(BeNumerically(">", before-tolerance), "tenants %v", group)
			}
			_, hot := play.tenants.servedShare(tc.hot, 6, 22)
			t.Logf("tenant above its share: %.3f; failed %.3f, without the excess %.3f", hot, play.failedShare(6, 22), usual.failedShare(6, 22))
			g.Expect(hot).To(BeNumerically(">", 0.05), "starved")
		})
	}
}

// The simulation must show the failure that shares answer.
func TestTenantsWithoutShares(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const hot = 9
	without := func(s *simulation) { s.tenants.noShares = true }
	usual, play := playTenants(hot, 1, without), playTenants(hot, 7, without)
	g.Expect(othersShare(play, 0, 85, hot)).To(BeNumerically("<", othersShare(usual, 0, 85, hot)-0.07))
}

// Tenants that all send their usual rates must be served in a shortage as without shares: the reports on
// small tenants vary, which must not cost them.
func TestSharesOfEqualTenantsChangeNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	shares := playTenants(0, 1, nil)
	without := playTenants(0, 1, func(s *simulation) { s.tenants.noShares = true })
	for _, group := range [][2]int{{0, 10}, {10, 40}, {40, 85}} {
		with, before := othersShare(shares, group[0], group[1], -1), othersShare(without, group[0], group[1], -1)
		t.Logf("tenants %v: %.3f, %.3f without shares", group, with, before)
		g.Expect(with).To(BeNumerically("~", before, 0.03), "tenants %v", group)
	}
}

// scarceController returns a controller with a price, at which routes of rank 1 are partly refused.
func scarceController() (*Controller, time.Duration) {
	c := New(DefaultConfig())
	now := time.Duration(0)
	for ; now < 3*time.Second; now += interval {
		c.Observe(now, Route{Name: "important", Rank: 1}, []Usage{{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.4}}, true)
		c.Observe(now, Route{Name: "other"}, []Usage{{Service: "deep", SlotTime: 100 * time.Millisecond, Offered: 1.4}}, true)
	}
	return c, now
}

// A ratio must lower the requests of its tenant only, within the bounds, and only while it is known.
func TestTenantRatio(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ratio   float64       // reported; 0: none
		age     time.Duration // of the report
		tenant  string        // of the request
		inForce float64       // in force; 0: none
	}{
		{"above the share", 3, 0, "a", 3},
		{"within the share", 0.5, 0, "a", 0},
		{"no report", 0, 0, "a", 0},
		{"of another tenant", 3, 0, "b", 0},
		{"no tenant", 3, 0, "", 0},
		{"still used", 3, 1900 * time.Millisecond, "a", 3},
		{"decaying", 3, 4 * time.Second, "a", 1.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			c, now := scarceController()
			c.ObserveTenant(now, "a", "deep", tc.ratio)
			now += tc.age
			request := Request{Route: Route{Name: "important", Rank: 1}, Tenant: tc.tenant}
			got, plain := c.Admit(now, request), c.Admit(now, Request{Route: request.Route})
			if tc.inForce == 0 {
				g.Expect(got).To(Equal(plain))
				return
			}
			g.Expect(got.TenantRatio).To(BeNumerically("~", tc.inForce, 0.01))
			g.Expect(got.ShareWithout).To(Equal(plain.Probability))
			g.Expect(got.Probability).To(BeNumerically("<=", plain.Probability))
			g.Expect(got.Merit).To(BeNumerically("<", plain.Merit))
		})
	}
}

// Route priority comes first: whatever its tenant asks for, a request keeps at least the merit of the
// less important routes there. Requests of the least important ones have no such bound.
func TestTenantRatioKeepsTheOrderOfPriorities(t *testing.T) {
	g := NewWithT(t)
	c, now := scarceController()
	c.ObserveTenant(now, "a", "deep", 100)
	other := c.Admit(now, Request{Route: Route{Name: "other"}})
	g.Expect(c.Admit(now, Request{Route: Route{Name: "important", Rank: 1}, Tenant: "a"}).Merit).To(Equal(other.Merit))
	g.Expect(c.Admit(now, Request{Route: Route{Name: "other"}, Tenant: "a"}).Merit).To(BeNumerically("<", other.Merit-5))
}

// Names of tenants must not accumulate, and services far from scarce need none.
func TestTenantRatiosAreBounded(t *testing.T) {
	g := NewWithT(t)
	c, now := scarceController()
	for i := range 1000 {
		c.ObserveTenant(now+time.Duration(i)*time.Millisecond, strconv.Itoa(i), "deep", 2)
	}
	g.Expect(c.services["deep"].tenants).To(HaveLen(maxTenants))
	g.Expect(c.services["deep"].tenants).To(HaveKey("999"), "the one reported the longest ago makes room")
	c.ObserveCall(now, []Usage{{Service: "idle", Offered: 0.3}})
	c.ObserveTenant(now, "a", "idle", 2)
	c.ObserveTenant(now, "a", "unknown", 2)
	g.Expect(c.services["idle"].tenants).To(BeEmpty())
	g.Expect(c.services).NotTo(HaveKey("unknown"))
}
