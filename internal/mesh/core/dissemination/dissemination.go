// Package dissemination brings a new bundle to every node. Few reads go to the
// platform: every node polls it at random, with a mean interval that grows with
// the number of nodes, so that the platform sees one rate at every size. What a
// node learns it pushes to a few random peers for some rounds, and compares
// versions with one random peer from time to time, which reaches those that the
// push missed. The package is a state machine without sockets or clocks.
package dissemination

import (
	"slices"
	"time"
)

// Config sets the rates.
type Config struct {
	PlatformReadsPerSecond float64       // of all nodes together
	PushFanout             int           // peers told in one round
	PushRounds             int           // rounds after a new version
	PushInterval           time.Duration // between rounds
	CompareInterval        time.Duration // between version comparisons with a random peer
	FastPollFloor          time.Duration // no node polls the platform more often
	StartTimeout           time.Duration // a fresh node asks for the version at least so often
	Neighbors              int           // peers that are talked to; their connections stay open
	RedrawInterval         time.Duration // one neighbor is drawn anew so often
}

// DefaultConfig gives the values that docs/mesh/CAPACITY.md was measured with.
func DefaultConfig() Config {
	return Config{
		PlatformReadsPerSecond: 4, PushFanout: 3, PushRounds: 4, PushInterval: 150 * time.Millisecond,
		CompareInterval: 2 * time.Second, FastPollFloor: 500 * time.Millisecond, StartTimeout: 200 * time.Millisecond,
		Neighbors: 8, RedrawInterval: time.Minute,
	}
}

// Random gives numbers; the driver supplies it.
type Random interface {
	IntN(n int) int
	ExpFloat64() float64
	Float64() float64
}

// ActionKind names what the driver has to do.
type ActionKind int

// The actions.
const (
	// ReadPlatform reads the release from the platform's service.
	ReadPlatform ActionKind = iota + 1
	// Tell sends the own version number to the peer; a peer that is behind asks for the release.
	Tell
	// Fetch asks the peer for the release, as a delta to Version if it can.
	Fetch
)

// Action is one thing for the driver to do.
type Action struct {
	Kind    ActionKind
	Peer    string
	Version int64
}

// State is one node's part. It is not safe for concurrent use.
type State struct {
	config      Config
	random      Random
	peers       []string // neighbors
	all         []string
	nextRedraw  time.Duration
	version     int64
	rounds      int
	nextPush    time.Duration
	nextCompare time.Duration
	nextPoll    time.Duration
	fetching    map[string]time.Duration
	told        map[string]int64 // peers known to have a version: no need to tell them
}

// FetchTimeout is when a fetch that was not answered may be asked elsewhere.
const FetchTimeout = 500 * time.Millisecond

// New makes the state of a node that knows no version yet.
func New(config Config, random Random) *State {
	return &State{config: config, random: random, fetching: map[string]time.Duration{}, told: map[string]int64{}}
}

// SetPeers sets the nodes of the mesh. Only a few of them, drawn at random, are
// talked to: at thousands of nodes a connection to a new peer for every message
// would cost more than the message. Neighbors that are still there stay, but when
// the mesh grows each only with the share that the old mesh has of the new one:
// otherwise the nodes that were there first would remain everybody's neighbors.
func (s *State) SetPeers(peers []string) {
	present := make(map[string]bool, len(peers))
	for _, peer := range peers {
		present[peer] = true
	}
	kept := s.peers[:0]
	share := float64(len(s.all)) / float64(max(len(peers), 1))
	for _, neighbor := range s.peers {
		if present[neighbor] && (share >= 1 || s.random.Float64() < share) {
			kept = append(kept, neighbor)
		}
	}
	s.peers, s.all = kept, peers
	s.drawNeighbors()
}

// drawNeighbors fills the list of neighbors.
func (s *State) drawNeighbors() {
	if len(s.all) <= s.config.Neighbors {
		s.peers = append(s.peers[:0], s.all...)
		return
	}
	for len(s.peers) < s.config.Neighbors {
		drawn := s.all[s.random.IntN(len(s.all))]
		if !slices.Contains(s.peers, drawn) {
			s.peers = append(s.peers, drawn)
		}
	}
}

// redraw replaces the oldest neighbor, so that no part of the mesh stays apart.
func (s *State) redraw(now time.Duration) {
	if now < s.nextRedraw || len(s.peers) == 0 {
		return
	}
	if s.nextRedraw > 0 && len(s.all) > s.config.Neighbors {
		delete(s.told, s.peers[0])
		s.peers = s.peers[1:]
		s.drawNeighbors()
	}
	s.nextRedraw = now + s.config.RedrawInterval
}

// Version gives the version in force, 0 for none.
func (s *State) Version() int64 { return s.version }

// Installed notes that a version is in force here and starts to spread it. An
// older version than the one in force is ignored.
func (s *State) Installed(now time.Duration, version int64) {
	if version <= s.version {
		return
	}
	s.version = version
	s.rounds = s.config.PushRounds
	s.nextPush = now
	clear(s.fetching)
}

// Heard takes a version number that a peer told or answered. A peer that is
// behind needs no message: it has the higher version from the same exchange.
func (s *State) Heard(now time.Duration, peer string, version int64) []Action {
	s.told[peer] = version
	if version <= s.version {
		return nil
	}
	if len(s.fetching) > 0 {
		for other, since := range s.fetching {
			if now-since > FetchTimeout {
				delete(s.fetching, other)
			}
		}
		if len(s.fetching) > 0 {
			return nil
		}
	}
	s.fetching[peer] = now
	return []Action{{Kind: Fetch, Peer: peer, Version: s.version}}
}

// Tick gives what is due. Call it every PushInterval/2 or oftener.
func (s *State) Tick(now time.Duration) []Action {
	var actions []Action
	if now >= s.nextPoll {
		if s.nextPoll > 0 || s.version == 0 {
			actions = append(actions, Action{Kind: ReadPlatform})
		}
		s.nextPoll = now + s.pollInterval()
	}
	if len(s.peers) == 0 {
		return actions
	}
	s.redraw(now)
	if s.rounds > 0 && now >= s.nextPush {
		s.rounds--
		s.nextPush = now + s.config.PushInterval
		for range s.config.PushFanout {
			actions = s.tell(actions)
		}
	}
	if now >= s.nextCompare {
		s.nextCompare = now + time.Duration(float64(s.compareInterval())*(0.5+s.random.Float64()))
		peer := s.peers[s.random.IntN(len(s.peers))]
		actions = append(actions, Action{Kind: Tell, Peer: peer, Version: s.version})
	}
	return actions
}

func (s *State) tell(actions []Action) []Action {
	peer := s.peers[s.random.IntN(len(s.peers))]
	if s.told[peer] >= s.version {
		return actions
	}
	return append(actions, Action{Kind: Tell, Peer: peer, Version: s.version})
}

func (s *State) compareInterval() time.Duration {
	if s.version == 0 {
		return s.config.StartTimeout
	}
	return s.config.CompareInterval
}

func (s *State) pollInterval() time.Duration {
	mean := float64(len(s.all)+1) / s.config.PlatformReadsPerSecond * float64(time.Second)
	interval := time.Duration(mean * s.random.ExpFloat64())
	if s.version == 0 {
		interval = min(interval, 10*s.config.StartTimeout)
	}
	return max(interval, s.config.FastPollFloor)
}
