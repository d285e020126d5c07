package quotas

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the keepers. No measurement set them.
const (
	// leaseTTL is how long a keeper may give shares while it cannot renew its lease: longer
	// than most outages of the store last. All shares of a keeper have ended once its lease has.
	leaseTTL     = 6 * time.Second
	renewEvery   = 1500 * time.Millisecond
	renewAgain   = 300 * time.Millisecond // after a renewal that failed
	storeTimeout = 400 * time.Millisecond // of one call of the store
	// turnStep is how long the follower of each zone waits for those of the zones before it in
	// turn, so that not all of them try to take over a shard without a keeper.
	turnStep = 400 * time.Millisecond
	// replaceStep is that time if the keeper's process is known to have ended.
	replaceStep = 150 * time.Millisecond
	// settleAfter and settleEvery are when, after a takeover, the nodes are pinged that the new
	// keeper has not heard from.
	settleAfter = 200 * time.Millisecond
	settleEvery = 500 * time.Millisecond
	// pruneAfter is how long after its last share has ended a node is taken off a record: a
	// keeper that takes over withholds a share for each listed node until it hears from it.
	pruneAfter = 2 * time.Second
	// gatherNames is how long names of new nodes are collected for one write.
	gatherNames = 20 * time.Millisecond
)

// Path is where a node receives the messages of other nodes' limiters.
const Path = "/quota"

// Server is this node's side as a keeper. Each shard that it keeps has a record in the store
// under the server's lease, so that there is at most one keeper of a shard. The record lists
// the nodes that may hold shares, for the keeper that takes over.
type Server struct {
	options Options
	keepers *Keepers

	takeovers chan struct{} // semaphore: takeovers share the lease, so one runs at a time

	mutex       sync.Mutex
	lease       *store.Lease
	leaseEnds   time.Duration // when the node must stop giving shares, by Options.Now
	paused      bool          // leaseEnds has passed, but the lease may still be in the store
	held        map[int]*heldShard
	absentSince map[int]time.Duration // since when the store has no keeper of a shard
	takingOver  map[int]bool
}

// heldShard is one shard that the node keeps. Server.mutex guards its fields.
type heldShard struct {
	keeper   *quota.Keeper
	part     float64         // most of a limit that one share is
	epoch    int64           // of its shares: the record's revision at the takeover
	revision int64           // of the record now
	joining  map[string]bool // nodes that are not in the record yet
	writing  bool            // the record is being written
}

// NewServer makes a server that keeps no shard yet.
func NewServer(options Options, keepers *Keepers) *Server {
	return &Server{options: options, keepers: keepers, takeovers: make(chan struct{}, 1), held: map[int]*heldShard{}, absentSince: map[int]time.Duration{}, takingOver: map[int]bool{}}
}

// Run renews the lease, and takes nodes that hold nothing off the records, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rest := renewEvery
		s.prune()
		if lease := s.leaseInUse(); lease != nil && !s.renew(ctx, lease) {
			rest = renewAgain
		}
		wait.For(ctx, rest)
	}
}

// leaseInUse returns the lease of the shards that the node keeps; nil: it keeps none. A lease
// that has ended by the node's own clock is renewed all the same: the store may not have let
// it expire while it was away, and while the record is there nobody else can take over.
func (s *Server) leaseInUse() *store.Lease {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.held) == 0 {
		return nil
	}
	if ended := s.options.Now() >= s.leaseEnds; ended != s.paused {
		s.pauseLocked(ended)
	}
	return s.lease
}

// acquireLease returns the lease of the shards that the node keeps, or takes a new one.
func (s *Server) acquireLease(ctx context.Context) (*store.Lease, error) {
	s.leaseInUse()
	s.mutex.Lock()
	known, left := s.lease, s.leaseEnds-s.options.Now()
	s.mutex.Unlock()
	// A lease without shards is not renewed, so it is only used again while it is young.
	if known != nil && (s.keeps() || left > leaseTTL/2) {
		return known, nil
	}
	began := s.options.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := s.options.Store.Grant(call, leaseTTL)
	s.options.StoreHealth.Note("lease", err)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease.TTL = min(lease.TTL, leaseTTL)
	s.lease, s.leaseEnds = &lease, began+lease.TTL
	return s.lease, nil
}

// pauseLocked notes that leaseEnds has passed, or that the lease was renewed after that.
func (s *Server) pauseLocked(ended bool) {
	s.paused = ended
	change := "resumed"
	if ended {
		change = "paused"
	}
	for shard, held := range s.held {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: change, Epoch: held.epoch}, eventlog.State)
	}
}

// keeps reports whether the node is the keeper of any shard.
func (s *Server) keeps() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.held) > 0
}

// dropAllLocked stops keeping all shards: their lease is gone.
func (s *Server) dropAllLocked(why string) {
	for shard, held := range s.held {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "ended", Epoch: held.epoch, Error: why}, eventlog.State)
	}
	s.held, s.lease, s.paused = map[int]*heldShard{}, nil, false
}

// renew renews the lease and reports whether the store has done so.
func (s *Server) renew(ctx context.Context, lease *store.Lease) bool {
	began := s.options.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.options.Store.Keep(call, lease.ID)
	s.options.StoreHealth.Note("lease", err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil && s.lease == lease:
		s.leaseEnds = max(s.leaseEnds, began+lease.TTL)
	case errors.Is(err, store.ErrLeaseGone) && s.lease == lease:
		s.dropAllLocked("lease is gone")
	}
	return err == nil
}

// prune takes nodes that have held nothing for pruneAfter off the records.
func (s *Server) prune() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for shard, held := range s.held {
		if held.keeper.Prune(s.options.Now(), pruneAfter) && !held.writing {
			held.writing = true
			go s.writeNames(shard, held)
		}
	}
}

// ServeHTTP answers the limiter of another node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked, read := peer.ReadMessage(w, r, wire.QuotaAskCodec)
	if !read {
		return
	}
	peer.WriteMessage(w, wire.QuotaAnswerCodec, s.Answer(asked))
}

// Answer gives a limiter shares and tokens of the tenants of a shard. A node that is not listed
// in the record gets none before it is.
func (s *Server) Answer(asked *wire.QuotaAsk) *wire.QuotaAnswer {
	answer := &wire.QuotaAnswer{Allotments: []wire.QuotaAllotment{}}
	current := s.options.Configuration.Load()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, now := s.held[asked.Shard], s.options.Now()
	if held == nil || now >= s.leaseEnds || current == nil {
		return answer
	}
	answer.Keeps = true
	if !held.keeper.Lists(asked.Holder) {
		s.addNameLocked(asked.Shard, held, asked.Holder)
		return answer
	}
	answer.Listed, answer.Epoch = true, held.epoch
	process, left := asked.Holder+"/"+asked.Incarnation, s.leaseEnds-now
	for index := range asked.Reports {
		report := reportOf(&asked.Reports[index])
		limit := quota.Limit{}
		if tenant := current.Tenant(report.Tenant); tenant != nil {
			limit = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
		answer.Allotments = append(answer.Allotments, allotmentTo(held.keeper.Answer(now, asked.Holder, process, limit, report, left)))
	}
	if asked.Complete {
		held.keeper.Heard(now, asked.Holder)
	}
	return answer
}
