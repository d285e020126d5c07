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
	askEvery = 500 * time.Millisecond // between two of one node to one keeper
	// completeEvery is the time between two that tell all that the node holds; those
	// between tell of tenants whose stock is low, so that bytes between zones stay few.
	completeEvery = 2 * time.Second
	askTimeout    = 150 * time.Millisecond // of one question; below quota.Travel
	retryFirst    = 20 * time.Millisecond  // after one that failed
	retryLater    = 100 * time.Millisecond // after more than one
	// gatherEach is the time, for each node, in which requests without a token are asked for
	// together, within gatherLeast and gatherMost: the questions to a keeper then do not
	// grow with the fleet. In a profile of 32 nodes with 40 tenants at their limits and
	// 0.15 ms, questions and answers took 4.3 s of processor time, the requests 2.4 s.
	gatherEach  = 250 * time.Microsecond
	gatherLeast = 4 * time.Millisecond
	gatherMost  = 250 * time.Millisecond
	// gatherShort is the factor on it after an answer with too few tokens.
	gatherShort = 2
	// listEvery is the least time between two looks for the keepers in the store.
	listEvery = 900 * time.Millisecond
)

// Limiter keeps the requests that begin here within the limits of their tenants over all
// nodes. A request is let in for a token of the node's stock; where there is none it waits
// for the answer of the tenant's keeper.
type Limiter struct {
	options Options
	keepers *Keepers
	server  *Server
	urgent  [Shards]chan struct{}
	// unreachable tells that the keeper of a group gives no answers: nobody waits for it.
	unreachable [Shards]atomic.Bool
	// short tells that the last answer of the keeper had too few tokens.
	short [Shards]atomic.Bool

	mutex        sync.Mutex
	tenants      map[string]*tenantState // by tenant
	lastComplete [Shards]completeReport
	lastList     time.Duration // last look for the keepers in the store
}

// completeReport is when all that the node holds was told last, and to whom.
type completeReport struct {
	epoch int64
	at    time.Duration
}

// tenantState is what the node holds of one tenant's limit, and who waits for more.
type tenantState struct {
	holder  *quota.Holder
	waiters []chan bool // each is told once whether it may go on
}

// NewLimiter makes a limiter that holds no tokens yet; server is that of the same node.
func NewLimiter(options Options, keepers *Keepers, server *Server) *Limiter {
	l := &Limiter{options: options, keepers: keepers, server: server, tenants: map[string]*tenantState{}}
	for shard := range l.urgent {
		l.urgent[shard] = make(chan struct{}, 1)
	}
	return l
}

func (l *Limiter) tenantLocked(now time.Duration, tenant *intent.Tenant) *tenantState {
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	t := l.tenants[tenant.Name]
	if t == nil {
		t = &tenantState{holder: quota.NewHolder(l.options.bound(), limit, now)}
		l.tenants[tenant.Name] = t
	}
	t.holder.SetLimit(now, limit)
	return t
}

// Admit takes a token for a request of the tenant; where there is none it waits for one.
func (l *Limiter) Admit(ctx context.Context, tenant *intent.Tenant, wait time.Duration) bool {
	l.mutex.Lock()
	now := l.options.Now()
	t := l.tenantLocked(now, tenant)
	if t.holder.Arrive(now) {
		l.mutex.Unlock()
		return true
	}
	if !t.holder.MayAsk(now) || l.unreachable[shardOf(tenant.Name)].Load() {
		l.mutex.Unlock()
		return false
	}
	admitted := make(chan bool, 1)
	t.waiters = append(t.waiters, admitted)
	l.mutex.Unlock()
	l.askNow(shardOf(tenant.Name))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-admitted:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.giveUp(t, admitted)
}

// giveUp ends the wait of a request; a token that came at the last moment counts.
func (l *Limiter) giveUp(t *tenantState, admitted chan bool) bool {
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

// Refusal tells whether the limit is reached, and when there is room again.
func (l *Limiter) Refusal(tenant *intent.Tenant, most time.Duration) (limitReached bool, retryAfter time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	t := l.tenantLocked(now, tenant)
	return t.holder.Spent(), t.holder.ComeBack(now, most)
}

// GiveBack returns the token of a request that has not run and never will.
func (l *Limiter) GiveBack(tenant *intent.Tenant) {
	if tenant == nil || !tenant.Limited() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	l.tenantLocked(now, tenant).holder.GiveBack(now)
}

// askNow has the keeper of a group asked now.
func (l *Limiter) askNow(shard int) {
	wait.Signal(l.urgent[shard])
}
