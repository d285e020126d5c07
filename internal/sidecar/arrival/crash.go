package arrival

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/quarantine"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// How long a run without a response counts as evidence if its target crashes.
const (
	// cancelledRunTTL applies to runs whose sender disconnected; a request may crash its target
	// some time after it started.
	cancelledRunTTL = time.Second
	// lostRunTTL applies to runs whose response was lost while the address still accepted
	// connections. A replacement instance may be listening already, which its heartbeat reveals.
	lostRunTTL = 3 * time.Second
)

// recordLost records a run whose connection broke and reports whether the target crashed or only
// this response was lost. After a crash it returns when the other nodes know of it, so that the
// request that the sender repeats at once meets nodes that count this crash.
func (i *Ingress) recordLost(ctx context.Context, gate *target.Gate, req *request) outcome.Reason {
	now := i.options.Now()
	gate.Unanswered.Add(now, req.unansweredRun(now+lostRunTTL))
	if !gate.Unanswered.TargetExited(gate.Link.Probe) {
		return outcome.ReasonLost
	}
	i.recordCrash(gate)
	i.options.Quarantine.AwaitBroadcast(ctx)
	return outcome.ReasonTargetEnded
}

// recordCancelled records a run whose sender disconnected; the target may still be executing it.
func (i *Ingress) recordCancelled(gate *target.Gate, req *request) {
	now := i.options.Now()
	gate.Unanswered.Add(now, req.unansweredRun(now+cancelledRunTTL))
}

// handleUnreachable reports a crash if connections are refused while runs are unanswered.
func (i *Ingress) handleUnreachable(gate *target.Gate, err error) {
	if target.IsConnectionRefused(err) && gate.Unanswered.HasRuns(i.options.Now()) {
		i.recordCrash(gate)
	}
}

func (r *request) unansweredRun(until time.Duration) target.UnansweredRun {
	return target.UnansweredRun{
		Run:     quarantine.Run{Fingerprint: r.Fingerprint(), Isolated: r.exclusive, Route: r.Call.Route},
		Request: r.Call.RequestID, ExpiresAt: until,
	}
}

// InstanceReplaced reports a crash if another instance serves the target's address while runs are
// unanswered and the previous instance did not announce its shutdown.
func (i *Ingress) InstanceReplaced(gate *target.Gate) {
	if gate.Unanswered.HasRuns(i.options.Now()) {
		i.recordCrash(gate)
	}
}

// recordCrash records the requests that were in progress when the target crashed. Concurrent calls
// take turns: the first one records the runs of all, and none returns before they are recorded.
func (i *Ingress) recordCrash(gate *target.Gate) {
	i.crash.Lock()
	defer i.crash.Unlock()
	runs, first := gate.Unanswered.TakeRuns(i.options.Now())
	if len(runs) == 0 {
		return
	}
	event := eventlog.Crash{Instance: gate.Instance, Service: gate.Service, Requests: len(runs)}
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		event.Runs = append(event.Runs, eventlog.CrashRun{Request: run.Request, Route: run.Route, Digest: run.Fingerprint.Content.String()})
	}
	if first {
		i.options.Metrics.Crashes.Inc()
	}
	i.options.Events.Add(event, eventlog.State)
	crashed := make([]quarantine.Run, 0, len(runs))
	for _, run := range runs {
		crashed = append(crashed, run.Run)
	}
	i.options.Quarantine.RecordCrash(gate.Instance, gate.Service, crashed)
}

// maxLoggedRuns limits the requests listed in one log event.
const maxLoggedRuns = 100
