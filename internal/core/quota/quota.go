// Package quota enforces a tenant's rate limit across all nodes with token buckets.
// One node, the keeper, leases each other node a share of the limit: a refill rate and a
// bucket depth that expire after a few seconds. Unallocated capacity accumulates in a pool
// from which the keeper hands out individual tokens. A node admits a request by taking a
// token from its local bucket, without contacting another node.
//
// The bound below holds under message delay, loss and reordering, and across process pauses
// and restarts; the property tests check it. Let r be the rate and D the combined depth of
// all buckets. Shares, pool and in-flight tokens together never exceed r and D: the keeper
// counts a reduced share at its old size until the node confirms the new one or the old one
// expires, counts a token in flight to a request until the node would discard it, and never
// sends a bucket more tokens than the node reported room for. In any window of length W at most
//
// D + r*W + r*MaxTransit
//
// requests are admitted: the tokens available at the start, the refill during the window, and
// the refill at a node while tokens for its bucket were in flight. Config.depth chooses D so
// that this equals the bound set by Config. A share expires by its node's own clock, measured
// from the start of the request for it, and so before the keeper's lease does; the keeper's
// lease ends before another node can acquire it.
//
// The package uses no locks, clocks or sockets.
package quota

import "time"

// Limit is a tenant's rate limit across all nodes.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests above the rate
}

// Config sets the bound: any window admits at most (rate x window + burst) x (1 + overshoot) +
// slack requests of a tenant.
type Config struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64 // requests
}

// MaxTransit is the longest time pool tokens may be in flight; the receiver discards later ones.
const MaxTransit = 200 * time.Millisecond

// depthMargin, in requests, is subtracted from the depth to absorb rounding errors.
const depthMargin = 1

// depth returns the combined depth of all buckets for a limit.
func (c Config) depth(limit Limit) float64 {
	over := c.Overshoot*(limit.Rate*c.Window.Seconds()+limit.Burst) + c.Slack
	return max(limit.Burst+over-limit.Rate*MaxTransit.Seconds()-depthMargin, 0)
}

// Share is a part of a tenant's limit.
type Share struct {
	Rate  float64 // tokens per second
	Depth float64 // bucket capacity in tokens
}

// larger returns the field-wise maximum of two shares.
func (s Share) larger(other Share) Share {
	return Share{Rate: max(s.Rate, other.Rate), Depth: max(s.Depth, other.Depth)}
}

// GrantID identifies a share by the keeper's epoch and a number that increases within it.
type GrantID struct {
	Epoch  int64
	Number int64
}

// Report is a process's request to the keeper for one tenant. A process has at most one request
// outstanding and ignores the response to one that has timed out.
type Report struct {
	Tenant    string
	Demand    float64 // arrival rate at the node, in requests per second
	Waiting   int     // requests waiting for a token
	Requested int     // tokens requested, including Waiting
	Tokens    float64 // tokens in the local bucket
	// Share is the share last granted, Grant its identifier and Remaining its lifetime;
	// Remaining is 0 if the process has no share.
	Share     Share
	Grant     GrantID
	Remaining time.Duration
}

// Allotment is the keeper's response to a Report.
type Allotment struct {
	Tenant string
	Share  Share
	Grant  GrantID
	TTL    time.Duration // lifetime of the share, from the start of the request
	Tokens int           // tokens from the pool
	// RetryAfter is the estimated time until more tokens are available; 0 means no estimate.
	RetryAfter time.Duration
	// Unsettled reports that the keeper doesn't yet know all shares granted by its predecessor.
	Unsettled bool
}
