package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

// walkedServiceTime computes the mean of the known service times from all reports.
func walkedServiceTime(b *Balancer) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, e := range b.order {
		if e.report.ServiceTime > 0 {
			sum += e.usualServiceTime()
			known++
		}
	}
	if known == 0 {
		return defaultServiceTime
	}
	return sum / known
}

// walkedPaceCount counts the targets whose last report states a pace.
func walkedPaceCount(b *Balancer) (count int) {
	for _, e := range b.order {
		if e.report.Pace > 0 {
			count++
		}
	}
	return count
}

// sortedServiceLoad computes the load of the service from a sorted copy of all reports.
func sortedServiceLoad(b *Balancer, now time.Duration) (ServiceLoad, bool) {
	var fresh, stale []slots.Load
	for _, e := range b.order {
		age := now - e.reportedAt
		switch {
		case e.reportedAt == 0 || age >= b.config.ReportTTL || e.report.Slots == 0:
		case age < b.config.OccupancyTTL:
			fresh = append(fresh, e.report)
		default:
			stale = append(stale, e.report)
		}
	}
	if len(fresh) == 0 {
		return ServiceLoad{}, false
	}
	sum := func(reports []slots.Load, limit float64) (s loadSum) {
		for _, report := range reports {
			occupancy := min(report.Occupancy(), limit)
			s.slots += float64(report.Slots)
			s.used += occupancy * float64(report.Slots)
			s.waited += max(occupancy-1, 0) * float64(report.ServiceTime) * float64(report.Slots)
		}
		return s
	}
	occupancies := []float64{}
	for _, report := range fresh {
		occupancies = append(occupancies, report.Occupancy())
	}
	slices.Sort(occupancies)
	limit := max(maxReportOccupancy, outlierFactor*occupancies[(len(occupancies)-1)/2])
	switch {
	case len(b.order) == 1:
		limit = occupancies[0]
	case len(fresh) == 1:
		limit = maxReportOccupancy
	}
	total := sum(fresh, limit)
	if missing := minReports - len(fresh); missing > 0 && len(stale) > 0 {
		total.add(sum(stale, maxStaleOccupancy), min(float64(missing)/float64(len(stale)), 1))
	}
	return ServiceLoad{Occupancy: total.used / total.slots, Wait: time.Duration(total.waited / total.slots)}, true
}

// Guards against sums and references that are kept between calls and differ from what a walk over all
// targets yields, after reports of targets that are no longer listed, replaced instances, expired
// samples and more classes than are tracked.
func TestKeptStateEqualsThatOfAWalk(t *testing.T) {
	for _, tc := range []struct{ targets, classes int }{{1, 3}, {3, 3}, {40, 5}, {10, 2 * maxClasses}} {
		t.Run(fmt.Sprintf("%d targets, %d classes", tc.targets, tc.classes), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, uint64(tc.targets)))
			b := New(DefaultConfig(), "node-0", "zone-0", newSeededRandom(1))
			now, starts := time.Second, 0
			known := []*Endpoint{} // includes targets that are no longer listed
			samples := map[*Endpoint]map[string]*classLatency{}
			update := func() {
				targets := []Target{}
				for i := range tc.targets {
					if random.IntN(4) == 0 && tc.targets > 1 {
						continue
					}
					if random.IntN(20) == 0 {
						starts++
					}
					targets = append(targets, Target{Node: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Instance: fmt.Sprintf("instance-%d-%d", i, starts), Slots: 10})
				}
				b.Update(targets)
				known = append(known, b.order...)
				known = known[max(len(known)-3*tc.targets, 0):]
			}
			// answered keeps samples by class name, like Endpoint.latencies by index.
			answered := func(e *Endpoint, class string, latency time.Duration) {
				b.Answered(now, e, class, 600, latency)
				if b.classes[class] == nil {
					return
				}
				if samples[e] == nil {
					samples[e] = map[string]*classLatency{}
				}
				sample := samples[e][class]
				if sample == nil || now-sample.at >= latencyTTL {
					if len(samples[e]) >= maxClasses {
						clear(samples[e])
					}
					samples[e][class] = &classLatency{mean: float64(latency), at: now, known: true}
					return
				}
				sample.mean += latencyWeight * (float64(latency) - sample.mean)
				sample.at = now
			}
			update()
			for range 6000 {
				now += time.Duration(random.IntN(20)) * time.Millisecond
				if len(known) == 0 || random.IntN(300) == 0 {
					update()
					continue
				}
				e, class := known[random.IntN(len(known))], fmt.Sprintf("class-%d", random.IntN(tc.classes))
				switch random.IntN(4) {
				case 0:
					b.ObserveState(now, now, outcome.TargetState{Instance: e.Instance, RateLimit: float64(1 + random.IntN(20)), Leaving: random.IntN(40) == 0}, random.IntN(2) == 0)
				case 1:
					answered(e, class, time.Duration(random.IntN(300))*time.Millisecond)
				default:
					b.Report(now, e, slots.Load{Slots: random.IntN(20), Running: random.IntN(20), Waiting: random.IntN(3) * random.IntN(100), ServiceTime: time.Duration(random.IntN(3)*random.IntN(50)) * time.Millisecond, Pace: float64(random.IntN(3)) * (0.2 + random.Float64())})
				}
				g.Expect(b.meanServiceTime()).To(Equal(walkedServiceTime(b)))
				g.Expect(b.paceCount).To(Equal(walkedPaceCount(b)))
				for _, e := range b.order {
					if e.state != b.states[e.Instance] {
						t.Fatalf("state of %s: %v, want %v", e.Instance, e.state, b.states[e.Instance])
					}
					sample, found := e.latency(b.profile(Requirement{Class: class}).class), samples[e][class]
					if (sample == nil) != (found == nil) || sample != nil && *sample != *found {
						t.Fatalf("latency of %s at %s: %v, want %v", class, e.Node, sample, found)
					}
				}
				load, loadKnown := b.ServiceLoad(now)
				wantLoad, wantKnown := sortedServiceLoad(b, now)
				g.Expect(loadKnown).To(Equal(wantKnown))
				g.Expect(load).To(Equal(wantLoad))
			}
		})
	}
}
