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

// Times of the keepers of quotas.
const (
	// leaseTTL is how long the right to give parts of limits lasts without the store.
	// Longer than most of its outages last; after it nobody holds anything that a keeper
	// gave that is gone.
	leaseTTL     = 6 * time.Second
	renewEvery   = 1500 * time.Millisecond
	renewAgain   = 300 * time.Millisecond // after a call that failed
	storeTimeout = 400 * time.Millisecond // of one call
	// turnStep is the time that the follower of each zone leaves to those before it.
	turnStep = 400 * time.Millisecond
	// replaceStep is that time where the keeper's process is known to be gone.
	replaceStep = 150 * time.Millisecond
	// settleEvery is the time between two looks for nodes that a new keeper has not heard of.
	settleEvery = 500 * time.Millisecond
	settleAfter = 200 * time.Millisecond // after the taking over
	// pruneAfter is the time after which the name of a node is dropped that holds nothing:
	// a new keeper withholds something for each name until it hears of the node.
	pruneAfter = 2 * time.Second
	// gatherNames is the time in which the names of new nodes are written together.
	gatherNames = 20 * time.Millisecond
)

// Path is where a node takes the questions of other nodes for parts of limits.
const Path = "/quota"

// Server holds the groups of tenants whose quotas the node keeps. The right to do so is a
// key in the store with a lease, so that there is one keeper at most; beside it stand the
// names of the nodes that may hold parts, for the one that takes over.
type Server struct {
	options Options
	keepers *Keepers

	takeovers chan struct{} // one group is taken over at a time: all share a lease

	mutex       sync.Mutex
	lease       *store.Lease
	leaseEnds   time.Duration // end of the right to give, on the node's clock
	paused      bool          // it has ended, and the lease may still be in the store
	held        map[int]*heldShard
	absentSince map[int]time.Duration // since when a group is seen without a keeper
	takingOver  map[int]bool
}

// heldShard is one shard that the node keeps. Its fields belong to the mutex of Server.
type heldShard struct {
	keeper   *quota.Keeper
	part     float64 // most of a limit that one share is
	epoch    int64
	revision int64
	joining  map[string]bool // nodes whose names are not kept yet
	writing  bool
}

// NewServer makes a server that keeps no shard yet.
func NewServer(options Options, keepers *Keepers) *Server {
	return &Server{options: options, keepers: keepers, takeovers: make(chan struct{}, 1), held: map[int]*heldShard{}, absentSince: map[int]time.Duration{}, takingOver: map[int]bool{}}
}

// Run renews the right until ctx ends.
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

// leaseInUse gives the lease of the groups that are kept, nil when there is none. It is renewed
// also when the right to give has ended: the store's leases may wait while it is away, and
// as long as the key is there nobody else can have it.
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

// acquireLease gives the lease of the groups that the node keeps.
func (s *Server) acquireLease(ctx context.Context) (*store.Lease, error) {
	s.leaseInUse()
	s.mutex.Lock()
	known, left := s.lease, s.leaseEnds-s.options.Now()
	s.mutex.Unlock()
	if known != nil && (s.Keeps() || left > leaseTTL/2) {
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

// pauseLocked notes that the right to give has ended or come back.
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

// Keeps tells whether the node keeps the quotas of any group.
func (s *Server) Keeps() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.held) > 0
}

func (s *Server) dropAllLocked(why string) {
	for shard, held := range s.held {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "ended", Epoch: held.epoch, Error: why}, eventlog.State)
	}
	s.held, s.lease, s.paused = map[int]*heldShard{}, nil, false
}

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

// prune takes the names of nodes that are gone out of the records.
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

// ServeHTTP answers the question of another node for parts of limits.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked, read := peer.ReadMessage(w, r, wire.QuotaAskCodec)
	if !read {
		return
	}
	peer.WriteMessage(w, wire.QuotaAnswerCodec, s.Answer(asked))
}

// Answer gives a process its parts of the limits of a group.
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
		s.addName(asked.Shard, held, asked.Holder)
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
