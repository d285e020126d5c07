package quotas

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// Intervals and timeouts of requests to keepers.
const (
	requestInterval = 500 * time.Millisecond // between requests of a node for a shard
	// fullReportInterval is the time between full reports. Requests in between report only
	// tenants that need tokens, to reduce cross-zone traffic.
	fullReportInterval = 2 * time.Second
	requestTimeout     = 150 * time.Millisecond // below quota.MaxTransit, after which tokens in the answer are dropped
	firstRetryDelay    = 20 * time.Millisecond  // after the first failure in a row
	retryDelay         = 100 * time.Millisecond // after further failures in a row
	// batchDelayPerNode is multiplied by the number of other nodes, and clamped to minBatchDelay
	// and maxBatchDelay, to get the time for which waiters are collected into one request. This
	// keeps the request rate at a keeper independent of the number of nodes. With 0.15 ms, 32 nodes
	// and 40 tenants at their limits, these messages took 4.3 s of CPU time and the requests
	// themselves 2.4 s.
	batchDelayPerNode = 250 * time.Microsecond
	minBatchDelay     = 4 * time.Millisecond
	maxBatchDelay     = 250 * time.Millisecond
	// shortageFactor multiplies the batch delay after an answer with too few tokens.
	shortageFactor = 2
	// listInterval is the minimum time between reads of all shards' records in the store.
	listInterval = 900 * time.Millisecond
)

// Limiter is a distributed rate limiter that enforces the limits of tenants on the requests
// that enter at this node. A request is admitted with a token held by the node. If there is
// none, the request waits for an answer from the keeper of the tenant's shard.
type Limiter struct {
	options Options
	keepers *Keepers
	server  *Server
	wake    [Shards]chan struct{} // makes Run send a request before the next interval
	// unreachable is set while the keeper of a shard does not answer. Requests that find no
	// token are then rejected without waiting.
	unreachable [Shards]atomic.Bool
	// shortage is set if the last answer of the keeper had too few tokens.
	shortage [Shards]atomic.Bool

	mutex          sync.Mutex
	tenants        map[string]*tenantState // by name
	lastFullReport [Shards]fullReport
	lastListAt     time.Duration // when the records were last listed; 0 if never
}

// fullReport describes the last request for a shard that reported all tenants.
type fullReport struct {
	epoch  int64         // of the keeper that answered
	sentAt time.Duration // 0 if a full report is due
}

// tenantState holds the tokens of a tenant at this node and the requests that wait for one.
type tenantState struct {
	bucket  *quota.Bucket
	waiters []chan bool // each receives the admission decision once
}

// NewLimiter returns a limiter that holds no tokens. server is the Server of the same node.
func NewLimiter(options Options, keepers *Keepers, server *Server) *Limiter {
	l := &Limiter{options: options, keepers: keepers, server: server, tenants: map[string]*tenantState{}}
	for shard := range l.wake {
		l.wake[shard] = make(chan struct{}, 1)
	}
	return l
}

// tenantLocked returns the state of a tenant, updated to the current limit.
func (l *Limiter) tenantLocked(now time.Duration, tenant *intent.Tenant) *tenantState {
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	t := l.tenants[tenant.Name]
	if t == nil {
		t = &tenantState{bucket: quota.NewBucket(l.options.quotaConfig(), limit, now)}
		l.tenants[tenant.Name] = t
	}
	t.bucket.SetLimit(now, limit)
	return t
}

// Admit takes a token for a request of the tenant and reports whether it got one. If the node
// has no token, it waits up to maxWait or until ctx is done.
func (l *Limiter) Admit(ctx context.Context, tenant *intent.Tenant, maxWait time.Duration) bool {
	l.mutex.Lock()
	now := l.options.Now()
	t := l.tenantLocked(now, tenant)
	if t.bucket.Arrive(now) {
		l.mutex.Unlock()
		return true
	}
	if !t.bucket.CanRequest(now) || l.unreachable[shardOf(tenant.Name)].Load() {
		l.mutex.Unlock()
		return false
	}
	admitted := make(chan bool, 1)
	t.waiters = append(t.waiters, admitted)
	l.mutex.Unlock()
	l.requestNow(shardOf(tenant.Name))
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case ok := <-admitted:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.cancelWait(t, admitted)
}

// cancelWait removes a waiter. It returns the decision if one was made in the meantime.
func (l *Limiter) cancelWait(t *tenantState, admitted chan bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case ok := <-admitted:
		return ok
	default:
	}
	t.waiters = slices.DeleteFunc(t.waiters, func(other chan bool) bool { return other == admitted })
	return false
}

// Refusal explains why a request of the tenant was rejected. limitReached is false if the node
// has no tokens for another reason, such as an unreachable keeper. retryAfter is the estimated
// time until tokens are available, at most maxDelay.
func (l *Limiter) Refusal(tenant *intent.Tenant, maxDelay time.Duration) (limitReached bool, retryAfter time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	t := l.tenantLocked(now, tenant)
	return t.bucket.LimitReached(), t.bucket.RetryAfter(now, maxDelay)
}

// ReturnToken returns the token of an admitted request that will not be executed.
func (l *Limiter) ReturnToken(tenant *intent.Tenant) {
	if tenant == nil || !tenant.HasRateLimit() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	l.tenantLocked(now, tenant).bucket.Return(now)
}

// requestNow makes Run send a request for a shard before the next interval.
func (l *Limiter) requestNow(shard int) {
	wait.Notify(l.wake[shard])
}
