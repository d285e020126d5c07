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

// Intervals and timeouts of the messages to keepers. No measurement set them but gatherEach.
const (
	askEvery = 500 * time.Millisecond // between two messages of a node to one keeper
	// completeEvery is the time between two messages that report all that the node holds. Those
	// between report only tenants whose stock is low, to save traffic between zones.
	completeEvery = 2 * time.Second
	askTimeout    = 150 * time.Millisecond // of one message; below quota.Travel, after which its tokens would be dropped
	retryFirst    = 20 * time.Millisecond  // pause after the first failure in a row
	retryLater    = 100 * time.Millisecond // pause after each further one
	// gatherEach, times the number of other nodes and within gatherLeast and gatherMost, is how
	// long waiting requests are collected before one message asks for tokens for all of them:
	// the rate of messages at a keeper then does not grow with the number of nodes. With
	// 0.15 ms, 32 nodes and 40 tenants at their limits, a CPU profile showed 4.3 s for these
	// messages and 2.4 s for the requests themselves.
	gatherEach  = 250 * time.Microsecond
	gatherLeast = 4 * time.Millisecond
	gatherMost  = 250 * time.Millisecond
	// gatherShort multiplies that time after an answer with too few tokens.
	gatherShort = 2
	// listEvery is the least time between two reads of all keepers' keys in the store.
	listEvery = 900 * time.Millisecond
)

// Limiter keeps the requests that begin at this node within the limits of their tenants over
// all nodes. A request is admitted for a token of the node's stock; if there is none it waits
// for the tenant's keeper to answer.
type Limiter struct {
	options Options
	keepers *Keepers
	server  *Server
	urgent  [Shards]chan struct{} // requests wait: the keeper is to be asked soon
	// unreachable: the keeper of a shard does not answer, so requests do not wait for it.
	unreachable [Shards]atomic.Bool
	// short: the last answer of the keeper had too few tokens.
	short [Shards]atomic.Bool

	mutex        sync.Mutex
	tenants      map[string]*tenantState // by tenant
	lastComplete [Shards]completeReport
	lastList     time.Duration // last read of all keepers' keys; 0: never
}

// completeReport is the last message that reported all that the node holds.
type completeReport struct {
	epoch int64         // of the keeper that answered
	at    time.Duration // when it was sent; 0: a new one is due
}

// tenantState is what the node holds of one tenant's limit, and the requests that wait.
type tenantState struct {
	holder  *quota.Holder
	waiters []chan bool // each receives once whether the request is admitted
}

// NewLimiter makes a limiter that holds no tokens yet; server is that of the same node.
func NewLimiter(options Options, keepers *Keepers, server *Server) *Limiter {
	l := &Limiter{options: options, keepers: keepers, server: server, tenants: map[string]*tenantState{}}
	for shard := range l.urgent {
		l.urgent[shard] = make(chan struct{}, 1)
	}
	return l
}

// tenantLocked returns the state of a tenant, with the limit in force.
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

// Admit takes a token for a request of the tenant and reports whether it got one. If the node
// has none the request waits, at most for wait and until ctx ends.
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

// giveUp ends the wait of a request. A token that arrived at the last moment still admits it.
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

// Refusal explains why a request of the tenant was not admitted: the limit is reached, or else
// no keeper has allowed it. retryAfter is when there may be tokens again, most at most.
func (l *Limiter) Refusal(tenant *intent.Tenant, most time.Duration) (limitReached bool, retryAfter time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	t := l.tenantLocked(now, tenant)
	return t.holder.Spent(), t.holder.ComeBack(now, most)
}

// GiveBack returns the token of a request that was admitted but will not run.
func (l *Limiter) GiveBack(tenant *intent.Tenant) {
	if tenant == nil || !tenant.Limited() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	l.tenantLocked(now, tenant).holder.GiveBack(now)
}

// askNow has the keeper of a shard asked before its next interval.
func (l *Limiter) askNow(shard int) {
	wait.Signal(l.urgent[shard])
}
