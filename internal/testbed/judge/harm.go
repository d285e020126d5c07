package judge

import (
	"net/http"
	"strings"
	"time"
)

// harmfulKey returns the key of a harmful request.
func harmfulKey(path, body string) string { return path + "\x00" + body }

// harmfulState tracks requests that crash their targets and the rejections based on them.
type harmfulState struct {
	requests       map[string]*harmfulRequest
	restarted      map[string]time.Time // last node restart, by IP
	storeDisturbed time.Time            // last store fault
	falsePositives int                  // rejected requests that crash no target
}

// harmfulRequest records the runs of one harmful request and the crashes it caused.
type harmfulRequest struct {
	path    string
	crashes []time.Time
	runs    []harmfulRun
}

type harmfulRun struct {
	at        time.Time
	connected bool // the origin machine could reach the other nodes and the store
}

// ExpectHarmful registers a harmful request before clients send it.
func (j *Judge) ExpectHarmful(path, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.harm.requests[harmfulKey(path, body)] = &harmfulRequest{path: path}
}

// Restarted records that the node of a machine is starting.
func (j *Judge) Restarted(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.harm.restarted[ip] = time.Now()
}

// recordHarmfulRun records a run of a harmful request. Callers hold mu.
func (j *Judge) recordHarmfulRun(run *Run, r *http.Request, body []byte, now time.Time) {
	harm := harmfulKey(r.URL.Path, string(body))
	seen := j.harm.requests[harm]
	if seen == nil {
		return
	}
	run.harm = harm
	origin := run.request.origin
	connected := now.Sub(j.disturbed[origin]) >= FaultRecovery && now.Sub(j.harm.restarted[origin]) >= FaultRecovery && now.Sub(j.harm.storeDisturbed) >= FaultRecovery
	seen.runs = append(seen.runs, harmfulRun{at: now, connected: connected})
}

// Crashed records that a run crashes its target.
func (j *Judge) Crashed(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen := j.harm.requests[run.harm]; seen != nil {
		seen.crashes = append(seen.crashes, time.Now())
	}
}

// StoreFault marks the store as faulty for a span and returns at its end. Meanwhile no machine
// counts as connected.
func (j *Judge) StoreFault(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(100*time.Millisecond, time.Until(end))) {
		j.mu.Lock()
		j.harm.storeDisturbed = time.Now()
		j.mu.Unlock()
	}
}

// HeldBackReason is the prefix of the response to a request that is rejected because it crashed
// targets before.
const HeldBackReason = "ends_targets"

// countFalsePositive counts a rejection of a request that crashes no target. Callers hold mu.
func (j *Judge) countFalsePositive(req *request, content string) {
	path, _, _ := strings.Cut(req.uri, "?")
	if !strings.HasPrefix(content, HeldBackReason) {
		return
	}
	for _, seen := range j.harm.requests {
		if seen.path == path {
			return
		}
	}
	j.harm.falsePositives++
}

// Limits for requests that crash their targets.
const (
	HarmfulThreshold = 3 // crashes after which nodes must reject it
	maxLateArrivals  = 3 // arrivals allowed once FaultRecovery has passed since then
)

// checkHarmful checks the number of late arrivals of each harmful request. Callers hold mu.
func (j *Judge) checkHarmful() {
	for _, seen := range j.harm.requests {
		if len(seen.crashes) < HarmfulThreshold {
			continue
		}
		from, late := seen.crashes[HarmfulThreshold-1].Add(FaultRecovery), 0
		for _, run := range seen.runs {
			if run.connected && run.at.After(from) {
				late++
			}
		}
		if late > maxLateArrivals {
			j.violate("BUDGET", "a request that had crashed three targets reached targets %d more times; it crashed %d", late, len(seen.crashes))
		}
	}
}

// HarmfulStats returns the number of crashes caused by harmful requests and the number of harmless
// requests that were rejected as harmful.
func (j *Judge) HarmfulStats() (crashes, falsePositives int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, seen := range j.harm.requests {
		crashes += len(seen.crashes)
	}
	return crashes, j.harm.falsePositives
}
