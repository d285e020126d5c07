package sidecar

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
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
	// tokenWait is how long a request waits for a token at most: as long as one question.
	tokenWait = 150 * time.Millisecond
	// tokenWaitShare is the part of the time inside which its answer is wanted that a
	// request waits at most: a refusal after an eighth still leaves time to come back.
	tokenWaitShare = 8
	// gatherEach is the time, for each node, in which requests without a token are asked for
	// together, within gatherLeast and gatherMost: the questions to a keeper then do not
	// grow with the fleet. Without it they took a third more processor time of all nodes
	// than the requests did while all tenants were at their limits.
	gatherEach  = 250 * time.Microsecond
	gatherLeast = 4 * time.Millisecond
	gatherMost  = 250 * time.Millisecond
	// gatherShort is the factor on it after an answer with too few tokens.
	gatherShort = 2
	// lookEvery is the least time between two looks for the keepers in the store.
	lookEvery = 900 * time.Millisecond
	// noAllowanceRetryAfter is the time after which a keeper may be found.
	noAllowanceRetryAfter = 300 * time.Millisecond
	// comeBackShareOfQuota is the part of its time that a client waits at most.
	comeBackShareOfQuota = 3
)

// quotas keeps the requests that begin here within the limits of their tenants over all
// nodes. A request is let in for a token of the node's stock; where there is none it waits
// for the answer of the tenant's keeper.
type quotas struct {
	node  *Node
	kicks [quotaShards]chan struct{}
	// lost tells that the keeper of a group gives no answers: nobody waits for it.
	lost [quotaShards]atomic.Bool
	// short tells that the last answer of the keeper had too few tokens.
	short [quotaShards]atomic.Bool

	mutex  sync.Mutex
	stocks map[string]*stock // by tenant
	told   [quotaShards]completeness
	looked time.Duration // last look for the keepers in the store
}

// completeness is when all that the node holds was told last, and to whom.
type completeness struct {
	reign int64
	at    time.Duration
}

// stock is what the node holds of one tenant's limit, and who waits for more.
type stock struct {
	holder  *quota.Holder
	waiters []chan bool // each is told once whether it may go on
}

func newQuotas(node *Node) *quotas {
	q := &quotas{node: node, stocks: map[string]*stock{}}
	for shard := range q.kicks {
		q.kicks[shard] = make(chan struct{}, 1)
	}
	return q
}

// config gives the users' bound.
func (q *quotas) config() quota.Config {
	bounds := q.node.settings().Quotas
	return quota.Config{Window: time.Duration(bounds.Window), Overshoot: bounds.Overshoot, Slack: bounds.Slack}
}

// wanted tells whether some tenant has a limit.
func (q *quotas) wanted() bool {
	current := q.node.intent.Load()
	return current != nil && current.Limited()
}

func (q *quotas) stockLocked(now time.Duration, tenant *intent.Tenant) *stock {
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	one := q.stocks[tenant.Name]
	if one == nil {
		one = &stock{holder: quota.NewHolder(q.config(), limit, now)}
		q.stocks[tenant.Name] = one
	}
	one.holder.SetLimit(now, limit)
	return one
}

// withinQuota lets the request in, or refuses it.
func (x *exchange) withinQuota(ctx context.Context) bool {
	if x.holder == nil || !x.holder.Limited() {
		return true
	}
	q := x.node.quotas
	if q.admit(ctx, x.holder, x.tokenWait()) {
		return true
	}
	spent, comeBack := q.refusal(x.holder, x.clientTime()/comeBackShareOfQuota)
	if spent {
		x.refuse(http.StatusTooManyRequests, reasonQuota, comeBack)
		return false
	}
	x.refuse(http.StatusServiceUnavailable, reasonNoAllowance, jittered(noAllowanceRetryAfter))
	return false
}

// tokenWait is how long the request may wait for a token.
func (x *exchange) tokenWait() time.Duration { return min(tokenWait, x.limit()/tokenWaitShare) }

