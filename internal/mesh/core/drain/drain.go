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
	InFlight int           // ingress and egress calls in progress
	Began    time.Duration // time since the shutdown began
	Kept     time.Duration // time since the end of the last response that left its connection open for reuse
}

// Awaits is the condition that a stopping node waits for before it closes its
// connections.
type Awaits string

const (
	Nothing Awaits = "nothing"
	Calls   Awaits = "calls"   // calls in flight
	Senders Awaits = "senders" // clients that may still reuse a connection
)

// For returns what the node waits for. A response whose headers were sent before
// the shutdown began could not ask the client to close the connection, so the
// grace period restarts at the end of that response.
func For(s State) Awaits {
	switch {
	case s.InFlight > 0:
		return Calls
	case min(s.Began, s.Kept) < Grace:
		return Senders
	}
	return Nothing
}
