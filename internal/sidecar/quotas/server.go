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

// Intervals and timeouts of keepers.
const (
	// leaseTTL bounds how long a keeper allocates shares without renewing its lease; it covers
	// most outages of the store. No share outlives the lease.
	leaseTTL        = 6 * time.Second
	renewInterval   = 1500 * time.Millisecond
	renewRetryDelay = 300 * time.Millisecond // after a failed renewal
	storeTimeout    = 400 * time.Millisecond // of a store call
	// takeoverStagger delays the takeover of a shard without a record, per rank of the zone, so
	// that the followers do not compete for it.
	takeoverStagger = 400 * time.Millisecond
	// replaceStagger replaces takeoverStagger if the keeper's process is known to have ended.
	replaceStagger = 150 * time.Millisecond
	// probeDelay and probeInterval schedule the pings of unreported holders after a takeover.
	probeDelay    = 200 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// pruneAfter is the time after the end of its last share at which a holder is removed from
	// the record. Each listed holder reduces what a new keeper can allocate until it reports.
	pruneAfter = 2 * time.Second
	// holderBatchDelay is how long new holders are collected for one write of the record.
	holderBatchDelay = 20 * time.Millisecond
)

// Path is the HTTP path of requests to a keeper.
const Path = "/quota"

// Server allocates the limits of the tenants in the shards that this node keeps. Each of these
// shards has a record in the store that is attached to the server's lease, so that a shard has
// at most one keeper. The record lists the nodes that may hold shares, for the next keeper.
type Server struct {
	options Options
	keepers *Keepers

	takeovers chan struct{} // semaphore: takeovers share the lease, so one runs at a time

	mutex        sync.Mutex
	lease        *store.Lease
	leaseExpires time.Duration // when this node must stop allocating, by Options.Now
	paused       bool          // leaseExpires has passed, but the store may still have the lease
	shards       map[int]*shardState
	absentSince  map[int]time.Duration // when a shard was first seen without a record
	takingOver   map[int]bool
}

// shardState is the state of a shard that this node keeps. Server.mutex guards its fields.
type shardState struct {
	keeper         *quota.Keeper
	maxShare       float64         // upper bound of a share, as a fraction of the limit
	epoch          int64           // revision of the record at the takeover
	revision       int64           // current revision of the record
	joiningHolders map[string]bool // nodes that are not yet listed in the record
	writing        bool            // a write of the record is scheduled or in progress
}

// NewServer returns a server that keeps no shards.
func NewServer(options Options, keepers *Keepers) *Server {
	return &Server{options: options, keepers: keepers, takeovers: make(chan struct{}, 1), shards: map[int]*shardState{}, absentSince: map[int]time.Duration{}, takingOver: map[int]bool{}}
}

// Run renews the lease and prunes inactive holders until ctx is done.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := renewInterval
		s.prune()
		if lease := s.activeLease(); lease != nil && !s.renew(ctx, lease) {
			delay = renewRetryDelay
		}
		wait.Sleep(ctx, delay)
	}
}

// activeLease returns the lease of the shards that this node keeps, or nil if it keeps none. It
// also returns a lease that has expired by the local clock: the store may not have expired it,
// and no other node can take over while the records exist.
func (s *Server) activeLease() *store.Lease {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.shards) == 0 {
		return nil
	}
	if expired := s.options.Now() >= s.leaseExpires; expired != s.paused {
		s.setPausedLocked(expired)
	}
	return s.lease
}

// acquireLease returns the current lease if it can be used for another shard, and a new one
// otherwise.
func (s *Server) acquireLease(ctx context.Context) (*store.Lease, error) {
	s.activeLease()
	s.mutex.Lock()
	known, left := s.lease, s.leaseExpires-s.options.Now()
	s.mutex.Unlock()
	// A lease without shards is not renewed, so reuse it only if enough of its TTL is left.
	if known != nil && (s.keepsAny() || left > leaseTTL/2) {
		return known, nil
	}
	began := s.options.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := s.options.Store.Grant(call, leaseTTL)
	s.options.StoreHealth.Record("lease", err)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease.TTL = min(lease.TTL, leaseTTL)
	s.lease, s.leaseExpires = &lease, began+lease.TTL
	return s.lease, nil
}

// setPausedLocked records and logs that the lease has expired by the local clock, or that it has
// been renewed afterwards.
func (s *Server) setPausedLocked(paused bool) {
	s.paused = paused
	change := "resumed"
	if paused {
		change = "paused"
	}
	for shard, state := range s.shards {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: change, Epoch: state.epoch}, eventlog.State)
	}
}

// keepsAny reports whether this node is the keeper of any shard.
func (s *Server) keepsAny() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.shards) > 0
}

// dropAllLocked stops serving all shards after the lease was lost.
func (s *Server) dropAllLocked(reason string) {
	for shard, state := range s.shards {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "ended", Epoch: state.epoch, Error: reason}, eventlog.State)
	}
	s.shards, s.lease, s.paused = map[int]*shardState{}, nil, false
}

// renew renews the lease and reports whether that succeeded.
func (s *Server) renew(ctx context.Context, lease *store.Lease) bool {
	began := s.options.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.options.Store.KeepAlive(call, lease.ID)
	s.options.StoreHealth.Record("lease", err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil && s.lease == lease:
		s.leaseExpires = max(s.leaseExpires, began+lease.TTL)
	case errors.Is(err, store.ErrLeaseExpired) && s.lease == lease:
		s.dropAllLocked("store no longer has the lease")
	}
	return err == nil
}

// prune removes holders without shares from the records after pruneAfter.
func (s *Server) prune() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for shard, state := range s.shards {
		if state.keeper.Prune(s.options.Now(), pruneAfter) && !state.writing {
			state.writing = true
			go s.updateHolders(shard, state)
		}
	}
}

// ServeHTTP answers a request from the limiter of another node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, ok := peer.ReadMessage(w, r, wire.QuotaRequestCodec)
	if !ok {
		return
	}
	peer.WriteMessage(w, wire.QuotaResponseCodec, s.Answer(request))
}

// Answer allocates shares and tokens to the node that sent the request. If the node is not yet
// listed in the record, it is added and receives nothing.
func (s *Server) Answer(request *wire.QuotaRequest) *wire.QuotaResponse {
	answer := &wire.QuotaResponse{Allotments: []wire.QuotaAllotment{}}
	current := s.options.Configuration.Load()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, now := s.shards[request.Shard], s.options.Now()
	if state == nil || now >= s.leaseExpires || current == nil {
		return answer
	}
	answer.Keeps = true
	if !state.keeper.IsListed(request.Holder) {
		s.addHolderLocked(request.Shard, state, request.Holder)
		return answer
	}
	answer.Listed, answer.Epoch = true, state.epoch
	process, remaining := request.Holder+"/"+request.Incarnation, s.leaseExpires-now
	for i := range request.Reports {
		report := reportFromWire(&request.Reports[i])
		limit := quota.Limit{}
		if tenant := current.TenantByName(report.Tenant); tenant != nil {
			limit = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
		answer.Allotments = append(answer.Allotments, allotmentToWire(state.keeper.Allocate(now, request.Holder, process, limit, report, remaining)))
	}
	if request.Complete {
		state.keeper.MarkReported(now, request.Holder)
	}
	return answer
}
