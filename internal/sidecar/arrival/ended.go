package arrival

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/heldback"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// Times for which a run without an answer counts when its target ends.
const (
	// leftKeep is how long a run counts whose sender went away before the target ended: a
	// request may end its target some time after it began.
	leftKeep = time.Second
	// lostKeep is how long a run counts whose answer was lost at a target that still
	// listened: another instance may already stand there, which its heartbeat tells.
	lostKeep = 3 * time.Second
)

// lost sorts a run whose connection broke: the target may have ended, or have lost this one
// answer.
func (i *Ingress) lost(gate *target.Gate, one *request) outcome.Reason {
	now := i.options.Now()
	gate.Unanswered.Add(now, one.unanswered(now+lostKeep))
	if !gate.Unanswered.Ended(gate.Links.Listens) {
		return outcome.ReasonLost
	}
	i.targetEnded(gate)
	return outcome.ReasonTargetEnded
}

// senderLeft keeps a run whose sender no longer waits: the target may still be at it.
func (i *Ingress) senderLeft(gate *target.Gate, one *request) {
	now := i.options.Now()
	gate.Unanswered.Add(now, one.unanswered(now+leftKeep))
}

// unreachable looks at runs that were kept when nobody listens at the target's address.
func (i *Ingress) unreachable(gate *target.Gate, err error) {
	if target.IsRefused(err) && gate.Unanswered.HoldsAny(i.options.Now()) {
		i.targetEnded(gate)
	}
}

func (one *request) unanswered(until time.Duration) target.UnansweredRun {
	return target.UnansweredRun{
		Run:     heldback.Run{Fingerprint: one.Fingerprint(), Alone: one.alone, Route: one.Call.Route},
		Request: one.Call.RequestID, Until: until,
	}
}

// InstanceReplaced looks at runs that were kept when another instance stands at the target's
// address, though the one before has not said that it leaves.
func (i *Ingress) InstanceReplaced(gate *target.Gate) {
	if gate.Unanswered.HoldsAny(i.options.Now()) {
		i.targetEnded(gate)
	}
}

// targetEnded notes which requests the target was running when it ended.
func (i *Ingress) targetEnded(gate *target.Gate) {
	runs, first := gate.Unanswered.Take(i.options.Now())
	if len(runs) == 0 {
		return
	}
	event := eventlog.Crash{Instance: gate.Instance, Service: gate.Service, Requests: len(runs)}
	for _, run := range runs[:min(len(runs), loggedRuns)] {
		event.Running = append(event.Running, eventlog.CrashRun{Request: run.Request, Route: run.Route, Digest: run.Fingerprint.Content.String()})
	}
	if first {
		i.options.Metrics.Crashes.Inc()
	}
	i.options.Events.Add(event, eventlog.State)
	ended := make([]heldback.Run, 0, len(runs))
	for _, run := range runs {
		ended = append(ended, run.Run)
	}
	i.options.HeldBack.TargetEnded(gate.Instance, gate.Service, ended)
}

// loggedRuns bounds the requests that one line names.
const loggedRuns = 100
