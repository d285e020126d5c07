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

// TakeOverAbsent takes over shards that have no record in the store. The follower of each zone calls it
// periodically; takeovers are staggered by the rank of the zone.
func (s *Server) TakeOverAbsent(ctx context.Context) {
	if s.options.Stopping() || !s.options.anyTenantLimited() {
		return
	}
	now := s.options.Now()
	zones := s.options.Membership.ZoneNames()
	vacant := map[int]bool{}
	for _, shard := range s.keepers.AbsentShards() {
		vacant[shard] = true
		since, seen := s.absentSince[shard]
		if !seen {
			s.absentSince[shard], since = now, now
		}
		if now-since >= takeoverStagger*time.Duration(zoneRank(shard, s.options.Settings().Zone, zones)) {
			s.startTakeover(ctx, shard, nil)
		}
	}
	for shard := range s.absentSince {
		if !vacant[shard] {
			delete(s.absentSince, shard)
		}
	}
}

// Resume takes over the shards of an earlier process of this node, without waiting for the
// lease of that process to expire.
func (s *Server) Resume(ctx context.Context) {
	own := s.options.Settings()
	for _, keeper := range s.keepers.All() {
		if keeper.Node == own.Node && keeper.Address == own.Listen.Inbound && keeper.Incarnation != s.options.Incarnation {
			s.startTakeover(ctx, keeper.Shard, &keeper)
		}
	}
}

// Replace takes over a shard whose keeper refuses connections, so its process has ended. It
// does nothing unless this node is the follower of its zone. The new keeper learns from the
// nodes' reports which shares are allocated.
func (s *Server) Replace(ctx context.Context, failed *wire.Keeper) {
	if s.options.Stopping() || !s.options.Follower.StoreReachable() {
		return
	}
	rank := zoneRank(failed.Shard, s.options.Settings().Zone, s.options.Membership.ZoneNames())
	wait.Sleep(ctx, replaceStagger*time.Duration(rank))
	if known := s.keepers.Get(failed.Shard); known != nil && known.Revision == failed.Revision {
		s.startTakeover(ctx, failed.Shard, failed)
	}
}

// probeHolders pings the holders that have not sent a full report to this keeper, until none
// are left. If a holder refuses the connection, its process has ended and it has no shares.
func (s *Server) probeHolders(ctx context.Context) {
	for wait.Sleep(ctx, probeDelay); ctx.Err() == nil; wait.Sleep(ctx, probeInterval) {
		unreported := s.unreportedHolders()
		if len(unreported) == 0 {
			return
		}
		var probes sync.WaitGroup
		for _, holder := range unreported {
			probes.Go(func() { s.probeHolder(ctx, holder) })
		}
		probes.Wait()
	}
}

// probeHolder pings a holder and marks it as reported if it refuses the connection.
func (s *Server) probeHolder(ctx context.Context, holder string) {
	call, cancel := context.WithTimeout(ctx, peer.PingTimeout)
	defer cancel()
	if err := s.options.Peers.PingPeer(call, addressOfHolder(holder)); !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, state := range s.shards {
		state.keeper.MarkReported(s.options.Now(), holder)
	}
}

// unreportedHolders returns the holders that have not yet sent a full report to this keeper.
func (s *Server) unreportedHolders() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var holders []string
	for _, state := range s.shards {
		for _, holder := range state.keeper.Unreported(s.options.Now()) {
			if !slices.Contains(holders, holder) {
				holders = append(holders, holder)
			}
		}
	}
	return holders
}

// startTakeover takes over a shard in the background, unless this node already keeps it or a
// takeover is in progress. failed is the keeper whose process has ended; nil means that the
// shard has no record.
func (s *Server) startTakeover(ctx context.Context, shard int, failed *wire.Keeper) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.takingOver[shard] || s.shards[shard] != nil {
		return
	}
	s.takingOver[shard] = true
	go func() {
		err := s.takeOver(ctx, shard, failed)
		if err != nil {
			s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "not taken over", Error: err.Error()}, eventlog.Failure)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.takingOver, shard)
	}()
}

