// Package dissemination implements the gossip protocol that distributes new versions
// of a document, such as the bundle, to all nodes. Nodes poll the platform at random
// intervals whose mean is proportional to the number of nodes, so the total read rate
// is independent of the mesh size. A node pushes a new version to random neighbors for
// a few rounds; periodic version comparisons with a random neighbor (anti-entropy)
// reach the nodes that the push missed. The package does no I/O and reads no clock.
package dissemination

import (
	"slices"
	"time"
)

// Config holds the protocol parameters.
type Config struct {
	PlatformReadsPerSecond float64       // summed over all nodes
	PushFanout             int           // maximum number of messages per push round
	PushRounds             int           // push rounds per new version
	PushInterval           time.Duration // time between push rounds
	AntiEntropyInterval    time.Duration // mean time between version comparisons
	MinPollInterval        time.Duration // minimum time between platform polls of a node
	BootstrapInterval      time.Duration // replaces AntiEntropyInterval until a version is known
	Neighbors              int           // number of peers to which a node sends messages
	RotationInterval       time.Duration // time between replacements of a neighbor
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		PlatformReadsPerSecond: 4, PushFanout: 3, PushRounds: 4, PushInterval: 150 * time.Millisecond,
		AntiEntropyInterval: 2 * time.Second, MinPollInterval: 500 * time.Millisecond, BootstrapInterval: 200 * time.Millisecond,
		Neighbors: 8, RotationInterval: time.Minute,
	}
}

// Random is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Random interface {
	IntN(n int) int
	ExpFloat64() float64
	Float64() float64
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ReadPlatform reads the current version from the platform.
	ReadPlatform ActionKind = iota + 1
	// SendVersion sends Version to the peer and passes the version in its reply to HandleVersion.
	SendVersion
	// Fetch requests the peer's version, as a delta to Version where possible.
	Fetch
)

// Action is an operation that the driver must perform.
type Action struct {
	Kind    ActionKind
	Peer    string
	Version int64
}

// State is the protocol state of one node. It is not safe for concurrent use.
type State struct {
	config          Config
	random          Random
	neighbors       []string // random subset of peers, oldest first
	peers           []string // all other nodes
	nextRotation    time.Duration
	version         int64
	pushRoundsLeft  int
	nextPush        time.Duration
	nextAntiEntropy time.Duration
	nextPoll        time.Duration
	fetching        map[string]time.Duration // start time of pending fetches, by peer
	peerVersions    map[string]int64         // latest version received from each peer
}

// FetchTimeout is the time after which a pending fetch no longer prevents another one.
const FetchTimeout = 500 * time.Millisecond

// New returns the state of a node without a version.
func New(config Config, random Random) *State {
	return &State{config: config, random: random, fetching: map[string]time.Duration{}, peerVersions: map[string]int64{}}
}

// SetPeers sets the other nodes of the mesh. Messages go only to Config.Neighbors
// random peers, so that connections can be reused. Neighbors that are still present
// are kept; if the mesh has grown, each is kept with probability old size / new size.
// Otherwise the first nodes of a mesh would remain neighbors of all others.
func (s *State) SetPeers(peers []string) {
	present := make(map[string]bool, len(peers))
	for _, peer := range peers {
		present[peer] = true
	}
	kept := s.neighbors[:0]
	share := float64(len(s.peers)) / float64(max(len(peers), 1))
	for _, neighbor := range s.neighbors {
		if present[neighbor] && (share >= 1 || s.random.Float64() < share) {
			kept = append(kept, neighbor)
		}
	}
	s.neighbors, s.peers = kept, peers
	s.fillNeighbors()
}

// fillNeighbors adds random peers until the neighbor list is complete.
func (s *State) fillNeighbors() {
	if len(s.peers) <= s.config.Neighbors {
		s.neighbors = append(s.neighbors[:0], s.peers...)
		return
	}
	for len(s.neighbors) < s.config.Neighbors {
		candidate := s.peers[s.random.IntN(len(s.peers))]
		if !slices.Contains(s.neighbors, candidate) {
			s.neighbors = append(s.neighbors, candidate)
		}
	}
}

