// Package target tracks the local target of a node: its current instance, the gate that limits
// its concurrent requests, and runs that ended without a response.
//
// It owns the roster of instances that have sent heartbeats, the gate of the current instance,
// and for each gate the runs whose response was lost, until it is known whether they crashed the
// target. The logic is in packages core/roster and core/slots, connections are in package
// targetlink. All types are safe for concurrent use.
package target

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
)

// Options configures a Local. All callbacks but NewLink and Now are called without locks held.
type Options struct {
	Now     func() time.Duration    // clock that includes suspended time
	NewLink func() *targetlink.Link // creates the connection pool of a target
	// Identify queries the instance at the target's address; it returns false if the target does
	// not respond.
	Identify func(ctx context.Context) (roster.Report, bool)
	// OnChange is called when the target is replaced, leaves or changes.
	OnChange func(Change)
	// OnIgnored is called with a heartbeat that has no effect; may be nil.
	OnIgnored func(report roster.Report, reason IgnoredReason)
	// OnReplaced is called with the gate of an instance that another one has replaced; may be nil.
	OnReplaced func(gate *Gate)
	// Departures keeps the instances that have announced that they leave; may be nil.
	Departures Departures
	// KnownService reports whether a target may belong to a service; nil: to any.
	KnownService func(service string) bool
	// SkipDeadlineCheck admits requests even if they cannot finish before their deadline.
	SkipDeadlineCheck bool
	// Restarted means that an earlier process of the node may have known what the target states.
	Restarted bool
}

// Departures keeps the instances that have announced that they leave for later processes of the node.
type Departures interface {
	// AwaitLoad waits until the departures recorded by earlier processes have been loaded, or cannot be.
	AwaitLoad()
	// Record records an instance and reports whether later processes will know it.
	Record(instance string) bool
	// Confirm reports that a heartbeat of the instance at the address has arrived.
	Confirm()
}

// Change describes a change of the target.
type Change struct {
	Source   Source
	Departed string // instance that has left or was replaced; empty: none
}

// Source is the evidence that a change of the target follows from.
type Source string

// Sources of changes.
const (
	SourceHeartbeat      Source = "heartbeat"
	SourceIdentification Source = "identification" // response to a health check
	SourceDeregistration Source = "deregistration"
	SourceResponse       Source = "response" // header of a response to a request
	SourceReplacement    Source = "replacement"
	SourceStore          Source = "store" // announced to an earlier process of the node
)

// IgnoredReason is why a heartbeat had no effect. It was acknowledged unless the reason says otherwise.
type IgnoredReason string

// Reasons for ignoring a heartbeat.
const (
	IgnoredStale    IgnoredReason = "stale"    // its instance has left, or a newer heartbeat has arrived
	IgnoredConflict IgnoredReason = "conflict" // another instance holds the address
	// IgnoredUnknownService: no configuration names its service. It is not acknowledged.
	IgnoredUnknownService IgnoredReason = "unknown_service"
)

// Local is the local target of a node: its identity, gate and connections. It is safe for
// concurrent use.
type Local struct {
	options Options

	mu            sync.Mutex
	roster        *roster.Roster
	lastHeartbeat time.Duration
	coldUntil     time.Duration
	gate          *Gate // nil if no target is known
	restarted     bool  // Options.Restarted, until the first gate
}

// New returns a Local without a known target.
func New(options Options) *Local {
	return &Local{options: options, roster: roster.New(), restarted: options.Restarted}
}

// Current returns the gate of the current target, or nil if there is none.
func (l *Local) Current() *Gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate
}

// Report returns the latest report of the target and the time until which it is cold.
func (l *Local) Report() (report roster.Report, coldUntil time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Current(), l.coldUntil
}

// TargetLeft reports whether the last target left permanently and has no successor.
func (l *Local) TargetLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Vacated()
}

// IdentifyTimeout limits an identification request; the acknowledgement of a heartbeat may
// wait for it.
const IdentifyTimeout = 400 * time.Millisecond

// heartbeatTimeout is the time without heartbeats after which another instance may replace
// the current one although the target cannot be identified.
const heartbeatTimeout = 4 * time.Second

// Heartbeat processes a heartbeat. If it returns an error, the heartbeat must not be
// acknowledged.
func (l *Local) Heartbeat(report roster.Report) error {
	if known := l.options.KnownService; known != nil && !known(report.Service) {
		l.ignored(report, IgnoredUnknownService)
		return failure.New(failure.Unavailable, "send the heartbeat again when a configuration names the service", "unknown service %q", report.Service)
	}
	l.awaitDepartures()
	if err := l.applyHeartbeat(report); err != nil {
		return err
	}
	if report.Draining {
		return l.recordDeparture(report.Instance)
	}
	return nil
}

func (l *Local) awaitDepartures() {
	if l.options.Departures != nil {
		l.options.Departures.AwaitLoad()
	}
}

// recordDeparture records that an instance has announced that it leaves. The announcement must not be
// acknowledged if it returns an error.
func (l *Local) recordDeparture(instance string) error {
	if l.options.Departures == nil || l.options.Departures.Record(instance) {
		return nil
	}
	return failure.New(failure.Unavailable, "send it again", "the store has not confirmed the departure of the target")
}

