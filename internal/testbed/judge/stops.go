package judge

import "time"

// stopsSeen is what the judge saw of requests around planned stops.
type stopsSeen struct {
	planned map[string]time.Time // last SIGTERM, by IP
	lost    int
}

// lostAtMost is how many requests may be cut around planned stops in a day.
const lostAtMost = 3

// StopGrace is the time between SIGTERM and SIGKILL, and the second after it in which a cut
// still counts as one of the stop.
const (
	StopGrace = 6 * time.Second
	StopAfter = time.Second
)

// Stopping tells that a machine's node gets SIGTERM now.
func (j *Judge) Stopping(ip string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.stops.planned[ip] = time.Now()
}

// Cut tells that a connection ended before the answer to a request. It counts around planned
// stops where nothing else has happened to the machine, once the request has reached a target.
func (j *Judge) Cut(id string, deadline time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	one, now := j.requests[id], time.Now()
	if one == nil || len(one.runs) == 0 || now.After(deadline) {
		return
	}
	at, planned := j.stops.planned[one.origin]
	if !planned || now.Sub(at) > StopGrace+StopAfter || now.Sub(j.harmed[one.origin]) < Contact+now.Sub(at) {
		return
	}
	j.stops.lost++
}

// checkStops holds the cut requests against the rule; the mutex is held.
func (j *Judge) checkStops() {
	if j.stops.lost > lostAtMost {
		j.breach("LOST", "%d requests that a target had begun were cut around planned stops", j.stops.lost)
	}
}

// LostAroundStops gives the number of requests that were cut around planned stops.
func (j *Judge) LostAroundStops() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.stops.lost
}
