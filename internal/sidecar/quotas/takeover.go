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
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Fill takes over the shards of which the store has no keeper. The follower of each zone calls
// it again and again; it waits until it is the turn of this zone.
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

// Resume takes over the shards that an earlier process of this node kept. It need not wait for
// the lease of that process to end.
func (s *Server) Resume(ctx context.Context) {
	own := s.options.Settings()
	for _, keeper := range s.keepers.All() {
		if keeper.Node == own.Node && keeper.Address == own.Listen.Inbound && keeper.Incarnation != s.options.Incarnation {
			s.beginTakeOver(ctx, keeper.Shard, &keeper)
		}
	}
}

// Replace takes over a shard whose keeper's process has ended: nobody listens at its address
// any more. Only the follower of a zone does so, in turn. What that keeper gave is learned from
// the reports of the nodes; the shares of a node whose process has ended too went with it.
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

// settle pings the nodes that a new keeper has not heard from, until there are none left. If
// nobody listens at a node's address its process has ended, and it holds nothing.
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

// settleHolder pings one of them.
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

// awaited lists the holders that this node has not heard from as a keeper.
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

// beginTakeOver takes a shard over in the background, unless that is under way or done. gone is
// the keeper whose process has ended; nil: the store has no keeper.
func (s *Server) beginTakeOver(ctx context.Context, shard int, gone *wire.Keeper) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.takingOver[shard] || s.held[shard] != nil {
		return
	}
	s.takingOver[shard] = true
	go func() {
		err := s.takeOver(ctx, shard, gone)
		if err != nil {
			s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "not taken over", Error: err.Error()}, eventlog.Failure)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.takingOver, shard)
	}()
}

// takeover is one takeover of a shard.
type takeover struct {
	shard    int
	gone     *wire.Keeper // whose process has ended; nil: the store has no keeper
	revision int64        // that the record must still have; 0: there must be none
	before   quota.Before // what the record says of the keeper before
	names    []string     // of the nodes that may hold shares
	part     float64      // most of a limit that one share is
}

// takeOver writes this node into the record of a shard and begins to keep it.
func (s *Server) takeOver(ctx context.Context, shard int, gone *wire.Keeper) error {
	s.takeovers <- struct{}{}
	defer func() { <-s.takeovers }()
	t := &takeover{shard: shard, gone: gone}
	if gone != nil {
		follows, err := s.readBefore(ctx, t)
		if err != nil || !follows {
			return err
		}
	}
	lease, err := s.acquireLease(ctx)
	if err != nil {
		return err
	}
	s.listHolders(t)
	epoch, err := s.writeRecord(ctx, shard, lease.ID, t.names, t.part, t.revision)
	if err != nil {
		return err
	}
	return s.keep(ctx, t, lease, epoch)
}

// readBefore reads the record of the keeper before. It returns false if the record is not that
// of the process that has ended: then there is nothing to follow.
func (s *Server) readBefore(ctx context.Context, t *takeover) (bool, error) {
	item, record, err := s.readRecord(ctx, t.shard)
	if err != nil || !s.mayFollow(t.gone, record) {
		return false, err
	}
	t.revision = item.Revision
	// The keeper before may have given shares that last as long as its lease would have.
	t.before = quota.Before{Listed: record.Listed, Part: record.Part, Ends: s.options.Now() + leaseTTL}
	return true, nil
}

// listHolders chooses the nodes that the record lists, and the largest share.
func (s *Server) listHolders(t *takeover) {
	if t.gone != nil {
		// A listed node may be heard from only by the next keeper, so what it may hold by the
		// record must not shrink.
		t.names, t.part = t.before.Listed, t.before.Part
		return
	}
	for _, record := range s.options.Membership.All() {
		t.names = append(t.names, holderName(record.Node, record.Address))
	}
	t.part = quota.PartOf(len(t.names))
}

// keep begins to keep a shard; epoch is the revision of the record that was written.
func (s *Server) keep(ctx context.Context, t *takeover, lease *store.Lease, epoch int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lease != lease {
		return errors.New("lease ended meanwhile")
	}
	now := s.options.Now()
	keeper := quota.NewKeeper(s.options.bound(), epoch, now, t.part, t.before)
	if t.gone == nil {
		keeper.List(now, t.names)
	}
	s.held[t.shard] = &heldShard{keeper: keeper, part: t.part, epoch: epoch, revision: epoch, joining: map[string]bool{}}
	s.keepers.Learn(s.ownKeeper(t.shard, epoch))
	if t.gone != nil {
		go s.settle(ctx)
	}
	s.options.Events.Add(eventlog.Keeper{Shard: t.shard, Change: "taken over", Epoch: epoch, Listed: len(t.before.Listed)}, eventlog.State)
	return nil
}

// mayFollow reports whether a record is that of a process that has ended: the one that was
// found gone, or any earlier one of this node.
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
