package judge

import "time"

// stopsSeen is what was seen of requests around planned stops.
type stopsSeen struct {
	planned map[string]time.Time // last SIGTERM, by IP
	lost    int
}

// lostAtMost is how many requests may be cut around planned stops in a day.
const lostAtMost = 3

// Times of a planned stop.
const (
	StopGrace = 6 * time.Second // between SIGTERM and SIGKILL
	StopAfter = time.Second     // after it, in which a cut still counts as one of the stop
)

// Stopping reports that the node of a machine is asked to stop.
func (j *Judge) Stopping(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops.planned[ip] = time.Now()
}

// Cut reports that a connection ended before the answer to a request. It counts around planned
// stops where nothing else has happened to the machine, once the request has reached a target.
func (j *Judge) Cut(id string, deadline time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req, now := j.requests[id], time.Now()
	if req == nil || len(req.runs) == 0 || now.After(deadline) {
		return
	}
	at, planned := j.stops.planned[req.origin]
	if !planned || now.Sub(at) > StopGrace+StopAfter || now.Sub(j.harmed[req.origin]) < Contact+now.Sub(at) {
		return
	}
	j.stops.lost++
}

// checkStops checks how many requests were cut; mu is held.
func (j *Judge) checkStops() {
	if j.stops.lost > lostAtMost {
		j.breach("LOST", "%d requests that a target had begun were cut around planned stops", j.stops.lost)
	}
}

// LostAroundStops returns the number of requests that were cut around planned stops.
func (j *Judge) LostAroundStops() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stops.lost
}