// admit takes a token for a request of the tenant; where there is none it waits for one.
func (q *quotas) admit(ctx context.Context, tenant *intent.Tenant, wait time.Duration) bool {
	q.mutex.Lock()
	now := q.node.now()
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
func (q *quotas) giveUp(one *stock, told chan bool) bool {
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

// refusal tells whether the limit is reached, and when there is room again.
func (q *quotas) refusal(tenant *intent.Tenant, most time.Duration) (spent bool, comeBack time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.node.now()
	one := q.stockLocked(now, tenant)
	return one.holder.Spent(), one.holder.ComeBack(now, most)
}

// giveBack returns the token of a request that has not run and never will.
func (q *quotas) giveBack(tenant *intent.Tenant) {
	if tenant == nil || !tenant.Limited() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.node.now()
	q.stockLocked(now, tenant).holder.GiveBack(now)
}

// kick has the keeper of a group asked now.
func (q *quotas) kick(shard int) {
	select {
	case q.kicks[shard] <- struct{}{}:
	default:
	}
}

// run asks the keeper of a group until ctx ends. There is one question at a time, as
// quota.Report demands.
func (q *quotas) run(ctx context.Context, shard int) {
	failed := 0
	for ctx.Err() == nil {
		if q.wanted() {
			if q.ask(ctx, shard) {
				failed = 0
			} else {
				failed++
			}
		}
		q.lost[shard].Store(failed > 1)
		switch {
		case failed == 1:
			pause(ctx, quotaRest)
			continue
		case failed > 1:
			q.find(ctx, shard)
			pause(ctx, quotaFailed)
			continue
		}
		timer := time.NewTimer(quotaEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-q.kicks[shard]:
			pause(ctx, q.gather(shard))
		}
		timer.Stop()
	}
}

// gather is the time in which requests of a group are gathered for one question.
func (q *quotas) gather(shard int) time.Duration {
	span := min(max(time.Duration(q.node.membership.others())*gatherEach, gatherLeast), gatherMost)
	if q.short[shard].Load() {
		span = min(gatherShort*span, gatherMost)
	}
	return span
}

// ask asks the keeper of a group for parts of the limits of its tenants.
func (q *quotas) ask(ctx context.Context, shard int) bool {
	keeper := q.node.keepers.of(shard)
	if keeper == nil {
		return false
	}
	asked := q.node.now()
	message := q.question(shard)
	if message == nil {
		return true
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	answer, err := q.send(call, keeper.Address, message)
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.node.offices.replace(ctx, keeper)
	}
	if err != nil || !answer.Keeps || !answer.Listed {
		return false
	}
	q.take(asked, message, answer)
	return true
}

func (q *quotas) send(ctx context.Context, address string, message *wire.QuotaAsk) (*wire.QuotaAnswer, error) {
	if address == q.node.settings().Listen.Inbound {
		return q.node.offices.answer(message), nil
	}
	data, err := wire.QuotaAskCodec.Encode(message)
	if err != nil {
		return nil, err
	}
	read, err := q.node.peers.post(ctx, address, quotaPath, data)
	if err != nil {
		return nil, err
	}
	return wire.QuotaAnswerCodec.Decode(read)
}

// question tells what the node needs of the tenants of a group, now and then with all that
// it holds; nil when there is nothing to tell.
func (q *quotas) question(shard int) *wire.QuotaAsk {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.node.now()
	message := &wire.QuotaAsk{
		Holder: holderName(q.node.settings().Node, q.node.settings().Listen.Inbound), Incarnation: q.node.incarnation, Shard: shard, Reports: []wire.QuotaReport{},
		Complete: q.told[shard].at == 0 || now-q.told[shard].at >= completeEvery,
	}
	current := q.node.intent.Load()
	for name, one := range q.stocks {
		if shardOf(name) != shard {
			continue
		}
		if tenant := current.Tenant(name); tenant != nil {
			one.holder.SetLimit(now, quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst})
		}
		if one.holder.Idle(now) && len(one.waiters) == 0 {
			delete(q.stocks, name)
			continue
		}
		if message.Complete || len(one.waiters) > 0 || one.holder.Low(now) {
			message.Reports = append(message.Reports, reportTo(one.holder.Report(now, name, len(one.waiters))))
		}
	}
	if !message.Complete && len(message.Reports) == 0 {
		return nil
	}
	return message
}

// take takes in a keeper's answer and tells the requests that wait.
func (q *quotas) take(asked time.Duration, message *wire.QuotaAsk, answer *wire.QuotaAnswer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.node.now()
	if told := &q.told[message.Shard]; message.Complete {
		told.at, told.reign = asked, answer.Reign
	} else if told.reign != answer.Reign {
		told.at = 0 // a keeper that does not know yet what the node holds
		q.kick(message.Shard)
	}
	q.short[message.Shard].Store(slices.ContainsFunc(answer.Allotments, func(a wire.QuotaAllotment) bool { return a.Again > 0 }))
	for index := range answer.Allotments {
		given := allotmentOf(answer.Reign, &answer.Allotments[index])
		one := q.stocks[given.Tenant]
		if one == nil {
			continue
		}
		tokens := one.holder.Allot(now, asked, given)
		for len(one.waiters) > 0 && (tokens > 0 || one.holder.Take(now)) {
			tokens = max(tokens-1, 0)
			one.waiters[0] <- true
			one.waiters = one.waiters[1:]
		}
		one.holder.Store(now, tokens)
		if len(one.waiters) == 0 {
			continue
		}
		if one.holder.MayAsk(now) {
			time.AfterFunc(given.Again, func() { q.kick(message.Shard) })
			continue
		}
		for _, told := range one.waiters {
			told <- false
		}
		one.waiters = nil
	}
}

// find looks for the keeper of a group: at the zone's follower, in the store where nobody
// knows of any.
func (q *quotas) find(ctx context.Context, shard int) {
	address := q.node.follower.address()
	if address == "" {
		address = q.node.membership.addressElsewhere()
	}
	q.node.freshness.ask(ctx, address)
	if q.node.keepers.of(shard) == nil {
		q.look(ctx)
	}
	q.node.offices.resume(ctx)
}

// look reads the keepers in the store, not too often.
func (q *quotas) look(ctx context.Context) {
	if q.node.store == nil {
		return
	}
	q.mutex.Lock()
	now := q.node.now()
	due := q.looked == 0 || now-q.looked >= lookEvery
	if due {
		q.looked = now
	}
	q.mutex.Unlock()
	if !due {
		return
	}
	call, cancel := context.WithTimeout(ctx, keeperCall)
	defer cancel()
	items, _, err := q.node.store.List(call, q.node.options.QuotaPrefix)
	q.node.storeResult("read", err)
	if err == nil {
		q.node.takeKeepers(items)
	}
}

// takeKeepers learns the keepers that the store has.
func (n *Node) takeKeepers(items []store.Item) {
	for index := range items {
		item := &items[index]
		name, below := strings.CutPrefix(item.Key, n.options.QuotaPrefix)
		shard, is := shardOfKey(name)
		if !below || !is {
			continue
		}
		if item.Gone {
			n.keepers.lapsed(shard, item.Revision)
			continue
		}
		if record, err := wire.KeeperRecordCodec.Decode(item.Value); err == nil {
			n.keepers.learn(&wire.Keeper{Shard: shard, Node: record.Node, Address: record.Address, Incarnation: record.Incarnation, Revision: item.Revision})
		}
	}
}

// noteAbsentKeepers notes the groups that the store has no keeper of; items are all that it
// has at a revision.
func (n *Node) noteAbsentKeepers(items []store.Item, at int64) {
	for shard := range quotaShards {
		key := n.offices.key(shard)
		if !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == key }) {
			n.keepers.lapsed(shard, at+1)
		}
	}
}

// shardOfKey reads the last part of a keeper's key.
func shardOfKey(text string) (int, bool) {
	if len(text) != 1 || text[0] < '0' || text[0] >= '0'+quotaShards {
		return 0, false
	}
	return int(text[0] - '0'), true
}
