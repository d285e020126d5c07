package sidecar

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// Timing of suspension detection. Leases expire by a clock that includes suspended time; the
// detection triggers early what timers, which stop during a suspension, would do late.
const (
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is handled: shorter than any timeout
	// between nodes, longer than scheduling delays.
	minSuspension = 200 * time.Millisecond
)

// watchSuspensions detects suspensions of the machine until ctx is done.
func (n *Node) watchSuspensions(ctx context.Context) {
	suspended := n.suspendedTime()
	for ; ctx.Err() == nil; wait.Sleep(ctx, suspensionCheckInterval) {
		now := n.suspendedTime()
		if now-suspended >= minSuspension {
			n.handleResume(ctx, now-suspended)
			suspended = now
		}
	}
}

// suspendedTime returns the total time that the machine has been suspended.
func (n *Node) suspendedTime() time.Duration {
	steady := n.clock.Monotonic()
	return n.clock.Boot() - steady
}

// handleResume refreshes state after a suspension: idle connections may be closed, the lease may
// have expired, and other nodes may have removed this one.
func (n *Node) handleResume(ctx context.Context, suspended time.Duration) {
	n.metrics.Resumes.Inc()
	n.events.Add(eventlog.Node{Change: "woke", Incarnation: n.incarnation, InFlight: n.inFlight.Load(), TookMS: eventlog.Milliseconds(suspended)}, eventlog.State)
	n.peers.CloseIdle()
	n.registration.RenewNow()
	n.freshness.RevalidateNow()
	n.exchangeWithPeers(ctx)
}
