package judge

import (
	"net/http"
	"strings"
	"time"
)

// harmOf returns the key of a harmful request.
func harmOf(path, body string) string { return path + "\x00" + body }

// harmSeen is what was seen of requests that end their targets and of refusals on suspicion.
type harmSeen struct {
	requests  map[string]*harmfulSeen
	restarted map[string]time.Time // processes that came back, by IP
	unstable  time.Time            // when the store was last disturbed
	innocent  int                  // refusals of requests that end no target
}

// harmfulSeen is what was seen of one harmful request.
type harmfulSeen struct {
	path string
	ends []time.Time
	runs []harmfulRun
}

type harmfulRun struct {
	at      time.Time
	inTouch bool // the machine where it began was in touch with the others and the store
}

// ExpectHarmful reports a harmful request before clients send it.
func (j *Judge) ExpectHarmful(path, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.harm.requests[harmOf(path, body)] = &harmfulSeen{path: path}
}

// Restarted reports that the node of a machine starts.
func (j *Judge) Restarted(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.harm.restarted[ip] = time.Now()
}

// ranHarmful records a run of a harmful request; mu is held.
func (j *Judge) ranHarmful(run *Run, r *http.Request, body []byte, now time.Time) {
	harm := harmOf(r.URL.Path, string(body))
	seen := j.harm.requests[harm]
	if seen == nil {
		return
	}
	run.harm = harm
	origin := run.request.origin
	inTouch := now.Sub(j.harmed[origin]) >= Contact && now.Sub(j.harm.restarted[origin]) >= Contact && now.Sub(j.harm.unstable) >= Contact
	seen.runs = append(seen.runs, harmfulRun{at: now, inTouch: inTouch})
}

// Crashed reports that a run ends its target.
func (j *Judge) Crashed(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen := j.harm.requests[run.harm]; seen != nil {
		seen.ends = append(seen.ends, time.Now())
	}
}

// StoreTrouble returns after a span in which the store is disturbed: no machine counts as in
// touch.
func (j *Judge) StoreTrouble(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(100*time.Millisecond, time.Until(end))) {
		j.mu.Lock()
		j.harm.unstable = time.Now()
		j.mu.Unlock()
	}
}

// HeldBackText begins the answer to a request that is held back on suspicion.
const HeldBackText = "ends_targets"

// refusedForHarm counts a refusal on suspicion of a request that ends no target; mu
// is held.
func (j *Judge) refusedForHarm(req *request, content string) {
	path, _, _ := strings.Cut(req.uri, "?")
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
	harmRetries    = 3 // arrivals that are allowed later than Contact after that
)

// checkHarm checks the runs of each harmful request; mu is held.
func (j *Judge) checkHarm() {
	for _, seen := range j.harm.requests {
		if len(seen.ends) < HarmKnownAfter {
			continue
		}
		from, late := seen.ends[HarmKnownAfter-1].Add(Contact), 0
		for _, run := range seen.runs {
			if run.inTouch && run.at.After(from) {
				late++
			}
		}
		if late > harmRetries {
			j.breach("BUDGET", "a request that had ended three targets reached targets in %d more retries; it ended %d", late, len(seen.ends))
		}
	}
}

// HarmFigures returns how many targets harmful requests ended and how many harmless requests
// were refused on suspicion.
func (j *Judge) HarmFigures() (ended, innocent int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, seen := range j.harm.requests {
		ended += len(seen.ends)
	}
	return ended, j.harm.innocent
}
