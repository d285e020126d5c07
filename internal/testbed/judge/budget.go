package judge

import (
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
)

// countArrival counts an arrival for the budget of repeats; mu is held. A
// call made for a request that has run more than once counts as a repeat, whichever
// of the runs made it, since the judge cannot see which one did.
func (j *Judge) countArrival(req *request, service string, now time.Time) {
	parent, again := req, len(req.runs) > 0
	if dot := strings.LastIndexByte(req.id, '.'); dot > 0 {
		if len(req.runs) == 0 {
			j.asks[service] = append(j.asks[service], now)
		}
		for parent != nil && !again && dot > 0 {
			parent = j.requests[parent.id[:dot]]
			if parent != nil {
				again = len(parent.runs) > 1
				dot = strings.LastIndexByte(parent.id, '.')
			}
		}
	}
	if again {
		j.repeats[service] = append(j.repeats[service], now)
	}
}

// DeniedAtMost is how many well-formed requests a day nodes may answer with a 4xx of their own.
const DeniedAtMost = 5

// windowStep is the distance between the windows that are checked.
const windowStep = 250 * time.Millisecond

// CheckDay checks the rules that count over a whole day, at its end.
func (j *Judge) CheckDay() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.denied > DeniedAtMost {
		j.breach("DENIED", "%d proper requests got a 4xx of a node's own", j.denied)
	}
	j.checkQuota()
	j.checkHarm()
	j.checkStops()
	for service, repeats := range j.repeats {
		j.checkBudget(service, j.asks[service], repeats)
	}
}

// checkBudget slides the window of the budget over the repeats of a service; mu is held.
func (j *Judge) checkBudget(service string, asks, repeats []time.Time) {
	within := func(times []time.Time, end time.Time) (n int) {
		for _, at := range times {
			if !at.After(end) && at.After(end.Add(-settings.DefaultWindow)) {
				n++
			}
		}
		return n
	}
	if len(repeats) == 0 {
		return
	}
	for end := repeats[0]; end.Before(repeats[len(repeats)-1].Add(settings.DefaultWindow)); end = end.Add(windowStep) {
		most := max(within(asks, end), within(asks, end.Add(-settings.DefaultWindow/2)), within(asks, end.Add(-settings.DefaultWindow)))
		if n := within(repeats, end); float64(n) > settings.DefaultRatio*float64(most)+settings.DefaultAllowance {
			j.breach("BUDGET", "%s got %d repeats against %d requests in a window", service, n, most)
			return
		}
	}
}

// CheckVersion checks that the configuration in force on a machine is the last one.
func (j *Judge) CheckVersion(ip string, inForce, last uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if inForce != last {
		j.breach("CONFIG", "%s has version %d in force instead of %d", ip, inForce, last)
	}
}
