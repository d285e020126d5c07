// Package election decides which nodes of a zone read the store on behalf of the
// others. No agreement is needed: every node has a place among the members that it
// knows, the first follows the store and says so in beats, the next ones take over
// when no beat of a node that hears the store has come for long enough. Two that
// follow at once cost calls and break nothing. It is a state machine without locks,
// clocks or sockets.
package election

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets an election.
type Config struct {
	// Silence is how long the first node in place waits without a beat before it
	// follows the store; each later place waits Step longer.
	Silence, Step time.Duration
	// AwayStep is in the place of Step, from the second place on, while beats come of
	// a node that follows but does not hear the store: the others need not all try.
	AwayStep time.Duration
}

// DefaultConfig gives the values that docs/design/sidecar.md was measured with.
func DefaultConfig() Config {
	return Config{Silence: 700 * time.Millisecond, Step: 100 * time.Millisecond, AwayStep: 700 * time.Millisecond}
}

// maxPlaces bounds the wait of late places, in steps.
const maxPlaces = 8

// Election is the state of one node. It is not safe for concurrent use.
type Election struct {
	config    Config
	self      string
	places    map[string]int
	following bool
	well      bool          // the node itself hears the store
	heard     time.Duration // last beat of another node that hears the store
	tried     time.Duration // last beat of one that does not
	tries     bool          // tried is set
	resigned  bool
}

// New makes the election of a node that does not follow before Silence is over.
func New(config Config, self string, now time.Duration) *Election {
	return &Election{config: config, self: self, heard: now, well: true, places: map[string]int{self: 0}}
}

// SetMembers sets the nodes of the zone, the own one among them or not.
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
	e.places = make(map[string]int, len(order))
	for place, name := range order {
		e.places[name] = place
	}
}

// Beat takes in that another node follows the store; well tells that it hears it.
func (e *Election) Beat(now time.Duration, node string, well bool) {
	if node == e.self {
		return
	}
	switch {
	case !well:
		e.tried, e.tries = now, true
	case !e.following:
		e.heard = now
	case !e.well || e.before(node):
		e.heard = now
		e.following = false
	}
}

// before tells whether a node has a place before the own one. One that is not
// known has none.
func (e *Election) before(node string) bool {
	place, known := e.places[node]
	return known && place < e.places[e.self]
}

// SetWell notes whether the node itself hears the store while it follows.
func (e *Election) SetWell(well bool) { e.well = well }

// Resign has the node never follow again: it is stopping.
func (e *Election) Resign() { e.resigned, e.following = true, false }

// Follows tells whether the node follows the store now.
func (e *Election) Follows(now time.Duration) bool {
	if e.resigned {
		return false
	}
	if !e.following && now-e.heard >= e.wait(now) {
		e.following, e.well = true, true
	}
	return e.following
}

func (e *Election) wait(now time.Duration) time.Duration {
	place := min(e.places[e.self], maxPlaces)
	if e.tries && now-e.tried < e.config.Silence {
		return e.config.Silence + time.Duration(max(place-1, 0))*e.config.AwayStep
	}
	return e.config.Silence + time.Duration(place)*e.config.Step
}
