// Package quota keeps the requests of a tenant over all nodes within its limit. One node,
// the keeper, gives the others parts of the limit: a share, which is a rate and a depth of
// stock that last for some seconds, and tokens out of the pool of what is in no share. A
// node admits a request for a token of its stock, without asking anybody.
//
// The bound holds whatever messages are delayed, lost or come in another order, and whoever
// pauses or restarts (property tests). Let the rate be r and the depth of all stocks
// together D. Shares, pool and tokens under way never exceed r and D together: the keeper
// counts a share that it has lowered until its node has said that it holds the new one, or
// until it has ended, and a token under way to a request until it would be dropped; tokens
// for a stock never exceed the room that the node said it has. So in any window of length W at most
//
//	D + r*W + r*Travel
//
// requests are admitted: what lay ready at its begin, what came in since, and what came in
// at a node while tokens for its stock were under way. Config.depth chooses D so that this
// is the bound that Config names. A share ends on its node's clock, counted from
// the begin of the question, before the keeper's right to give ends; that right ends before
// another node can have it.
//
// The package has no locks, clocks or sockets.
package quota

import "time"

// Limit is what a tenant may send over all nodes.
type Limit struct {
	Rate  float64 // requests a second
	Burst float64 // requests beyond the rate
}

// Config sets the bound: in no window more than (rate x window + burst) x (1 + overshoot) +
// slack requests of a tenant run. The operators' settings name its parts.
type Config struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64 // requests
}

// Travel is how long tokens out of the pool may be under way; later ones are dropped.
const Travel = 200 * time.Millisecond

// depthMargin is kept below the bound for what rounding may add, in requests.
const depthMargin = 1

// depth is the most that all stocks together may hold of a limit.
func (c Config) depth(limit Limit) float64 {
	over := c.Overshoot*(limit.Rate*c.Window.Seconds()+limit.Burst) + c.Slack
	return max(limit.Burst+over-limit.Rate*Travel.Seconds()-depthMargin, 0)
}

// Share is a part of a tenant's limit.
type Share struct {
	Rate  float64 // tokens a second
	Depth float64 // most tokens in stock
}

func (s Share) larger(other Share) Share {
	return Share{Rate: max(s.Rate, other.Rate), Depth: max(s.Depth, other.Depth)}
}

// Grant names a share that a keeper gave: its epoch, and its number there, which rises.
type Grant struct {
	Epoch  int64
	Number int64
}

// Report is what a process tells the keeper of one tenant. A process has one question at a
// time under way; the answer to one that it has given up counts for nothing.
type Report struct {
	Tenant string
	Demand float64 // requests a second that come to the node
	Need   int     // requests that wait for a token
	Want   int     // tokens that it would like at once, those among them
	Stock  float64 // tokens that it has
	// Held is the share that it has by Grant, which ends after Left; 0: it has none.
	Held  Share
	Grant Grant
	Left  time.Duration
}

// Allotment is the keeper's answer.
type Allotment struct {
	Tenant string
	Share  Share
	Grant  Grant
	Life   time.Duration // of the share, from the begin of the question
	Tokens int           // out of the pool
	// Again is when there may be more tokens; 0: no guess.
	Again time.Duration
	// Unsettled tells that the keeper does not know yet what the one before it gave.
	Unsettled bool
}
