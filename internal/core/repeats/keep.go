package repeats

import "time"

// Parts of the budget of a request's chain that a node keeps for repeats of its own;
// the rest goes down the chain, to the nodes that make the calls. A repeat of one call
// costs less than one of the chain above it, so that little is kept at rest.
const (
	keepAtRest    = 0.1
	keepWhenShort = 0.5
	shortFor      = 2 * time.Second // after a repeat for which the budgets below had too little
)

// Keep says which part of the budgets of the services down the chain a node keeps for
// repeats of the requests that begin there. It follows what the node needs: a target
// that loses answers has its requests repeated with all calls below them. It is not
// safe for concurrent use.
type Keep struct {
	shortTill time.Duration
}

// Short notes that a repeat was not made since a budget further down had too little.
func (k *Keep) Short(now time.Duration) { k.shortTill = now + shortFor }

// Of gives the part that is kept now.
func (k *Keep) Of(now time.Duration) float64 {
	if now < k.shortTill {
		return keepWhenShort
	}
	return keepAtRest
}
