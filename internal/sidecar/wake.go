package sidecar

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// Times of the look for suspensions. Rights are looked at on a clock that counts them; this is
// for what a node can do sooner than by its timers, which stood still.
const (
	wakeEvery = 100 * time.Millisecond
	// wakeSeen is the suspension that is acted on: shorter than any time-out between nodes,
	// longer than what keeps a process from the processor for a moment.
	wakeSeen = 200 * time.Millisecond
)

// watchWakes acts on the end of each suspension of the machine until ctx ends.
func (n *Node) watchWakes(ctx context.Context) {
	slept := n.slept()
	for ; ctx.Err() == nil; wait.For(ctx, wakeEvery) {
		now := n.slept()
		if now-slept >= wakeSeen {
			n.woke(ctx, now-slept)
			slept = now
		}
	}
}

// slept is for how long the machine was suspended since the start.
func (n *Node) slept() time.Duration {
	steady := n.clock.Steady()
	return n.clock.Boot() - steady
}

// woke asks anew for what may have changed while the machine was suspended: connections that
// rest may have ended, the lease may be over, the others may take the node for gone.
func (n *Node) woke(ctx context.Context, span time.Duration) {
	n.metrics.Wakes.Inc()
	n.events.Add(eventlog.Node{Change: "woke", Incarnation: n.incarnation, InFlight: n.inFlight.Load(), TookMS: eventlog.Milliseconds(span)}, eventlog.State)
	n.peers.CloseIdle()
	n.registration.RenewNow()
	n.freshness.RevalidateNow()
	n.meet(ctx)
}
