package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/election"
	"github.com/landingmast/landingmast/internal/core/lapse"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of a follower.
const (
	followerTick = 100 * time.Millisecond
	beatEvery    = 300 * time.Millisecond
	goneTold     = 5 * time.Second // how long beats tell that a node is gone
)

// follower follows the store on behalf of the nodes of the zone while the election
// says so, and tells them by beats.
type follower struct {
	node *Node

	mutex     sync.Mutex
	election  *election.Election // nil until begin
	lapses    *lapse.Tracker
	hears     map[string]bool // by what is followed: its last call succeeded
	gone      map[string]goneNode
	following bool
	told      string // follower of the zone that last said that it hears the store
	toldAt    time.Duration
}

type goneNode struct {
	record wire.NodeRecord
	till   time.Duration
}

func newFollower(node *Node) *follower {
	return &follower{node: node, lapses: lapse.New(lapse.DefaultConfig()), hears: map[string]bool{}, gone: map[string]goneNode{}}
}

// Begin has the node take part in the election: it knows the others by now.
func (f *follower) Begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election == nil {
		f.election = election.New(election.DefaultConfig(), f.node.settings().Node, f.node.now())
		f.election.SetMembers(f.node.membership.ZoneMembers())
	}
}

// Resign has the node follow no more: it stops.
func (f *follower) Resign() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.Resign()
	}
}

// SetMembers takes in the nodes of the zone.
func (f *follower) SetMembers(names []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.SetMembers(names)
	}
}

// Heard takes in the beat of another follower.
func (f *follower) Heard(name string, well bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if well {
		f.told, f.toldAt = name, f.node.now()
	}
	if f.election != nil {
		f.election.Beat(f.node.now(), name, well)
	}
}

// toldFor is how long the word of a follower counts that it hears the store: three beats
// and some time on the way.
const toldFor = 3*beatEvery + 100*time.Millisecond

// Address gives that of another follower of the zone that hears the store; empty: none is known.
func (f *follower) Address() string {
	f.mutex.Lock()
	name, recent := f.told, f.node.now()-f.toldAt < toldFor
	f.mutex.Unlock()
	if name == "" || !recent {
		return ""
	}
	if record := f.node.membership.Record(name); record != nil {
		return record.Address
	}
	return ""
}

// Reaches tells whether the node follows the store and the store answers it.
func (f *follower) Reaches() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.Follows(f.node.now()) && f.hears[probed]
}

// Follows tells whether the node follows the store now.
func (f *follower) Follows() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.Follows(f.node.now())
}

// Run follows the store while the node is elected, until ctx ends.
func (f *follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	end := context.CancelFunc(func() {})
	defer func() { end() }()
	beaten := time.Duration(0)
	for ; ctx.Err() == nil; wait.For(ctx, followerTick) {
		follows := f.Follows()
		if follows != f.following {
			f.following = follows
			f.node.noteFollowing(follows)
			end()
			loops.Wait()
			if follows {
				end = f.start(ctx, &loops)
			}
		}
		if now := f.node.now(); follows && now-beaten >= beatEvery {
			beaten = now
			f.decide(ctx)
			f.node.quotaServer.Fill(ctx)
			if f.Reaches() {
				f.node.heldBack.Save(ctx)
			}
			f.beat(ctx)
		}
	}
}

// start begins to follow the store; the returned function ends it.
func (f *follower) start(ctx context.Context, loops *sync.WaitGroup) context.CancelFunc {
	ctx, end := context.WithCancel(ctx)
	f.mutex.Lock()
	f.lapses = lapse.New(lapse.DefaultConfig())
	f.hears = map[string]bool{}
	f.mutex.Unlock()
	loops.Go(func() { f.whileReached(ctx) })
	return end
}

// Times of the probes, which notice within a second that the store no longer
// answers: a watch may hang for long on a path that was cut.
const (
	probeEvery   = 700 * time.Millisecond
	probeAgain   = 400 * time.Millisecond // while the store does not answer
	probeTimeout = 400 * time.Millisecond
)

