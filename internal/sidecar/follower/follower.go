package follower

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/election"
	"github.com/landingmast/landingmast/internal/core/recordloss"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

const (
	electionInterval    = 100 * time.Millisecond // between checks of the election
	heartbeatInterval   = 300 * time.Millisecond // between heartbeats
	removalAnnounceTime = 5 * time.Second        // how long heartbeats list a removed node
)

// Follower watches the store on behalf of the nodes of the zone while this node is elected, and
// sends them heartbeats. It is safe for concurrent use.
type Follower struct {
	options Options

	mutex         sync.Mutex
	election      *election.Election // nil until JoinElection
	lapses        *recordloss.Tracker
	callSucceeded map[string]bool // result of the last call, by watched prefix or probeSource
	removed       map[string]removedNode
	following     bool          // used by Run only
	healthyPeer   string        // sender of the last heartbeat that reported a reachable store
	healthyPeerAt time.Duration // when that heartbeat was received
}

// New returns a Follower that does not take part in the election until JoinElection is called.
func New(options Options) *Follower {
	return &Follower{options: options, lapses: recordloss.New(recordloss.DefaultConfig()), callSucceeded: map[string]bool{}, removed: map[string]removedNode{}}
}

// removedNode is a removed node, which heartbeats list until the given time.
type removedNode struct {
	record wire.NodeRecord
	until  time.Duration
}

// JoinElection makes the node take part in the election. It is called once the other nodes are known.
func (f *Follower) JoinElection() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election == nil {
		f.election = election.New(election.DefaultConfig(), f.options.Settings().Node, f.options.Now())
		f.election.SetMembers(f.options.Members.ZonePeers())
	}
}

// Resign withdraws the node from the election, so that it is never elected again.
func (f *Follower) Resign() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.Resign()
	}
}

// SetMembers replaces the set of other nodes in the zone.
func (f *Follower) SetMembers(names []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.SetMembers(names)
	}
}

// RecordHeartbeat records a heartbeat of another follower. well reports whether that follower can
// reach the store.
func (f *Follower) RecordHeartbeat(name string, well bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if well {
		f.healthyPeer, f.healthyPeerAt = name, f.options.Now()
	}
	if f.election != nil {
		f.election.Beat(f.options.Now(), name, well)
	}
}

// healthyPeerTTL is how long a heartbeat is considered current: three intervals plus an allowance
// for the network delay.
const healthyPeerTTL = 3*heartbeatInterval + 100*time.Millisecond

// HealthyPeerAddress returns the address of another follower of the zone that can reach the store,
// or an empty string if none is known.
func (f *Follower) HealthyPeerAddress() string {
	f.mutex.Lock()
	name, recent := f.healthyPeer, f.options.Now()-f.healthyPeerAt < healthyPeerTTL
	f.mutex.Unlock()
	if name == "" || !recent {
		return ""
	}
	if record := f.options.Members.Record(name); record != nil {
		return record.Address
	}
	return ""
}

// StoreReachable reports whether the node is an elected follower and the store answered its last probe.
func (f *Follower) StoreReachable() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.IsFollower(f.options.Now()) && f.callSucceeded[probeSource]
}

// IsFollower reports whether the node is currently elected as a follower of its zone.
func (f *Follower) IsFollower() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.IsFollower(f.options.Now())
}

// Run watches the store while the node is elected, until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	lastHeartbeat := time.Duration(0)
	for ; ctx.Err() == nil; wait.Sleep(ctx, electionInterval) {
		follows := f.IsFollower()
		if follows != f.following {
			f.following = follows
			f.logRoleChange(follows)
			stop()
			wg.Wait()
			if follows {
				stop = f.start(ctx, &wg)
			}
		}
		if now := f.options.Now(); follows && now-lastHeartbeat >= heartbeatInterval {
			lastHeartbeat = now
			f.resolveMissing(ctx)
			f.options.OnHeartbeat(ctx)
			f.sendHeartbeat(ctx)
		}
	}
}

// start starts watching the store and returns a function that stops it.
func (f *Follower) start(ctx context.Context, wg *sync.WaitGroup) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	f.mutex.Lock()
	f.lapses = recordloss.New(recordloss.DefaultConfig())
	f.callSucceeded = map[string]bool{}
	f.mutex.Unlock()
	wg.Go(func() { f.runWatches(ctx) })
	return stop
}

// Intervals of the probes. They detect an unreachable store within a second, whereas a watch call
// can hang for much longer after a network partition.
const (
	probeInterval      = 700 * time.Millisecond
	probeRetryInterval = 400 * time.Millisecond // while the store does not answer
)

