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

// shutdownState holds the phases of a graceful shutdown in order. Each phase includes the
// previous ones.
type shutdownState struct {
	stopping      atomic.Bool // not ready, but all requests are served
	rejectClients atomic.Bool // client requests are rejected; calls made by running requests are served
	leaving       atomic.Bool // other nodes are told to stop sending requests
	rejectAll     atomic.Bool // requests of other nodes are rejected too
}

// Timing of a graceful shutdown.
const (
	notReadyDelay     = 2500 * time.Millisecond // time for clients to see that the node is not ready
	leaveNoticeDelay  = 50 * time.Millisecond   // time for the membership change to reach other nodes
	drainReserve      = 1500 * time.Millisecond // part of the grace period for requests that the target still runs
	exitReserve       = 500 * time.Millisecond  // part of the grace period for process exit
	drainPollInterval = 10 * time.Millisecond
)

// beginRequest counts a request as in flight until end is called, and returns the response writer
// and the request to use. If rejected is true, the request must not be forwarded, unless it is a
// call made by a running request. closeConn is called when the response headers are written; if
// it returns true, the connection is closed after the response.
func (n *Node) beginRequest(w http.ResponseWriter, r *http.Request, closeConn func() bool, reject *atomic.Bool) (writer *duplex.Writer, request *http.Request, end func(), rejected bool) {
	n.inFlight.Add(1)
	writer, request = duplex.Begin(w, r, closeConn)
	return writer, request, func() { n.inFlight.Add(-1) }, reject.Load()
}

// stop shuts the node down gracefully: it reports not ready at once and closes the servers when no
// request is in flight. Other nodes keep sending requests to the local target until all requests
// of local clients have finished. Cancellation of force skips the remaining waits.
func (n *Node) stop(force context.Context) {
	n.shutdown.stopping.Store(true)
	n.follower.Resign()
	n.events.Add(eventlog.Node{Change: "stopping", Incarnation: n.incarnation, InFlight: n.inFlight.Load()}, eventlog.State)
	start := time.Now()
	grace := time.Duration(n.settings().Bounds.Grace)
	deadline := start.Add(grace - exitReserve)
	if n.store != nil {
		n.registration.Deregister()
	}
	wait.Sleep(force, min(notReadyDelay, grace/2))
	n.shutdown.rejectClients.Store(true)
	waitForZero(force, &n.clients, start.Add(grace-drainReserve))
	n.shutdown.leaving.Store(true)
	n.membership.AnnounceLocalRecord()
	wait.Sleep(force, leaveNoticeDelay)
	n.shutdown.rejectAll.Store(true)
	waitForZero(force, &n.inFlight, deadline)
	if force.Err() == nil {
		n.closeServers(deadline)
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.liveness.Close()
	n.peers.CloseIdle()
	n.target.Close()
	n.events.Add(eventlog.Node{Change: "stopped", Incarnation: n.incarnation, InFlight: n.inFlight.Load(), TookMS: eventlog.Milliseconds(time.Since(start))}, eventlog.State)
}

// waitForZero returns when count is zero, at the deadline or on cancellation.
func waitForZero(force context.Context, count *atomic.Int64, deadline time.Time) {
	for force.Err() == nil && time.Now().Before(deadline) && count.Load() > 0 {
		wait.Sleep(force, drainPollInterval)
	}
}

// closeServers closes the servers when no request is in flight, or at the deadline.
func (n *Node) closeServers(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	servers.Close(ctx, n.servers, n.inFlight.Load)
}
