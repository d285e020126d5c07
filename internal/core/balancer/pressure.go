package balancer

import (
	"math"
	"slices"
	"time"
)

// Limits on the contribution of one target to the load of its service.
const (
	// maxReportOccupancy caps the occupancy in one report, since a long queue at one target is
	// not an overload of the service. The cap is higher if the other targets have long queues.
	maxReportOccupancy = 2.5
	// outlierFactor is the cap on a report relative to the median occupancy.
	outlierFactor = 2.0
	// minReports is the number of reports to use. Stale reports make up for missing fresh ones,
	// capped at maxStaleOccupancy because they do not prove a queue.
	minReports        = 4
	maxStaleOccupancy = 1.0
)

// ServiceLoad is the load of a service.
type ServiceLoad struct {
	Occupancy float64       // running and queued requests, over slots
	Wait      time.Duration // expected queueing time of one request
}

// ServiceLoad returns the load of the service, or false if there is no fresh report.
func (b *Balancer) ServiceLoad(now time.Duration) (ServiceLoad, bool) {
	fresh, stale := b.reports(now)
	if len(fresh) == 0 {
		return ServiceLoad{}, false
	}
	total := sumReports(fresh, b.occupancyCap(fresh))
	if missing := minReports - len(fresh); missing > 0 && len(stale) > 0 {
		total.add(sumReports(stale, maxStaleOccupancy), min(float64(missing)/float64(len(stale)), 1))
	}
	return ServiceLoad{Occupancy: total.used / total.slots, Wait: time.Duration(total.waited / total.slots)}, true
}

// reports returns the targets with fresh reports and those whose reports are stale but not expired.
// The results are valid until the next call.
func (b *Balancer) reports(now time.Duration) (fresh, stale []*Endpoint) {
	fresh, stale = b.fresh[:0], b.stale[:0]
	for _, e := range b.order {
		age := now - e.reportedAt
		switch {
		case e.reportedAt == 0 || age >= b.config.ReportTTL || e.report.Slots == 0:
		case age < b.config.OccupancyTTL:
			fresh = append(fresh, e)
		default:
			stale = append(stale, e)
		}
	}
	b.fresh, b.stale = fresh, stale
	return fresh, stale
}

// occupancyCap returns the maximum occupancy that a report may contribute. A single target is
// not capped, since its load is that of the service.
func (b *Balancer) occupancyCap(reported []*Endpoint) float64 {
	if len(b.order) == 1 {
		return math.Inf(1)
	}
	if len(reported) == 1 {
		return maxReportOccupancy
	}
	occupancies, low := b.occupancies[:0], 0
	for _, e := range reported {
		occupancy := e.report.Occupancy()
		occupancies = append(occupancies, occupancy)
		if occupancy <= maxReportOccupancy/outlierFactor {
			low++
		}
	}
	b.occupancies = occupancies
	if low > (len(occupancies)-1)/2 {
		return maxReportOccupancy // the median does not raise the cap, so sorting is not needed
	}
	slices.Sort(occupancies)
	return max(maxReportOccupancy, outlierFactor*occupancies[(len(occupancies)-1)/2])
}

// loadSum is the sum of several reports.
type loadSum struct {
	used, slots, waited float64
}

func sumReports(reported []*Endpoint, occupancyCap float64) (s loadSum) {
	for _, e := range reported {
		count := float64(e.report.Slots)
		occupancy := min(e.report.Occupancy(), occupancyCap)
		s.slots += count
		s.used += occupancy * count
		s.waited += max(occupancy-1, 0) * float64(e.report.ServiceTime) * count
	}
	return s
}

// add adds another sum with a weight.
func (s *loadSum) add(other loadSum, weight float64) {
	s.used += weight * other.used
	s.slots += weight * other.slots
	s.waited += weight * other.waited
}