// probeSource is the key of the probes in callSucceeded.
const probeSource = "probe"

// runWatches probes the store and runs the watches while it answers. While it does not, only
// probes are sent.
func (f *Follower) runWatches(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	for reached := false; ctx.Err() == nil; {
		answers := f.options.Health.Probe(ctx, f.options.Store)
		if ctx.Err() != nil {
			return
		}
		f.noteCall(probeSource, answers)
		if answers != reached {
			reached = answers
			stop()
			wg.Wait()
			if answers {
				stop = f.startWatches(ctx, &wg)
			}
		}
		interval := probeInterval
		if !answers {
			interval = probeRetryInterval
		}
		wait.Sleep(ctx, interval)
	}
}

// startWatches starts the watches and returns a function that stops them.
func (f *Follower) startWatches(ctx context.Context, wg *sync.WaitGroup) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	wg.Go(func() { f.followRecords(ctx) })
	wg.Go(func() { f.followConfiguration(ctx) })
	return stop
}

// noteCall records the result of a store call for source, a watched prefix or probeSource.
func (f *Follower) noteCall(source string, succeeded bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callSucceeded[source] = succeeded
	f.election.SetStoreReachable(f.storeHealthyLocked())
	f.lapses.SetStoreAvailable(f.options.Now(), f.storeHealthyLocked())
}

// storeHealthyLocked reports whether the last call of every source succeeded and the node records
// have been listed. The caller must hold f.mutex.
func (f *Follower) storeHealthyLocked() bool {
	for _, succeeded := range f.callSucceeded {
		if !succeeded {
			return false
		}
	}
	return f.callSucceeded[f.options.RecordPrefix]
}

// sendHeartbeat sends a heartbeat to the zone: whether this follower can reach the store, which
// records are missing there, and which nodes have been removed. If it cannot reach the store, it
// also runs an exchange with a node of another zone.
func (f *Follower) sendHeartbeat(ctx context.Context) {
	now := f.options.Now()
	message := &wire.Broadcast{Heartbeat: true, Follower: f.options.Settings().Node}
	f.mutex.Lock()
	message.StoreReachable = f.storeHealthyLocked()
	message.Missing = f.lapses.Missing()
	for name, node := range f.removed {
		if now >= node.until {
			delete(f.removed, name)
			continue
		}
		message.Removed = append(message.Removed, node.record)
	}
	f.mutex.Unlock()
	f.options.SendZone(message)
	if message.StoreReachable {
		return
	}
	if address := f.options.Members.RemoteZoneAddress(); address != "" {
		go f.options.Exchange(ctx, address)
	}
}

// resolveMissing queries the nodes whose records are missing in the store, and removes those that
// did not reply repeatedly or whose grace period has expired.
func (f *Follower) resolveMissing(ctx context.Context) {
	f.mutex.Lock()
	query, dead := f.lapses.Poll(f.options.Now())
	f.mutex.Unlock()
	for _, name := range query {
		if record := f.options.Members.Record(name); record != nil {
			go f.queryNode(ctx, record)
		}
	}
	for _, name := range dead {
		f.removeNode(name)
	}
}

// removeNode removes a node and lists it in the following heartbeats, so that the other nodes of
// the zone remove it too.
func (f *Follower) removeNode(name string) {
	m := f.options.Members
	record := m.Record(name)
	if record == nil {
		return
	}
	m.LogChange(record, "forgotten", configuration.SourceStore)
	m.Remove(record)
	f.mutex.Lock()
	f.removed[name] = removedNode{record: *record, until: f.options.Now() + removalAnnounceTime}
	f.mutex.Unlock()
}

// queryNode asks a node whose record is missing whether it is alive and can reach the store.
func (f *Follower) queryNode(ctx context.Context, record *wire.NodeRecord) {
	ctx, cancel := context.WithTimeout(ctx, peer.PingTimeout)
	defer cancel()
	pong, err := f.options.Peers.Identify(ctx, record.Address)
	answer := recordloss.StoreReachable
	switch {
	case err != nil || pong.Node != record.Node:
		answer = recordloss.NoAnswer
	case pong.StoreUnreachable:
		answer = recordloss.StoreUnreachable
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lapses.HandleProbe(f.options.Now(), record.Node, answer)
}

// logRoleChange logs that the node has become a follower of its zone or ceased to be one.
func (f *Follower) logRoleChange(follows bool) {
	change := "unfollowed"
	if follows {
		change = "followed"
	}
	f.options.Events.Add(eventlog.Store{Change: change}, eventlog.State)
}
