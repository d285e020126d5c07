package judge

import "time"

// Statement is what a target states about itself in a response.
type Statement struct {
	Limited   bool    // it states RateLimit
	RateLimit float64 // requests per second from all senders
	Leaving   bool    // it accepts no new requests
}

// Rule for targets that state a rate limit: from FaultRecovery after the first statement they get at
// most rateFactor times the stated rate plus rateExtra requests in each rateWindow, counted over the
// machines that passed on the statement at least knownAfter before.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateExtra  = 5
	knownAfter = 500 * time.Millisecond
)

// statements tracks what targets state and which machines passed it on.
type statements struct {
	targets  map[string]*statingTarget // by instance
	frozen   map[string]time.Time      // last freeze, by IP
	ignoring map[string]bool           // by IP
}

// statingTarget is a target that has stated something.
type statingTarget struct {
	rates       []statedRate // since the limit was first stated, oldest first
	limitKnown  map[string]time.Time
	leaveKnown  map[string]time.Time
	arrivals    []time.Time // from machines that know the limit, during the last rateWindow
	worstExcess int
}

type statedRate struct {
	at   time.Time
	rate float64
}

func (j *Judge) stating(instance string) *statingTarget {
	target := j.statements.targets[instance]
	if target == nil {
		target = &statingTarget{limitKnown: map[string]time.Time{}, leaveKnown: map[string]time.Time{}}
		j.statements.targets[instance] = target
	}
	return target
}

// StatesRate records that a target states a rate limit from now on.
func (j *Judge) StatesRate(instance string, rate float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	target := j.stating(instance)
	target.rates = append(target.rates, statedRate{time.Now(), rate})
}

// StatesNoRate records that a target states no rate limit any more.
func (j *Judge) StatesNoRate(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	target := j.stating(instance)
	target.rates, target.arrivals = nil, nil
	clear(target.limitKnown)
}

// IgnoresState records that the node of a machine does not follow what targets state, like one of an
// earlier release. Two such nodes cannot keep a rule for targets' statements between them; any
// request that passes another node counts.
func (j *Judge) IgnoresState(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statements.ignoring[ip] = true
}

// Frozen records that a machine is frozen, which it may not notice.
func (j *Judge) Frozen(ip string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statements.frozen[ip] = time.Now()
}

// passedOn records that the machine of a request passed on a response of a target. Callers hold mu.
func (j *Judge) passedOn(run *Run, now time.Time) {
	if run.statement == (Statement{}) {
		return
	}
	target, origin := j.stating(run.instance), run.request.origin
	if run.statement.Limited && len(target.rates) > 0 && target.limitKnown[origin].IsZero() {
		target.limitKnown[origin] = now
	}
	if run.statement.Leaving && target.leaveKnown[origin].IsZero() {
		target.leaveKnown[origin] = now
	}
}

// excusedSince reports whether a machine was restarted or frozen after a time. Callers hold mu.
func (j *Judge) excusedSince(ip string, at time.Time) bool {
	return j.harm.restarted[ip].After(at) || j.statements.frozen[ip].After(at)
}

// checkStatements checks the arrival of a request against what its target states. Callers hold mu.
func (j *Judge) checkStatements(req *request, at Endpoint, now time.Time) {
	target := j.statements.targets[at.Instance]
	if target == nil || j.statements.ignoring[req.origin] && j.statements.ignoring[at.IP] {
		return
	}
	since, known := target.leaveKnown[req.origin]
	if known && !j.excusedSince(req.origin, since) && req.sent.Sub(since) > j.Drain+j.LateTolerance {
		j.violate("DRAIN", "request %s was sent %s after its machine passed on that the target leaves", req.id, req.sent.Sub(since))
	}
	since, known = target.limitKnown[req.origin]
	if !known || now.Sub(since) < knownAfter || j.excusedSince(req.origin, since) || j.disturbed[req.origin].After(since) {
		return
	}
	target.checkRate(j, at.Instance, now)
}

// checkRate counts an arrival from a machine that knows the limit. Callers hold mu.
func (t *statingTarget) checkRate(j *Judge, instance string, now time.Time) {
	t.arrivals = append(t.arrivals, now)
	for now.Sub(t.arrivals[0]) >= rateWindow {
		t.arrivals = t.arrivals[1:]
	}
	if now.Sub(t.rates[0].at) < FaultRecovery {
		return
	}
	allowed := int(rateFactor*t.highestRate(now.Add(-rateWindow))*rateWindow.Seconds() + rateExtra)
	if excess := len(t.arrivals) - allowed; excess > t.worstExcess {
		if t.worstExcess == 0 {
			j.violate("LIMIT", "target %s that states %.1f requests a second got %d in %s, allowed %d", instance, t.rates[len(t.rates)-1].rate, len(t.arrivals), rateWindow, allowed)
		}
		t.worstExcess = excess
	}
}

// highestRate returns the highest rate that the target stated since a time.
func (t *statingTarget) highestRate(since time.Time) float64 {
	highest := 0.0
	for index, stated := range t.rates {
		if index+1 < len(t.rates) && t.rates[index+1].at.Before(since) {
			continue
		}
		highest = max(highest, stated.rate)
	}
	return highest
}
