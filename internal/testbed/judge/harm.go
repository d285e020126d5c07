package judge

import (
	"net/http"
	"strings"
	"time"
)

func harmOf(path, body string) string { return path + "\x00" + body }

// harmSeen is what the judge saw of harmful requests and of refusals on suspicion.
type harmSeen struct {
	requests  map[string]*harmfulSeen
	restarted map[string]time.Time // processes that came back, by IP
	unstable  time.Time            // when the store was last away
	innocent  int                  // refusals of requests that end no target
}

type harmfulSeen struct {
	path string
	ends []time.Time
	runs []harmfulRun
}

type harmfulRun struct {
	at      time.Time
	touched bool // its machine was in touch
}

// ExpectHarmful tells of a harmful request that clients send.
func (j *Judge) ExpectHarmful(path, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.harm.requests[harmOf(path, body)] = &harmfulSeen{path: path}
}

// Restarted tells that the process of a machine comes back.
func (j *Judge) Restarted(ip string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.harm.restarted[ip] = time.Now()
}

// ranHarmful notes a run of a harmful request; the mutex is held.
func (j *Judge) ranHarmful(one *Run, r *http.Request, body []byte, now time.Time) {
	harm := harmOf(r.URL.Path, string(body))
	seen := j.harm.requests[harm]
	if seen == nil {
		return
	}
	one.harm = harm
	origin := one.request.origin
	touched := now.Sub(j.harmed[origin]) >= Contact && now.Sub(j.harm.restarted[origin]) >= Contact && now.Sub(j.harm.unstable) >= Contact
	seen.runs = append(seen.runs, harmfulRun{at: now, touched: touched})
}

// Crashed tells that a run ends its target.
func (j *Judge) Crashed(one *Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if seen := j.harm.requests[one.harm]; seen != nil {
		seen.ends = append(seen.ends, time.Now())
	}
}

// StoreTrouble waits for some time, in which the store is in trouble: no machine is in touch.
func (j *Judge) StoreTrouble(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(100*time.Millisecond, time.Until(end))) {
		j.mutex.Lock()
		j.harm.unstable = time.Now()
		j.mutex.Unlock()
	}
}

// HeldBackText begins the answer to a request that is held back on suspicion.
const HeldBackText = "ends_targets"

// refusedForHarm notes a refusal on suspicion of a request that ends no target; the mutex
// is held.
func (j *Judge) refusedForHarm(one *request, content string) {
	path, _, _ := strings.Cut(one.uri, "?")
	if !strings.HasPrefix(content, HeldBackText) {
		return
	}
	for _, seen := range j.harm.requests {
		if seen.path == path {
			return
		}
	}
	j.harm.innocent++
}

// Bounds of the rule on requests that end their targets.
const (
	HarmKnownAfter = 3 // targets that it ended
	harmRetries    = 3 // arrivals that are borne later than contact after that
)

// checkHarm holds the harmful requests against the rule; the mutex is held.
func (j *Judge) checkHarm() {
	for _, seen := range j.harm.requests {
		if len(seen.ends) < HarmKnownAfter {
			continue
		}
		from, late := seen.ends[HarmKnownAfter-1].Add(Contact), 0
		for _, run := range seen.runs {
			if run.touched && run.at.After(from) {
				late++
			}
		}
		if late > harmRetries {
			j.breach("BUDGET", "a request that had ended three targets reached targets in %d more retries; it ended %d", late, len(seen.ends))
		}
	}
}

// HarmFigures gives how many targets the harmful requests ended, in order of their paths'
// first run, and how many refusals on suspicion met harmless ones.
func (j *Judge) HarmFigures() (ended, innocent int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, seen := range j.harm.requests {
		ended += len(seen.ends)
	}
	return ended, j.harm.innocent
}
