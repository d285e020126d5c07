// Package drain decides how long a node that stops as planned keeps its connections. It knows no
// connections and no clocks: the node tells it how long ago things were.
package drain

import "time"

// Grace is how long a sender may rest on a connection that it does not know to be closing. A
// stopping node keeps its connections for that time and answers what comes on them: refused as
// not run beside a target, served by an entry, each with the request to close the connection.
const Grace = time.Second

// State is what a stopping node knows of itself.
type State struct {
	InFlight int           // calls that it serves, on all sides
	Began    time.Duration // since the stop began
	Kept     time.Duration // since the last answer ended that did not ask to close its connection
}

// Awaits names what a stopping node waits for before it closes its connections.
type Awaits string

// What it waits for.
const (
	Nothing Awaits = "nothing"
	Calls   Awaits = "calls"   // that are in flight
	Senders Awaits = "senders" // that may not know yet that their connections close
)

// For gives what the node waits for. The head of a long answer has gone out when a stop begins:
// its connection was not announced to close, and its sender rests on it from the end of the
// answer on, not from the begin of the stop.
func For(s State) Awaits {
	switch {
	case s.InFlight > 0:
		return Calls
	case min(s.Began, s.Kept) < Grace:
		return Senders
	}
	return Nothing
}
