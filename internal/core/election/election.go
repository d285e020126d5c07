// Package election chooses the nodes of a zone that follow the store on behalf of the others. No
// agreement is needed: each node ranks the members it knows. The first one follows the store
// and announces it with beats; the next ones take over in order when beats of a node that
// reaches the store stop. Several followers at once are harmless and only cost extra calls. The
// package uses no locks, clocks or sockets.
package election

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets the timeouts of an election.
type Config struct {
	// BeatTimeout is how long the first-ranked node waits without a beat before it follows the
	// store. Each further rank waits RankDelay longer.
	BeatTimeout, RankDelay time.Duration
	// StoreDownRankDelay replaces RankDelay from the second rank on while a follower reports that
	// it can't reach the store, so that not all nodes of the zone try it.
	StoreDownRankDelay time.Duration
}

// DefaultConfig returns the default timeouts; see docs/design/sidecar.md.
func DefaultConfig() Config {
	return Config{BeatTimeout: 700 * time.Millisecond, RankDelay: 100 * time.Millisecond, StoreDownRankDelay: 700 * time.Millisecond}
}

// maxRank is the rank from which the delay no longer grows.
const maxRank = 8

// Election is the state of one node. It is not safe for concurrent use.
type Election struct {
	config          Config
	self            string
	ranks           map[string]int
	following       bool
	storeReachable  bool          // the node itself reaches the store
	lastHealthyBeat time.Duration // last beat of another node that reaches the store
	lastFailingBeat time.Duration // last beat of another node that doesn't
	hasFailingBeat  bool          // lastFailingBeat is set
	resigned        bool
}

// New returns the election state of a node. It doesn't follow the store before BeatTimeout is over.
func New(config Config, self string, now time.Duration) *Election {
	return &Election{config: config, self: self, lastHealthyBeat: now, storeReachable: true, ranks: map[string]int{self: 0}}
}

// SetMembers sets the nodes of the zone; the node itself is always included.
func (e *Election) SetMembers(names []string) {
	order := make([]string, 0, len(names)+1)
	seen := map[string]bool{}
	for _, name := range append([]string{e.self}, names...) {
		if !seen[name] {
			seen[name] = true
			order = append(order, name)
		}
	}
	sort.Slice(order, func(a, b int) bool {
		first, second := xxhash.Sum64String(order[a]), xxhash.Sum64String(order[b])
		return first < second || first == second && order[a] < order[b]
	})
	e.ranks = make(map[string]int, len(order))
	for rank, name := range order {
		e.ranks[name] = rank
	}
}

// Beat records that another node follows the store; reachable reports whether that node reaches the
// store.
func (e *Election) Beat(now time.Duration, node string, reachable bool) {
	if node == e.self {
		return
	}
	switch {
	case !reachable:
		e.lastFailingBeat, e.hasFailingBeat = now, true
	case !e.following:
		e.lastHealthyBeat = now
	case !e.storeReachable || e.outranksSelf(node):
		e.lastHealthyBeat = now
		e.following = false
	}
}

// outranksSelf reports whether a known node ranks before this one.
func (e *Election) outranksSelf(node string) bool {
	rank, known := e.ranks[node]
	return known && rank < e.ranks[e.self]
}

// SetStoreReachable records whether the node itself, as a follower, reaches the store.
func (e *Election) SetStoreReachable(reachable bool) { e.storeReachable = reachable }

// Resign withdraws the node from the election for good, because it is stopping.
func (e *Election) Resign() { e.resigned, e.following = true, false }

// IsFollower reports whether the node follows the store at now.
func (e *Election) IsFollower(now time.Duration) bool {
	if e.resigned {
		return false
	}
	if !e.following && now-e.lastHealthyBeat >= e.takeoverDelay(now) {
		e.following, e.storeReachable = true, true
	}
	return e.following
}

func (e *Election) takeoverDelay(now time.Duration) time.Duration {
	rank := min(e.ranks[e.self], maxRank)
	if e.hasFailingBeat && now-e.lastFailingBeat < e.config.BeatTimeout {
		return e.config.BeatTimeout + time.Duration(max(rank-1, 0))*e.config.StoreDownRankDelay
	}
	return e.config.BeatTimeout + time.Duration(rank)*e.config.RankDelay
}