// takeover is the state of a takeover of a shard.
type takeover struct {
	shard    int
	failed   *wire.Keeper         // keeper whose process has ended; nil if the shard has no record
	revision int64                // expected revision of the record; 0 if there is none
	prior    quota.PreviousKeeper // allocation state recorded by the previous keeper
	holders  []string             // nodes that may hold shares
	maxShare float64              // upper bound of a share, as a fraction of the limit
}

// takeOver writes a record that names this node as the keeper of a shard, and starts to serve
// the shard.
func (s *Server) takeOver(ctx context.Context, shard int, failed *wire.Keeper) error {
	s.takeovers <- struct{}{}
	defer func() { <-s.takeovers }()
	t := &takeover{shard: shard, failed: failed}
	if failed != nil {
		replaceable, err := s.readPrior(ctx, t)
		if err != nil || !replaceable {
			return err
		}
	}
	lease, err := s.acquireLease(ctx)
	if err != nil {
		return err
	}
	s.selectHolders(t)
	epoch, err := s.writeRecord(ctx, shard, lease.ID, t.holders, t.maxShare, t.revision)
	if err != nil {
		return err
	}
	return s.startKeeping(ctx, t, lease, epoch)
}

// readPrior reads the record of the failed keeper. It returns false if the record was written
// by a different process, in which case the shard must not be taken over.
func (s *Server) readPrior(ctx context.Context, t *takeover) (bool, error) {
	item, record, err := s.readRecord(ctx, t.shard)
	if err != nil || !s.mayReplace(t.failed, record) {
		return false, err
	}
	t.revision = item.Revision
	// Shares of the previous keeper may be valid for up to the TTL of its lease.
	t.prior = quota.PreviousKeeper{Listed: record.Listed, MaxFraction: record.Part, ExpiresAt: s.options.Now() + leaseTTL}
	return true, nil
}

// selectHolders sets the holders to list in the record and the upper bound of a share.
func (s *Server) selectHolders(t *takeover) {
	if t.failed != nil {
		// A holder might not report before the next takeover, so the record must keep covering
		// the shares that it may have from the previous keeper.
		t.holders, t.maxShare = t.prior.Listed, t.prior.MaxFraction
		return
	}
	for _, record := range s.options.Membership.Records() {
		t.holders = append(t.holders, holderName(record.Node, record.Address))
	}
	t.maxShare = quota.MaxShareFraction(len(t.holders))
}

// startKeeping starts to serve a shard. epoch is the revision of the record just written.
func (s *Server) startKeeping(ctx context.Context, t *takeover, lease *store.Lease, epoch int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lease != lease {
		return errors.New("lease was lost during the takeover")
	}
	now := s.options.Now()
	keeper := quota.NewKeeper(s.options.quotaConfig(), epoch, now, t.maxShare, t.prior)
	if t.failed == nil {
		keeper.AddListed(now, t.holders)
	}
	s.shards[t.shard] = &shardState{keeper: keeper, maxShare: t.maxShare, epoch: epoch, revision: epoch, joiningHolders: map[string]bool{}}
	s.keepers.Learn(s.ownKeeper(t.shard, epoch))
	if t.failed != nil {
		go s.probeHolders(ctx)
	}
	s.options.Events.Add(eventlog.Keeper{Shard: t.shard, Change: "taken over", Epoch: epoch, Listed: len(t.prior.Listed)}, eventlog.State)
	return nil
}

// mayReplace reports whether a record was written by a process that has ended: the failed
// keeper or any earlier process of this node.
func (s *Server) mayReplace(failed *wire.Keeper, record *wire.KeeperRecord) bool {
	switch {
	case record == nil || record.Node != failed.Node || record.Address != failed.Address:
		return false
	case failed.Node == s.options.Settings().Node:
		return record.Incarnation != s.options.Incarnation
	default:
		return record.Incarnation == failed.Incarnation
	}
}
