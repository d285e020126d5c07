package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// demand is what a tenant asks for.
type demand struct {
	tenant string
	weight float64
	perSec float64 // slot time in ms per second
}

// fill records demands for some windows, and returns the time at the end.
func fill(m *Meter, demands []demand) time.Duration {
	const step = 10 * time.Millisecond
	now := time.Duration(0)
	for ; now < 5*Window; now += step {
		for _, d := range demands {
			m.Add(now, d.tenant, d.weight, time.Duration(d.perSec*step.Seconds()*float64(time.Millisecond)))
		}
	}
	return now
}

func TestRatio(t *testing.T) {
	for _, tc := range []struct {
		name    string
		demands []demand
		want    map[string]float64
	}{
		{"all ask for the same", []demand{{"a", 1, 100}, {"b", 1, 100}}, map[string]float64{"a": 1, "b": 1}},
		{"one asks for more", []demand{{"a", 1, 100}, {"b", 1, 100}, {"c", 1, 700}}, map[string]float64{"a": 0.25, "b": 0.25, "c": 7}},
		{"a larger weight is entitled to more", []demand{{"a", 10, 1000}, {"b", 1, 100}, {"c", 1, 200}}, map[string]float64{"a": 0.67, "b": 0.92, "c": 2}},
		{"one tenant alone", []demand{{"a", 1, 100}}, map[string]float64{"a": 1}},
		{"a tenant that was not seen", []demand{{"a", 1, 100}}, map[string]float64{"z": 0}},
		{"an unusable weight counts as 1", []demand{{"a", math.NaN(), 100}, {"b", -1, 100}, {"c", math.Inf(1), 100}}, map[string]float64{"a": 1, "b": 1, "c": 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := NewMeter()
			now := fill(m, tc.demands)
			for tenant, want := range tc.want {
				g.Expect(m.Ratio(now, tenant)).To(BeNumerically("~", want, 0.05), tenant)
			}
		})
	}
}

// The ratio of a tenant must grow with what it asks for, however much that is: a ratio that fell once the
// excess was most of the load let the largest tenants through.
func TestRatioGrowsWithTheExcess(t *testing.T) {
	g := NewWithT(t)
	previous := 0.0
	for _, factor := range []float64{0.5, 1, 2, 7, 20, 84, 90} {
		m := NewMeter()
		demands := []demand{{"hot", 1, 10 * factor}}
		for i := range 84 {
			demands = append(demands, demand{fmt.Sprint(i), 1, 10})
		}
		ratio := m.Ratio(fill(m, demands), "hot")
		g.Expect(ratio).To(BeNumerically("~", factor, 0.05*factor))
		g.Expect(ratio).To(BeNumerically(">", previous))
		previous = ratio
	}
}

// Tenants that come and go must not use memory without bound. Those beyond the bound count as one, whose
// weight is that of all of them: equal tenants stay within their shares however many there are.
func TestTenantsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := NewMeter()
	now := time.Duration(0)
	for i := range 10 * MaxTenants {
		m.Add(now, fmt.Sprint(i), 1, 10*time.Millisecond)
		now += time.Millisecond
	}
	g.Expect(len(m.tenants)).To(BeNumerically("<=", MaxTenants))
	g.Expect(m.Ratio(now, "unseen")).To(BeNumerically("~", 1, 0.3), "the mean of the others")
	g.Expect(m.Ratio(now, fmt.Sprint(10*MaxTenants-1))).To(BeNumerically("~", 1, 0.3))
	m.Ratio(now+20*Window, "unseen")
	g.Expect(m.tenants).To(BeEmpty())
}

// A tenant that stops asking must be back within its share after some windows.
func TestRatioFollowsTheDemand(t *testing.T) {
	g := NewWithT(t)
	m := NewMeter()
	now := fill(m, []demand{{"a", 1, 100}, {"b", 1, 100}, {"hot", 1, 700}})
	g.Expect(m.Ratio(now, "hot")).To(BeNumerically(">", 1))
	for range 100 {
		now += 50 * time.Millisecond
		m.Add(now, "a", 1, 5*time.Millisecond)
		m.Add(now, "b", 1, 5*time.Millisecond)
	}
	g.Expect(m.Ratio(now, "hot")).To(BeNumerically("<", 1))
}

// A tenant that begins to ask for much must be distinguished although small ones fill the bound: the least
// active one makes room.
func TestActiveTenantIsDistinguishedAmongManySmallOnes(t *testing.T) {
	g := NewWithT(t)
	m := NewMeter()
	now := time.Duration(0)
	for i := range 8000 {
		m.Add(now, fmt.Sprint(i%400), 1, 10*time.Millisecond)
		if i > 4000 && i%10 == 0 {
			m.Add(now, "hot", 1, 10*time.Millisecond)
		}
		now += time.Millisecond
	}
	g.Expect(m.Ratio(now, "hot")).To(BeNumerically(">", 5))
	g.Expect(m.Ratio(now, "7")).To(BeNumerically("<", 1.5))
}

// A call is part of the sum when its result is reported: without taking it out, a tenant with few calls
// in the window seems to exceed its share.
func TestRatioBesidesExcludesTheCall(t *testing.T) {
	g := NewWithT(t)
	m := NewMeter()
	now := fill(m, []demand{{"a", 1, 100}, {"b", 1, 100}})
	m.Add(now, "rare", 1, 100*time.Millisecond)
	m.Add(now, "rare", 1, 100*time.Millisecond)
	later := now + 300*time.Millisecond
	all, besides := m.Ratio(later, "rare"), m.RatioBesides(later, "rare", now, 100*time.Millisecond)
	g.Expect(besides).To(BeNumerically("~", all/2, 1e-6))
	g.Expect(m.RatioBesides(later, "rare", now, time.Second)).To(BeNumerically(">", 0), "0 would mean unknown")
}

// A call at a gate: counted, and reported with its result. The more tenants are active than are
// distinguished, the more often one makes room.
func BenchmarkCall(b *testing.B) {
	for _, count := range []int{85, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			m := NewMeter()
			names := make([]string, count)
			for i := range names {
				names[i] = fmt.Sprint("tenant", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond // a thousand calls a second
				m.Add(now, names[i%count], 1, 50*time.Millisecond)
				m.RatioBesides(now, names[i%count], now, 50*time.Millisecond)
			}
		})
	}
}
