package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/servers"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// shutdownState holds the phases of a graceful shutdown in order. Each phase includes the
// previous ones.
type shutdownState struct {
	stopping      atomic.Bool // not ready, but all requests are served
	rejectClients atomic.Bool // client requests are rejected; calls made by running requests are served
	closeClients  atomic.Bool // client requests are not sent to targets any more
	leaving       atomic.Bool // other nodes are told to stop sending requests
	rejectAll     atomic.Bool // requests of other nodes are rejected too
	closeCalls    atomic.Bool // calls made by running requests are not sent to targets any more
}

// closedTo reports whether client requests, or calls made by running requests, are not sent any more.
func (s *shutdownState) closedTo(isCall bool) bool {
	if isCall {
		return s.closeCalls.Load()
	}
	return s.closeClients.Load()
}

// Timing of a graceful shutdown. The reserves are parts of the grace period, each up to its end.
const (
	notReadyDelay     = 2500 * time.Millisecond // time for clients to see that the node is not ready
	leaveNoticeDelay  = 50 * time.Millisecond   // time for the membership change to reach other nodes
	drainReserve      = 1500 * time.Millisecond // for requests that targets run; none waits for a slot any more
	callReserve       = 850 * time.Millisecond  // for targets whose calls were refused; none waits for a slot any more
	answerReserve     = 700 * time.Millisecond  // for the responses to requests that still run
	exitReserve       = 500 * time.Millisecond  // for process exit
	drainPollInterval = 10 * time.Millisecond
	withdrawInterval  = 200 * time.Millisecond // between withdrawals; also their timeout
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
// of local clients have finished. Requests that wait for a slot, here or at other nodes, are ended early
// enough to be answered, and those that targets run shortly before the end of the grace period.
// Cancellation of force skips the remaining waits.
func (n *Node) stop(force context.Context) {
	n.shutdown.stopping.Store(true)
	n.follower.Resign()
	n.events.Add(eventlog.Node{Change: "stopping", Incarnation: n.incarnation, InFlight: n.inFlight.Load()}, eventlog.State)
	start := time.Now()
	grace := time.Duration(n.settings().Bounds.Grace)
	end := start.Add(grace)
	if n.store != nil {
		n.registration.Deregister()
	}
	wait.Sleep(force, min(notReadyDelay, grace/2))
	n.shutdown.rejectClients.Store(true)
	n.drainClients(force, end.Add(-drainReserve))
	n.shutdown.closeClients.Store(true)
	n.shutdown.leaving.Store(true)
	n.membership.AnnounceLocalRecord()
	wait.Sleep(force, leaveNoticeDelay)
	n.shutdown.rejectAll.Store(true)
	waitForZero(force, &n.inFlight, end.Add(-drainReserve))
	n.drainAll(force, end)
	n.closeServers(force, end)
	n.liveness.Close()
	n.peers.CloseIdle()
	n.target.Close()
	n.events.Add(eventlog.Node{Change: "stopped", Incarnation: n.incarnation, InFlight: n.inFlight.Load(), TookMS: eventlog.Milliseconds(time.Since(start))}, eventlog.State)
}

// drainClients waits until no client's request is in flight, at most until the deadline. Requests that are
// not expected to get a slot by then are withdrawn, so that their clients can send them to another node
// while there is time.
func (n *Node) drainClients(force context.Context, deadline time.Time) {
	for force.Err() == nil && n.clients.Load() > 0 && time.Now().Before(deadline) {
		n.withdrawWaiting(time.Until(deadline), false)
		waitForZero(force, &n.clients, earlier(deadline, time.Now().Add(withdrawInterval)))
	}
}

// drainAll waits until no request is in flight, at most until the time for responses begins. The requests
// that wait for a slot are withdrawn, calls made by running requests last.
func (n *Node) drainAll(force context.Context, end time.Time) {
	n.drainRunning(force, end.Add(-callReserve), false)
	n.shutdown.closeCalls.Store(true)
	n.drainRunning(force, end.Add(-answerReserve), true)
}

// drainRunning waits until no request is in flight, at most until the deadline, and withdraws all that
// wait for a slot.
func (n *Node) drainRunning(force context.Context, deadline time.Time, calls bool) {
	for force.Err() == nil && n.inFlight.Load() > 0 && time.Now().Before(deadline) {
		n.withdrawWaiting(0, calls)
		n.ingress.WithdrawOthers()
		waitForZero(force, &n.inFlight, earlier(deadline, time.Now().Add(withdrawInterval)))
	}
}

// withdrawWaiting takes back the requests of this node that wait for a slot, here or at other nodes, and
// are expected to wait longer than maxWait. It does not wait for the other nodes, which answer the
// requests themselves. A request that is on its way is taken back by a later call.
func (n *Node) withdrawWaiting(maxWait time.Duration, calls bool) {
	withdrawal := &wire.Withdrawal{Node: n.settings().Node, MaxWait: maxWait.Microseconds(), Calls: calls}
	n.ingress.Withdraw(withdrawal)
	for _, address := range n.liveness.InFlight() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), withdrawInterval)
			defer cancel()
			// Not every node answers: an earlier release does not know the message. Its requests end with an
			// unknown outcome.
			_ = n.peers.Withdraw(ctx, address, withdrawal)
		}()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitForZero returns when count is zero, at the deadline or on cancellation.
func waitForZero(force context.Context, count *atomic.Int64, deadline time.Time) {
	for force.Err() == nil && time.Now().Before(deadline) && count.Load() > 0 {
		wait.Sleep(force, drainPollInterval)
	}
}

// closeServers closes the servers when no request is in flight. The requests that are still in flight at
// answerReserve before the end of the grace period, or on cancellation, are ended and answered: their
// outcome is unknown if they may have been executed.
func (n *Node) closeServers(force context.Context, end time.Time) {
	if force.Err() != nil {
		end = time.Now().Add(answerReserve)
	}
	timer := time.AfterFunc(time.Until(end.Add(-answerReserve)), func() { n.endRequests(reply.ErrStopping) })
	defer timer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-exitReserve))
	defer cancel()
	servers.Close(ctx, n.servers, n.inFlight.Load)
	n.endRequests(reply.ErrStopping)
}
