// Package drain decides when a node may close its connections during a graceful
// shutdown. It does no I/O and reads no clock; the node passes in elapsed times.
package drain

import "time"

// Grace is the time for which a stopping node keeps idle connections open, because
// clients may still reuse them. Requests that arrive in this time are refused with
// the outcome not-run by nodes with a target and served by entries. The responses
// ask the client to close the connection.
const Grace = time.Second

// State is the progress of a shutdown.
type State struct {
	InFlight       int           // ingress and egress calls in progress
	SinceStop      time.Duration // time since the shutdown began
	SinceKeepAlive time.Duration // time since the end of the last response that left its connection open for reuse
}

// WaitCondition is the condition that a stopping node waits for before it closes its
// connections.
type WaitCondition string

const (
	WaitNone    WaitCondition = "nothing"
	WaitCalls   WaitCondition = "calls"   // calls in flight
	WaitClients WaitCondition = "senders" // clients that may still reuse a connection
)

// NextWait returns what the node waits for. A response whose headers were sent before
// the shutdown began could not ask the client to close the connection, so the
// grace period restarts at the end of that response.
func NextWait(s State) WaitCondition {
	switch {
	case s.InFlight > 0:
		return WaitCalls
	case min(s.SinceStop, s.SinceKeepAlive) < Grace:
		return WaitClients
	}
	return WaitNone
}
