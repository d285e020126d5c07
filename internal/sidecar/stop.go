package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// plannedStop is how far the planned stop of a node has come. Each step includes those
// before it.
type plannedStop struct {
	stopping atomic.Bool // not ready; all requests are still served
	closing  atomic.Bool // clients' requests are refused; calls of what runs are not
	leaving  atomic.Bool // the other nodes are told to send nothing more through this one
	closed   atomic.Bool // requests of other nodes are refused too
}

// Times of a planned stop.
const (
	stopLeast    = 2500 * time.Millisecond // until clients have seen that the node is not ready
	leaveBefore  = 50 * time.Millisecond   // the other nodes are told before that; news take a few ms
	leaveReserve = 1500 * time.Millisecond // of the grace, for what the target runs by then
	stopReserve  = 500 * time.Millisecond  // of the grace, for the end of the process
	stopPoll     = 10 * time.Millisecond
)

// begin counts a request as in flight until end is called, and gives the writer of its answer
// and the request to use. refused tells that no more are taken: the request must not be passed
// on, unless it is a call of one that runs. last is asked when the head of the answer is written,
// and has the connection end with it.
func (n *Node) begin(w http.ResponseWriter, r *http.Request, last func() bool, closed *atomic.Bool) (answer *duplex.Writer, request *http.Request, end func(), refused bool) {
	n.inFlight.Add(1)
	answer, request = duplex.Begin(w, r, last)
	return answer, request, func() { n.inFlight.Add(-1) }, closed.Load()
}

// stop is the planned stop: not ready at once, requests are still served, and the process
// ends when none is in flight. The target beside the node goes on: the other nodes send
// it requests until those of the node's own clients have ended.
func (n *Node) stop(hurry context.Context) {
	n.planned.stopping.Store(true)
	n.follower.Resign()
	n.events.Add(eventlog.Node{Change: "stopping", Incarnation: n.incarnation, InFlight: n.inFlight.Load()}, eventlog.State)
	began := time.Now()
	grace := time.Duration(n.settings().Bounds.Grace)
	latest := began.Add(grace - stopReserve)
	if n.store != nil {
		n.registration.Withdraw()
	}
	wait.For(hurry, min(stopLeast, grace/2))
	n.planned.closing.Store(true)
	awaitNone(hurry, &n.clients, began.Add(grace-leaveReserve))
	n.planned.leaving.Store(true)
	n.membership.Changed()
	wait.For(hurry, leaveBefore)
	n.planned.closed.Store(true)
	awaitNone(hurry, &n.inFlight, latest)
	if hurry.Err() == nil {
		n.closeServers(latest)
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.liveness.Close()
	n.peers.CloseIdle()
	n.target.Close()
	n.events.Add(eventlog.Node{Change: "stopped", Incarnation: n.incarnation, InFlight: n.inFlight.Load(), TookMS: eventlog.Milliseconds(time.Since(began))}, eventlog.State)
}

// awaitNone returns when nothing is counted any more, or at the time given.
func awaitNone(hurry context.Context, count *atomic.Int64, latest time.Time) {
	for hurry.Err() == nil && time.Now().Before(latest) && count.Load() > 0 {
		wait.For(hurry, stopPoll)
	}
}

// closeServers closes the servers without cutting a request, at the time given at the latest.
func (n *Node) closeServers(latest time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), latest)
	defer cancel()
	servers.Close(ctx, n.servers, n.inFlight.Load)
}
