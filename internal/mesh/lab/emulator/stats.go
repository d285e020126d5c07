package emulator

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// Stats holds the counters of a run.
type Stats struct {
	Attempts        int
	Received        int // calls completed by back ends, whatever the result
	Retries         int // by nodes
	RefusedEarly    int // by upstream hops
	Preempted       int
	Ejections       int
	OrderViolations int           // refusals while less important calls were queued at the same node
	Work            time.Duration // service time spent by back ends
	ShedByLevel     []int
	requests        []*userRequest
}

func (s *Stats) shed(level int) {
	for len(s.ShedByLevel) <= level {
		s.ShedByLevel = append(s.ShedByLevel, 0)
	}
	s.ShedByLevel[level]++
}

// ClassResult counts the requests of a class.
type ClassResult struct {
	Class    string
	Requests int
	Complete int
}

// Result holds the results of a run.
type Result struct {
	Stats
	Events     uint64
	Classes    []ClassResult
	Offered    int
	Complete   int
	Wasted     float64 // share of back-end work spent on requests that did not complete
	MaxRetries int     // highest number of retries by nodes for one user request
	Windows    []Window
}

// Window counts the user requests that arrived in a time window.
type Window struct {
	Start    time.Duration
	Offered  int
	Complete int
}

// Share returns the share of requests that completed, or 1 for an empty window.
func (w Window) Share() float64 {
	if w.Offered == 0 {
		return 1
	}
	return float64(w.Complete) / float64(w.Offered)
}

// WindowLength is the duration of a Window.
const WindowLength = 100 * time.Millisecond

func (s *simulation) result(mix []deployment.Traffic, length time.Duration) *Result {
	result := &Result{Stats: s.stats, Events: s.clock.Count()}
	result.Windows = make([]Window, int(length/WindowLength))
	for index := range result.Windows {
		result.Windows[index].Start = time.Duration(index) * WindowLength
	}
	classIndex := map[string]int{}
	for index, traffic := range mix {
		classIndex[traffic.Class] = index
		result.Classes = append(result.Classes, ClassResult{Class: traffic.Class})
	}
	var useful time.Duration
	for _, request := range s.stats.requests {
		result.add(request, classIndex)
		if request.whole {
			useful += s.workByRequest[request]
		}
	}
	if s.stats.Work > 0 {
		result.Wasted = 1 - float64(useful)/float64(s.stats.Work)
	}
	return result
}

func (r *Result) add(request *userRequest, classIndex map[string]int) {
	class := &r.Classes[classIndex[request.traffic.Class]]
	class.Requests++
	r.Offered++
	r.MaxRetries = max(r.MaxRetries, request.retries)
	window := min(int(request.arrived/WindowLength), len(r.Windows)-1)
	r.Windows[window].Offered++
	if request.whole {
		class.Complete++
		r.Complete++
		r.Windows[window].Complete++
	}
}

// Between returns the completed share of the requests that arrived in [from, to)
// and their rate per second.
func (r *Result) Between(from, to time.Duration) (share, goodput float64) {
	sum := Window{}
	for _, window := range r.Windows {
		if window.Start >= from && window.Start < to {
			sum.Offered += window.Offered
			sum.Complete += window.Complete
		}
	}
	return sum.Share(), float64(sum.Complete) / (to - from).Seconds()
}

// Recovery returns the time from the end of the trigger until the share of
// completed requests over one second reaches 95% of its level before the trigger.
// It reports false if that never happens.
func (r *Result) Recovery(before, end time.Duration) (time.Duration, bool) {
	const stableWindows = 10 // windows
	normal, _ := r.Between(before, before+3*time.Second)
	first := int(end / WindowLength)
	for index := first; index+stableWindows <= len(r.Windows); index++ {
		sum := Window{}
		for _, window := range r.Windows[index : index+stableWindows] {
			sum.Offered += window.Offered
			sum.Complete += window.Complete
		}
		if sum.Share() >= 0.95*normal && r.Windows[index].Share() >= 0.9*normal {
			return r.Windows[index].Start - end, true
		}
	}
	return 0, false
}
