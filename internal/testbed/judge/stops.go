package judge

import "time"

// plannedStops tracks requests that were cut by planned stops.
type plannedStops struct {
	planned map[string]time.Time // last SIGTERM, by IP
	lost    int
}

// maxLost is how many requests planned stops may cut in a run.
const maxLost = 3

// Time limits of a planned stop.
const (
	StopGrace = 6 * time.Second // from SIGTERM to SIGKILL
	StopAfter = time.Second     // after StopGrace, while a cut is still attributed to the stop
)

// Stopping records that the node of a machine receives SIGTERM.
func (j *Judge) Stopping(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops.planned[ip] = time.Now()
}

// readTime is the time after which a node has read a request. One that is cut earlier may count as unread.
const readTime = 200 * time.Millisecond

// ConnectionLost records that a connection was closed before the response arrived. It counts only
// if the request has reached a target or must have been read, and its origin machine had a planned stop
// and no other fault.
func (j *Judge) ConnectionLost(id string, deadline time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	req, now := j.requests[id], time.Now()
	if req == nil || len(req.runs) == 0 && now.Sub(req.sent) <= readTime || now.After(deadline) {
		return
	}
	at, planned := j.stops.planned[req.origin]
	if !planned || now.Sub(at) > StopGrace+StopAfter || now.Sub(j.disturbed[req.origin]) < FaultRecovery+now.Sub(at) {
		return
	}
	j.stops.lost++
}

// checkStops checks the number of requests cut by planned stops. Callers hold mu.
func (j *Judge) checkStops() {
	if j.stops.lost > maxLost {
		j.violate("LOST", "%d requests that were read were cut by planned stops", j.stops.lost)
	}
}

// LostDuringStops returns the number of requests that were cut by planned stops.
func (j *Judge) LostDuringStops() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stops.lost
}