// probed is the word for probes among what is followed.
const probed = "probe"

// whileReached follows the store as long as it answers probes; while it does not,
// nothing but probes is sent.
func (f *follower) whileReached(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	end := context.CancelFunc(func() {})
	defer func() { end() }()
	for reached := false; ctx.Err() == nil; {
		answers := f.node.probe(ctx)
		if ctx.Err() != nil {
			return
		}
		f.hear(probed, answers)
		if answers != reached {
			reached = answers
			end()
			loops.Wait()
			if answers {
				end = f.watch(ctx, &loops)
			}
		}
		rest := probeEvery
		if !answers {
			rest = probeAgain
		}
		wait.For(ctx, rest)
	}
}

// watch begins the watches; the returned function ends them.
func (f *follower) watch(ctx context.Context, loops *sync.WaitGroup) context.CancelFunc {
	ctx, end := context.WithCancel(ctx)
	loops.Go(func() { f.followRecords(ctx) })
	loops.Go(func() { f.followConfiguration(ctx) })
	return end
}

// probe tells whether the store answers.
func (n *Node) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := n.store.Probe(ctx)
	n.storeHealth.Note("probe", err)
	return err == nil
}

// hear notes whether a call of the store succeeded.
func (f *follower) hear(what string, succeeded bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hears[what] = succeeded
	f.election.SetWell(f.wellLocked())
	f.lapses.Store(f.node.now(), f.wellLocked())
}

func (f *follower) wellLocked() bool {
	for _, hears := range f.hears {
		if !hears {
			return false
		}
	}
	return f.hears[f.node.options.RecordPrefix]
}

// beat tells the zone that the node follows the store, and what it has lost. A
// follower that does not hear the store asks another zone.
func (f *follower) beat(ctx context.Context) {
	now := f.node.now()
	message := &wire.News{Beat: true, Follower: f.node.settings().Node}
	f.mutex.Lock()
	message.Well = f.wellLocked()
	message.Missing = f.lapses.Missing()
	for name, one := range f.gone {
		if now >= one.till {
			delete(f.gone, name)
			continue
		}
		message.Gone = append(message.Gone, one.record)
	}
	f.mutex.Unlock()
	f.node.news.SendZone(message)
	if message.Well {
		return
	}
	if address := f.node.membership.AddressElsewhere(); address != "" {
		go f.node.exchanger.With(ctx, address)
	}
}

// decide asks the nodes whose records the store has lost, and forgets those that
// are gone.
func (f *follower) decide(ctx context.Context) {
	f.mutex.Lock()
	ask, gone := f.lapses.Due(f.node.now())
	f.mutex.Unlock()
	for _, name := range ask {
		if record := f.node.membership.Record(name); record != nil {
			go f.ask(ctx, record)
		}
	}
	for _, name := range gone {
		f.drop(name)
	}
}

// drop forgets a node and has the zone forget it.
func (f *follower) drop(name string) {
	m := f.node.membership
	record := m.Record(name)
	if record == nil {
		return
	}
	m.LogChange(record, "forgotten", configuration.FromStore)
	m.Forget(record)
	f.mutex.Lock()
	f.gone[name] = goneNode{record: *record, till: f.node.now() + goneTold}
	f.mutex.Unlock()
}

// ask asks a node whose record is missing what it knows of it.
func (f *follower) ask(ctx context.Context, record *wire.NodeRecord) {
	ctx, cancel := context.WithTimeout(ctx, peer.PingTimeout)
	defer cancel()
	pong, err := f.node.peers.Ask(ctx, record.Address)
	answer := lapse.Reaches
	switch {
	case err != nil || pong.Node != record.Node:
		answer = lapse.NoAnswer
	case pong.TurnedAway:
		answer = lapse.TurnedAway
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lapses.Answered(f.node.now(), record.Node, answer)
}
