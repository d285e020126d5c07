package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
)

// Bounds of what one target adds to the pressure on its service.
const (
	// fullestCounted bounds a report: one target with a long queue is no shortage of
	// the service. It is more where the others have long queues too.
	fullestCounted = 2.5
	// outlier is how many times as full as the middle one a target may count.
	outlier = 2.0
	// leastCounted is the number of targets that a pressure is made from, as far as
	// there are as many. Aged reports make it up; they prove no queue, since it may
	// have gone.
	leastCounted = 4
	fullestAged  = 1.0
)

// Pressure is how full a service is.
type Pressure struct {
	Occupancy float64       // requests at the targets and waiting, over slots
	Wait      time.Duration // for a slot, of one request
}

// Pressure gives that of all targets with fresh reports; false when there is none.
func (b *Balancer) Pressure(now time.Duration) (Pressure, bool) {
	fresh, aged := b.reports(now)
	if len(fresh) == 0 {
		return Pressure{}, false
	}
	counted := sumOf(fresh, b.fullest(fresh))
	if lacking := leastCounted - len(fresh); lacking > 0 && len(aged) > 0 {
		counted.add(sumOf(aged, fullestAged), min(float64(lacking)/float64(len(aged)), 1))
	}
	return Pressure{Occupancy: counted.used / counted.slots, Wait: time.Duration(counted.waited / counted.slots)}, true
}

// reports gives the reports that are fresh and those that are older and still count.
func (b *Balancer) reports(now time.Duration) (fresh, aged []slots.Load) {
	for _, e := range b.order {
		age := now - e.reportedAt
		switch {
		case e.reportedAt == 0 || age >= b.config.ReportLife || e.report.Slots == 0:
		case age < b.config.OccupancyLife:
			fresh = append(fresh, e.report)
		default:
			aged = append(aged, e.report)
		}
	}
	return fresh, aged
}

// fullest is the occupancy that a report counts with at most. A target that is the
// only one of its service is the service.
func (b *Balancer) fullest(reports []slots.Load) float64 {
	if len(b.order) == 1 {
		return math.Inf(1)
	}
	if len(reports) == 1 {
		return fullestCounted
	}
	occupancies := make([]float64, len(reports))
	for i := range reports {
		occupancies[i] = reports[i].Occupancy()
	}
	slices.Sort(occupancies)
	return max(fullestCounted, outlier*occupancies[(len(occupancies)-1)/2])
}

// sums adds up reports.
type sums struct {
	used, slots, waited float64
}

func sumOf(reports []slots.Load, fullest float64) (s sums) {
	for i := range reports {
		count := float64(reports[i].Slots)
		occupancy := min(reports[i].Occupancy(), fullest)
		s.slots += count
		s.used += occupancy * count
		s.waited += max(occupancy-1, 0) * float64(reports[i].Hold) * count
	}
	return s
}

// add adds a part of others.
func (s *sums) add(others sums, part float64) {
	s.used += part * others.used
	s.slots += part * others.slots
	s.waited += part * others.waited
}
