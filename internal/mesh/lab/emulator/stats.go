package emulator

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// Stats are the counts of a run.
type Stats struct {
	Sendings     int
	Received     int // calls that ended at back ends
	Retries      int // by nodes
	RefusedEarly int // by a hop above the target
	Preempted    int
	Ejections    int
	WrongOrder   int           // refusals while less important work waited in the same queue
	Work         time.Duration // service time spent by back ends
	ShedByLevel  []int
	requests     []*userRequest
}

func (s *Stats) shed(level int) {
	for len(s.ShedByLevel) <= level {
		s.ShedByLevel = append(s.ShedByLevel, 0)
	}
	s.ShedByLevel[level]++
}

// ClassResult is what became of the requests of one class.
type ClassResult struct {
	Class    string
	Requests int
	Whole    int
}

// Result is what a run came to.
type Result struct {
	Stats
	Events   uint64
	Classes  []ClassResult
	Offered  int
	Whole    int
	Wasted   float64 // share of the back ends' work for requests that did not complete
	MostRetr int     // most retries of one sending's request by nodes
	Windows  []Window
}

// Window sums up the user requests that arrived in one span of time.
type Window struct {
	Start   time.Duration
	Offered int
	Whole   int
}

// Share is the share of requests that completed; 1 for an empty window.
func (w Window) Share() float64 {
	if w.Offered == 0 {
		return 1
	}
	return float64(w.Whole) / float64(w.Offered)
}

// WindowLength is the span of one window.
const WindowLength = 100 * time.Millisecond

func (w *world) result(mix []deployment.Traffic, length time.Duration) *Result {
	result := &Result{Stats: w.stats, Events: w.clock.Count()}
	result.Windows = make([]Window, int(length/WindowLength))
	for index := range result.Windows {
		result.Windows[index].Start = time.Duration(index) * WindowLength
	}
	place := map[string]int{}
	for index, traffic := range mix {
		place[traffic.Class] = index
		result.Classes = append(result.Classes, ClassResult{Class: traffic.Class})
	}
	var useful time.Duration
	for _, request := range w.stats.requests {
		result.add(request, place)
		if request.whole {
			useful += w.usefulWork[request]
		}
	}
	if w.stats.Work > 0 {
		result.Wasted = 1 - float64(useful)/float64(w.stats.Work)
	}
	return result
}

func (r *Result) add(request *userRequest, place map[string]int) {
	class := &r.Classes[place[request.traffic.Class]]
	class.Requests++
	r.Offered++
	r.MostRetr = max(r.MostRetr, request.retries)
	window := min(int(request.arrived/WindowLength), len(r.Windows)-1)
	r.Windows[window].Offered++
	if request.whole {
		class.Whole++
		r.Whole++
		r.Windows[window].Whole++
	}
}

// Between gives the share of requests that completed out of those that arrived
// in a span, and their number a second.
func (r *Result) Between(from, to time.Duration) (share, goodput float64) {
	sum := Window{}
	for _, window := range r.Windows {
		if window.Start >= from && window.Start < to {
			sum.Offered += window.Offered
			sum.Whole += window.Whole
		}
	}
	return sum.Share(), float64(sum.Whole) / (to - from).Seconds()
}

// Recovery gives the time from the end of the trigger until the share of whole
// requests is back at 95% of what it was before, and stays there for a second;
// false when it never is.
func (r *Result) Recovery(before, end time.Duration) (time.Duration, bool) {
	const stays = 10 // windows
	normal, _ := r.Between(before, before+3*time.Second)
	first := int(end / WindowLength)
	for index := first; index+stays <= len(r.Windows); index++ {
		sum := Window{}
		for _, window := range r.Windows[index : index+stays] {
			sum.Offered += window.Offered
			sum.Whole += window.Whole
		}
		if sum.Share() >= 0.95*normal && r.Windows[index].Share() >= 0.9*normal {
			return r.Windows[index].Start - end, true
		}
	}
	return 0, false
}
