package follower

import (
	"context"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/election"
	"github.com/landingmast/landingmast/internal/core/lapse"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of a follower.
const (
	followerTick = 100 * time.Millisecond // between two looks at the election
	beatEvery    = 300 * time.Millisecond // between two heartbeats
	goneNamed    = 5 * time.Second        // how long heartbeats name a node that is gone
)

// Follower follows the store on behalf of the nodes of the zone while it is elected, and
// sends them heartbeats. It is safe for concurrent use.
type Follower struct {
	options Options

	mutex     sync.Mutex
	election  *election.Election // nil until Begin
	lapses    *lapse.Tracker
	hears     map[string]bool // by what is followed: its last call succeeded
	gone      map[string]goneNode
	following bool
	heard     string // follower of the zone that last said that the store answers it
	heardAt   time.Duration
}

// New makes the follower of a node that does not take part in the election yet.
func New(options Options) *Follower {
	return &Follower{options: options, lapses: lapse.New(lapse.DefaultConfig()), hears: map[string]bool{}, gone: map[string]goneNode{}}
}

// goneNode is a node that is gone; heartbeats name it until a time.
type goneNode struct {
	record wire.NodeRecord
	until  time.Duration
}

// Begin lets the node take part in the election, once it knows the other nodes.
func (f *Follower) Begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election == nil {
		f.election = election.New(election.DefaultConfig(), f.options.Settings().Node, f.options.Now())
		f.election.SetMembers(f.options.Members.ZonePeers())
	}
}

// Resign ends the node's part in the election; it follows no more.
func (f *Follower) Resign() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.Resign()
	}
}

// SetMembers sets the other nodes of the zone.
func (f *Follower) SetMembers(names []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.election != nil {
		f.election.SetMembers(names)
	}
}

// Heard notes the heartbeat of another follower; well: the store answers it.
func (f *Follower) Heard(name string, well bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if well {
		f.heard, f.heardAt = name, f.options.Now()
	}
	if f.election != nil {
		f.election.Beat(f.options.Now(), name, well)
	}
}

// heardFor is how long a heartbeat counts: the time of three, and some time on the way.
const heardFor = 3*beatEvery + 100*time.Millisecond

// Address is the address of another follower of the zone that the store answers; empty: none
// is known.
func (f *Follower) Address() string {
	f.mutex.Lock()
	name, recent := f.heard, f.options.Now()-f.heardAt < heardFor
	f.mutex.Unlock()
	if name == "" || !recent {
		return ""
	}
	if record := f.options.Members.Record(name); record != nil {
		return record.Address
	}
	return ""
}

// Reaches reports whether the node follows the store and the store answers it.
func (f *Follower) Reaches() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.Follows(f.options.Now()) && f.hears[probed]
}

// Follows reports whether the node follows the store now.
func (f *Follower) Follows() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.election != nil && f.election.Follows(f.options.Now())
}

// Run follows the store while the node is elected, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	end := context.CancelFunc(func() {})
	defer func() { end() }()
	beaten := time.Duration(0)
	for ; ctx.Err() == nil; wait.For(ctx, followerTick) {
		follows := f.Follows()
		if follows != f.following {
			f.following = follows
			f.logFollowing(follows)
			end()
			loops.Wait()
			if follows {
				end = f.start(ctx, &loops)
			}
		}
		if now := f.options.Now(); follows && now-beaten >= beatEvery {
			beaten = now
			f.decide(ctx)
			f.options.Heartbeat(ctx)
			f.beat(ctx)
		}
	}
}

// start begins to follow the store; the returned function ends it.
func (f *Follower) start(ctx context.Context, loops *sync.WaitGroup) context.CancelFunc {
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
	probeEvery = 700 * time.Millisecond
	probeAgain = 400 * time.Millisecond // while the store does not answer
)

// probed stands for the probes among what is followed.
const probed = "probe"

// whileReached follows the store as long as it answers probes; while it does not,
// nothing but probes is sent.
func (f *Follower) whileReached(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	end := context.CancelFunc(func() {})
	defer func() { end() }()
	for reached := false; ctx.Err() == nil; {
		answers := f.options.Health.Probe(ctx, f.options.Store)
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
func (f *Follower) watch(ctx context.Context, loops *sync.WaitGroup) context.CancelFunc {
	ctx, end := context.WithCancel(ctx)
	loops.Go(func() { f.followRecords(ctx) })
	loops.Go(func() { f.followConfiguration(ctx) })
	return end
}

// hear notes whether a call of the store succeeded.
func (f *Follower) hear(what string, succeeded bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hears[what] = succeeded
	f.election.SetWell(f.wellLocked())
	f.lapses.Store(f.options.Now(), f.wellLocked())
}

func (f *Follower) wellLocked() bool {
	for _, hears := range f.hears {
		if !hears {
			return false
		}
	}
	return f.hears[f.options.RecordPrefix]
}

// beat sends the zone a heartbeat: that this node follows the store, whether the store answers
// it, and which records are missing there. A follower that the store does not answer exchanges
// with a node of another zone.
func (f *Follower) beat(ctx context.Context) {
	now := f.options.Now()
	message := &wire.News{Beat: true, Follower: f.options.Settings().Node}
	f.mutex.Lock()
	message.Well = f.wellLocked()
	message.Missing = f.lapses.Missing()
	for name, one := range f.gone {
		if now >= one.until {
			delete(f.gone, name)
			continue
		}
		message.Gone = append(message.Gone, one.record)
	}
	f.mutex.Unlock()
	f.options.SendZone(message)
	if message.Well {
		return
	}
	if address := f.options.Members.AddressElsewhere(); address != "" {
		go f.options.Exchange(ctx, address)
	}
}

// decide asks the nodes whose records are missing in the store whether they are alive, and
// forgets those that are gone.
func (f *Follower) decide(ctx context.Context) {
	f.mutex.Lock()
	ask, gone := f.lapses.Due(f.options.Now())
	f.mutex.Unlock()
	for _, name := range ask {
		if record := f.options.Members.Record(name); record != nil {
			go f.ask(ctx, record)
		}
	}
	for _, name := range gone {
		f.drop(name)
	}
}

// drop forgets a node, and names it in the next heartbeats so that the zone does.
func (f *Follower) drop(name string) {
	m := f.options.Members
	record := m.Record(name)
	if record == nil {
		return
	}
	m.LogChange(record, "forgotten", configuration.FromStore)
	m.Remove(record)
	f.mutex.Lock()
	f.gone[name] = goneNode{record: *record, until: f.options.Now() + goneNamed}
	f.mutex.Unlock()
}

// ask asks a node whose record is missing whether it is alive and the store serves it.
func (f *Follower) ask(ctx context.Context, record *wire.NodeRecord) {
	ctx, cancel := context.WithTimeout(ctx, peer.PingTimeout)
	defer cancel()
	pong, err := f.options.Peers.Ask(ctx, record.Address)
	answer := lapse.Reaches
	switch {
	case err != nil || pong.Node != record.Node:
		answer = lapse.NoAnswer
	case pong.TurnedAway:
		answer = lapse.TurnedAway
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lapses.Answered(f.options.Now(), record.Node, answer)
}

// logFollowing logs that the node begins or ends to follow the store for its zone.
func (f *Follower) logFollowing(follows bool) {
	change := "unfollowed"
	if follows {
		change = "followed"
	}
	f.options.Events.Add(eventlog.Store{Change: change}, eventlog.State)
}
