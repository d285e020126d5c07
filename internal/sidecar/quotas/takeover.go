package quotas

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// Fill takes over the groups that have no keeper, when it is the turn of the follower of
// this zone.
func (s *Server) Fill(ctx context.Context) {
	if s.options.Stopping() || !s.options.limited() {
		return
	}
	now := s.options.Now()
	zones := s.options.Membership.ZoneNames()
	without := map[int]bool{}
	for _, shard := range s.keepers.Without() {
		without[shard] = true
		since, seen := s.absentSince[shard]
		if !seen {
			s.absentSince[shard], since = now, now
		}
		if now-since >= turnStep*time.Duration(turnOf(shard, s.options.Settings().Zone, zones)) {
			s.beginTakeOver(ctx, shard, nil)
		}
	}
	for shard := range s.absentSince {
		if !without[shard] {
			delete(s.absentSince, shard)
		}
	}
}

// Resume takes over again what an earlier process of this node kept, before its lease is
// over: nobody else can have it until then.
func (s *Server) Resume(ctx context.Context) {
	own := s.options.Settings()
	for _, keeper := range s.keepers.All() {
		if keeper.Node == own.Node && keeper.Address == own.Listen.Inbound && keeper.Incarnation != s.options.Incarnation {
			s.beginTakeOver(ctx, keeper.Shard, &keeper)
		}
	}
}

// Replace takes over a group whose keeper's process is gone: nobody listens at its address
// any more. What it gave is told by the nodes, and by those of which nobody listens either.
func (s *Server) Replace(ctx context.Context, gone *wire.Keeper) {
	if s.options.Stopping() || !s.options.Follower.Reaches() {
		return
	}
	turn := turnOf(gone.Shard, s.options.Settings().Zone, s.options.Membership.ZoneNames())
	wait.For(ctx, replaceStep*time.Duration(turn))
	if known := s.keepers.Of(gone.Shard); known != nil && known.Revision == gone.Revision {
		s.beginTakeOver(ctx, gone.Shard, gone)
	}
}

// settle asks the nodes that a group's keeper has not heard of yet, until there are none: of
// one at whose address nobody listens the process is gone, and what it held with it.
func (s *Server) settle(ctx context.Context) {
	for wait.For(ctx, settleAfter); ctx.Err() == nil; wait.For(ctx, settleEvery) {
		awaited := s.awaited()
		if len(awaited) == 0 {
			return
		}
		var asked sync.WaitGroup
		for _, holder := range awaited {
			asked.Go(func() { s.settleHolder(ctx, holder) })
		}
		asked.Wait()
	}
}

func (s *Server) settleHolder(ctx context.Context, holder string) {
	call, cancel := context.WithTimeout(ctx, peer.PingTimeout)
	defer cancel()
	if err := s.options.Peers.PingPeer(call, addressOfHolder(holder)); !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.held {
		held.keeper.Heard(s.options.Now(), holder)
	}
}

// awaited gives the nodes that keepers here have not heard of.
func (s *Server) awaited() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []string
	for _, held := range s.held {
		for _, holder := range held.keeper.Awaited(s.options.Now()) {
			if !slices.Contains(found, holder) {
				found = append(found, holder)
			}
		}
	}
	return found
}

// beginTakeOver takes a group over unless that is under way.
func (s *Server) beginTakeOver(ctx context.Context, shard int, before *wire.Keeper) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.takingOver[shard] || s.held[shard] != nil {
		return
	}
	s.takingOver[shard] = true
	go func() {
		err := s.takeOver(ctx, shard, before)
		if err != nil {
			s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "not taken over", Error: err.Error()}, eventlog.Failure)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.takingOver, shard)
	}()
}

func (s *Server) takeOver(ctx context.Context, shard int, before *wire.Keeper) error {
	s.takeovers <- struct{}{}
	defer func() { <-s.takeovers }()
	revision, known := int64(0), quota.Before{}
	if before != nil {
		item, record, err := s.readRecord(ctx, shard)
		if err != nil {
			return err
		}
		if !s.mayFollow(before, record) {
			return nil
		}
		// The one before may have given parts that last until its lease would have ended.
		revision, known = item.Revision, quota.Before{Listed: record.Listed, Part: record.Part, Ends: s.options.Now() + leaseTTL}
	}
	lease, err := s.acquireLease(ctx)
	if err != nil {
		return err
	}
	names := known.Listed
	if before == nil {
		for _, record := range s.options.Membership.All() {
			names = append(names, holderName(record.Node, record.Address))
		}
	}
	// A node that this keeper does not hear of may be heard by the next one: the part that
	// it may hold stays as it was.
	part := known.Part
	if before == nil {
		part = quota.PartOf(len(names))
	}
	written, err := s.writeRecord(ctx, shard, lease.ID, names, part, revision)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lease != lease {
		return errors.New("lease ended meanwhile")
	}
	now := s.options.Now()
	keeper := quota.NewKeeper(s.options.bound(), written, now, part, known)
	if before == nil {
		keeper.List(now, names)
	}
	s.held[shard] = &heldShard{keeper: keeper, part: part, epoch: written, revision: written, joining: map[string]bool{}}
	s.keepers.Learn(s.ownKeeper(shard, written))
	if before != nil {
		go s.settle(ctx)
	}
	s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "taken over", Epoch: written, Listed: len(known.Listed)}, eventlog.State)
	return nil
}

// mayFollow tells whether the record of a group is that of a process which is gone: the one
// that was found gone, or any earlier one of this node.
func (s *Server) mayFollow(gone *wire.Keeper, record *wire.KeeperRecord) bool {
	switch {
	case record == nil || record.Node != gone.Node || record.Address != gone.Address:
		return false
	case gone.Node == s.options.Settings().Node:
		return record.Incarnation != s.options.Incarnation
	default:
		return record.Incarnation == gone.Incarnation
	}
}