func (l *Local) applyHeartbeat(report roster.Report) error {
	l.mu.Lock()
	verdict := l.roster.Heartbeat(report)
	if verdict == roster.Conflict {
		l.mu.Unlock()
		return l.resolveInstance(report)
	}
	if verdict != roster.Stale {
		l.lastHeartbeat = l.options.Now()
		l.updateGate()
	}
	l.mu.Unlock()
	if verdict != roster.Stale {
		l.confirm()
	}
	switch verdict {
	case roster.Changed:
		l.options.OnChange(Change{Source: SourceHeartbeat})
	case roster.Stale:
		l.ignored(report, IgnoredStale)
	}
	return nil
}

func (l *Local) ignored(report roster.Report, reason IgnoredReason) {
	if l.options.OnIgnored != nil {
		l.options.OnIgnored(report, reason)
	}
}

// resolveInstance identifies the target when a heartbeat conflicts with the known instance.
func (l *Local) resolveInstance(report roster.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), IdentifyTimeout)
	defer cancel()
	found, known := l.options.Identify(ctx)
	l.mu.Lock()
	previous := l.roster.Current().Instance
	silent := l.options.Now()-l.lastHeartbeat > heartbeatTimeout || l.roster.Current().Draining
	switch {
	case known && found.Instance != report.Instance:
		l.mu.Unlock()
		l.ignored(report, IgnoredConflict)
		return nil
	case !known && !silent:
		l.mu.Unlock()
		return failure.New(failure.Unavailable, "send the heartbeat again", "cannot determine which instance holds the target's address")
	case !l.roster.Replace(report): // it has left while it was identified
		l.mu.Unlock()
		l.ignored(report, IgnoredStale)
		return nil
	}
	l.lastHeartbeat = l.options.Now()
	l.updateGate()
	l.mu.Unlock()
	l.confirm()
	l.options.OnChange(Change{Source: SourceHeartbeat, Departed: previous})
	return nil
}

// confirm reports that a heartbeat of the instance at the address has arrived.
func (l *Local) confirm() {
	if l.options.Departures != nil {
		l.options.Departures.Confirm()
	}
}

// SetIdentified sets the target from an identification response if no heartbeat has arrived yet.
func (l *Local) SetIdentified(report roster.Report) {
	l.awaitDepartures()
	l.mu.Lock()
	if l.roster.Current().Instance != "" || l.roster.HasDeparted(report.Instance) {
		l.mu.Unlock()
		return
	}
	l.roster.Replace(report)
	l.lastHeartbeat = l.options.Now()
	l.updateGate()
	l.mu.Unlock()
	l.options.OnChange(Change{Source: SourceIdentification})
}

// Leave records that an instance leaves permanently. If it returns an error, this must not be
// acknowledged.
func (l *Local) Leave(instance string) error {
	l.depart(instance, SourceDeregistration)
	return l.recordDeparture(instance)
}

// Restore records instances that have announced to an earlier process that they leave.
func (l *Local) Restore(instances []string) {
	l.mu.Lock()
	changed := false
	for _, instance := range instances {
		changed = l.roster.MarkLeaving(instance) || changed
	}
	if changed {
		l.updateGate()
	}
	l.mu.Unlock()
	if changed {
		l.options.OnChange(Change{Source: SourceStore})
	}
}

// depart records that an instance leaves permanently and closes its gate.
func (l *Local) depart(instance string, source Source) {
	l.mu.Lock()
	left := l.roster.Depart(instance)
	if left && l.gate != nil {
		l.gate.drain()
		l.gate.Link.Close()
		l.gate = nil
	}
	l.mu.Unlock()
	if left {
		l.options.OnChange(Change{Source: source, Departed: instance})
	}
}

// Close closes the connections to the target.
func (l *Local) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gate != nil {
		l.gate.Link.Close()
	}
}

// MarkReplaced records that another instance holds the target's address.
func (l *Local) MarkReplaced(instance string) {
	l.mu.Lock()
	if l.gate != nil && l.gate.Instance == instance {
		l.notifyReplaced()
	}
	l.mu.Unlock()
	l.depart(instance, SourceReplacement)
}

// notifyReplaced reports the gate of an instance that was replaced. mu must be held.
func (l *Local) notifyReplaced() {
	if l.options.OnReplaced != nil {
		go l.options.OnReplaced(l.gate)
	}
}

// updateGate creates or updates the gate to match the roster. mu must be held.
func (l *Local) updateGate() {
	report := l.roster.Current()
	l.coldUntil = l.options.Now() + report.WarmupRemaining
	if l.gate == nil || l.gate.Instance != report.Instance || l.gate.Service != report.Service {
		if l.gate != nil {
			l.gate.drain()
			l.gate.Link.Close()
			l.notifyReplaced()
		}
		l.gate = newGate(l.options.Now, report, l.options.NewLink())
		if l.options.SkipDeadlineCheck {
			l.gate.core.SkipDeadlineCheck()
		}
		if l.restarted {
			l.gate.core.StartProbation(l.options.Now())
			l.restarted = false
		}
	}
	l.gate.setSlots(report.Slots)
	if report.Draining {
		l.gate.drain()
	}
}