// rotateNeighbor replaces the oldest neighbor every RotationInterval, so that the
// neighbor graph cannot stay partitioned.
func (s *State) rotateNeighbor(now time.Duration) {
	if now < s.nextRotation || len(s.neighbors) == 0 {
		return
	}
	if s.nextRotation > 0 && len(s.peers) > s.config.Neighbors {
		delete(s.peerVersions, s.neighbors[0])
		s.neighbors = s.neighbors[1:]
		s.fillNeighbors()
	}
	s.nextRotation = now + s.config.RotationInterval
}

// Version returns the installed version, or 0.
func (s *State) Version() int64 { return s.version }

// HandleInstalled records an installed version and starts pushing it. It ignores versions
// that are not newer than the current one.
func (s *State) HandleInstalled(now time.Duration, version int64) {
	if version <= s.version {
		return
	}
	s.version = version
	s.pushRoundsLeft = s.config.PushRounds
	s.nextPush = now
	clear(s.fetching)
}

// HandleVersion processes a version number received from a peer and returns a Fetch if it is
// newer and no other fetch is pending. A peer with an older version gets no message,
// because it learns the newer version in the same exchange.
func (s *State) HandleVersion(now time.Duration, peer string, version int64) []Action {
	s.peerVersions[peer] = version
	if version <= s.version {
		return nil
	}
	if len(s.fetching) > 0 {
		for fetchPeer, startedAt := range s.fetching {
			if now-startedAt > FetchTimeout {
				delete(s.fetching, fetchPeer)
			}
		}
		if len(s.fetching) > 0 {
			return nil
		}
	}
	s.fetching[peer] = now
	return []Action{{Kind: Fetch, Peer: peer, Version: s.version}}
}

// Tick returns the actions that are due. It must be called at least every
// PushInterval/2.
func (s *State) Tick(now time.Duration) []Action {
	var actions []Action
	if now >= s.nextPoll {
		if s.nextPoll > 0 || s.version == 0 {
			actions = append(actions, Action{Kind: ReadPlatform})
		}
		s.nextPoll = now + s.pollInterval()
	}
	if len(s.neighbors) == 0 {
		return actions
	}
	s.rotateNeighbor(now)
	if s.pushRoundsLeft > 0 && now >= s.nextPush {
		s.pushRoundsLeft--
		s.nextPush = now + s.config.PushInterval
		for range s.config.PushFanout {
			actions = s.appendPush(actions)
		}
	}
	if now >= s.nextAntiEntropy {
		s.nextAntiEntropy = now + time.Duration(float64(s.antiEntropyInterval())*(0.5+s.random.Float64()))
		peer := s.neighbors[s.random.IntN(len(s.neighbors))]
		actions = append(actions, Action{Kind: SendVersion, Peer: peer, Version: s.version})
	}
	return actions
}

// appendPush appends a SendVersion to a random neighbor, unless it is known to be up to date.
func (s *State) appendPush(actions []Action) []Action {
	peer := s.neighbors[s.random.IntN(len(s.neighbors))]
	if s.peerVersions[peer] >= s.version {
		return actions
	}
	return append(actions, Action{Kind: SendVersion, Peer: peer, Version: s.version})
}

func (s *State) antiEntropyInterval() time.Duration {
	if s.version == 0 {
		return s.config.BootstrapInterval
	}
	return s.config.AntiEntropyInterval
}

func (s *State) pollInterval() time.Duration {
	mean := float64(len(s.peers)+1) / s.config.PlatformReadsPerSecond * float64(time.Second)
	interval := time.Duration(mean * s.random.ExpFloat64())
	if s.version == 0 {
		interval = min(interval, 10*s.config.BootstrapInterval)
	}
	return max(interval, s.config.MinPollInterval)
}
