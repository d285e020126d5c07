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

// Times of the questions for parts of limits.
const (
	quotaEvery = 500 * time.Millisecond // between two of one node to one keeper
	// completeEvery is the time between two that tell all that the node holds; those
	// between tell of tenants whose stock is low, so that bytes between zones stay few.
	completeEvery = 2 * time.Second
	quotaTimeout  = 150 * time.Millisecond // of one question; below quota.Travel
	quotaRest     = 20 * time.Millisecond  // after one that failed
	quotaFailed   = 100 * time.Millisecond // after more than one
	// gatherEach is the time, for each node, in which requests without a token are asked for
	// together, within gatherLeast and gatherMost: the questions to a keeper then do not
	// grow with the fleet. In a profile of 32 nodes with 40 tenants at their limits and
	// 0.15 ms, questions and answers took 4.3 s of processor time, the requests 2.4 s.
	gatherEach  = 250 * time.Microsecond
	gatherLeast = 4 * time.Millisecond
	gatherMost  = 250 * time.Millisecond
	// gatherShort is the factor on it after an answer with too few tokens.
	gatherShort = 2
	// lookEvery is the least time between two looks for the keepers in the store.
	lookEvery = 900 * time.Millisecond
)

// Limiter keeps the requests that begin here within the limits of their tenants over all
// nodes. A request is let in for a token of the node's stock; where there is none it waits
// for the answer of the tenant's keeper.
type Limiter struct {
	options Options
	keepers *Keepers
	server  *Server
	kicks   [Shards]chan struct{}
	// lost tells that the keeper of a group gives no answers: nobody waits for it.
	lost [Shards]atomic.Bool
	// short tells that the last answer of the keeper had too few tokens.
	short [Shards]atomic.Bool

	mutex  sync.Mutex
	stocks map[string]*stock // by tenant
	told   [Shards]completeness
	looked time.Duration // last look for the keepers in the store
}

// completeness is when all that the node holds was told last, and to whom.
type completeness struct {
	epoch int64
	at    time.Duration
}

// stock is what the node holds of one tenant's limit, and who waits for more.
type stock struct {
	holder  *quota.Holder
	waiters []chan bool // each is told once whether it may go on
}

// NewLimiter makes a limiter that holds no tokens yet; server is that of the same node.
func NewLimiter(options Options, keepers *Keepers, server *Server) *Limiter {
	q := &Limiter{options: options, keepers: keepers, server: server, stocks: map[string]*stock{}}
	for shard := range q.kicks {
		q.kicks[shard] = make(chan struct{}, 1)
	}
	return q
}

func (q *Limiter) stockLocked(now time.Duration, tenant *intent.Tenant) *stock {
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	one := q.stocks[tenant.Name]
	if one == nil {
		one = &stock{holder: quota.NewHolder(q.options.bound(), limit, now)}
		q.stocks[tenant.Name] = one
	}
	one.holder.SetLimit(now, limit)
	return one
}

// Admit takes a token for a request of the tenant; where there is none it waits for one.
func (q *Limiter) Admit(ctx context.Context, tenant *intent.Tenant, wait time.Duration) bool {
	q.mutex.Lock()
	now := q.options.Now()
	one := q.stockLocked(now, tenant)
	if one.holder.Arrive(now) {
		q.mutex.Unlock()
		return true
	}
	if !one.holder.MayAsk(now) || q.lost[shardOf(tenant.Name)].Load() {
		q.mutex.Unlock()
		return false
	}
	told := make(chan bool, 1)
	one.waiters = append(one.waiters, told)
	q.mutex.Unlock()
	q.kick(shardOf(tenant.Name))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case may := <-told:
		return may
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.giveUp(one, told)
}

// giveUp ends the wait of a request; a token that came at the last moment counts.
func (q *Limiter) giveUp(one *stock, told chan bool) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case may := <-told:
		return may
	default:
	}
	one.waiters = slices.DeleteFunc(one.waiters, func(other chan bool) bool { return other == told })
	return false
}

// Refusal tells whether the limit is reached, and when there is room again.
func (q *Limiter) Refusal(tenant *intent.Tenant, most time.Duration) (spent bool, comeBack time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Now()
	one := q.stockLocked(now, tenant)
	return one.holder.Spent(), one.holder.ComeBack(now, most)
}

// GiveBack returns the token of a request that has not run and never will.
func (q *Limiter) GiveBack(tenant *intent.Tenant) {
	if tenant == nil || !tenant.Limited() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Now()
	q.stockLocked(now, tenant).holder.GiveBack(now)
}

// kick has the keeper of a group asked now.
func (q *Limiter) kick(shard int) {
	wait.Signal(q.kicks[shard])
}
