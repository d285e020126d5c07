package quotas

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/wire"
)

// Run asks the keeper of a group until ctx ends. There is one question at a time, as
// quota.Report demands.
func (q *Limiter) Run(ctx context.Context, shard int) {
	failed := 0
	for ctx.Err() == nil {
		if q.options.limited() {
			if q.ask(ctx, shard) {
				failed = 0
			} else {
				failed++
			}
		}
		q.lost[shard].Store(failed > 1)
		switch {
		case failed == 1:
			wait.For(ctx, quotaRest)
			continue
		case failed > 1:
			q.find(ctx, shard)
			wait.For(ctx, quotaFailed)
			continue
		}
		timer := time.NewTimer(quotaEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-q.kicks[shard]:
			wait.For(ctx, q.gather(shard))
		}
		timer.Stop()
	}
}

// gather is the time in which requests of a group are gathered for one question.
func (q *Limiter) gather(shard int) time.Duration {
	span := min(max(time.Duration(q.options.Membership.Others())*gatherEach, gatherLeast), gatherMost)
	if q.short[shard].Load() {
		span = min(gatherShort*span, gatherMost)
	}
	return span
}

// ask asks the keeper of a group for parts of the limits of its tenants.
func (q *Limiter) ask(ctx context.Context, shard int) bool {
	keeper := q.keepers.Of(shard)
	if keeper == nil {
		return false
	}
	asked := q.options.Now()
	message := q.question(shard)
	if message == nil {
		return true
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	answer, err := q.send(call, keeper.Address, message)
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.server.Replace(ctx, keeper)
	}
	if err != nil || !answer.Keeps || !answer.Listed {
		return false
	}
	q.take(asked, message, answer)
	return true
}

func (q *Limiter) send(ctx context.Context, address string, message *wire.QuotaAsk) (*wire.QuotaAnswer, error) {
	if address == q.options.Settings().Listen.Inbound {
		return q.server.Answer(message), nil
	}
	return peer.Ask(ctx, q.options.Peers, address, Path, wire.QuotaAskCodec, message, wire.QuotaAnswerCodec)
}

// question tells what the node needs of the tenants of a group, now and then with all that
// it holds; nil when there is nothing to tell.
func (q *Limiter) question(shard int) *wire.QuotaAsk {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Now()
	message := &wire.QuotaAsk{
		Holder: holderName(q.options.Settings().Node, q.options.Settings().Listen.Inbound), Incarnation: q.options.Incarnation, Shard: shard, Reports: []wire.QuotaReport{},
		Complete: q.told[shard].at == 0 || now-q.told[shard].at >= completeEvery,
	}
	current := q.options.Configuration.Load()
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
func (q *Limiter) take(asked time.Duration, message *wire.QuotaAsk, answer *wire.QuotaAnswer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Now()
	if told := &q.told[message.Shard]; message.Complete {
		told.at, told.epoch = asked, answer.Epoch
	} else if told.epoch != answer.Epoch {
		told.at = 0 // a keeper that does not know yet what the node holds
		q.kick(message.Shard)
	}
	q.short[message.Shard].Store(slices.ContainsFunc(answer.Allotments, func(a wire.QuotaAllotment) bool { return a.Again > 0 }))
	for index := range answer.Allotments {
		given := allotmentOf(answer.Epoch, &answer.Allotments[index])
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
func (q *Limiter) find(ctx context.Context, shard int) {
	address := q.options.Follower.Address()
	if address == "" {
		address = q.options.Membership.AddressElsewhere()
	}
	q.options.AskPeer(ctx, address)
	if q.keepers.Of(shard) == nil {
		q.look(ctx)
	}
	q.server.Resume(ctx)
}

// look reads the keepers in the store, not too often.
func (q *Limiter) look(ctx context.Context) {
	if q.options.Store == nil {
		return
	}
	q.mutex.Lock()
	now := q.options.Now()
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
	items, _, err := q.options.Store.List(call, q.keepers.prefix)
	q.options.StoreHealth.Note("read", err)
	if err == nil {
		q.keepers.TakeStored(items)
	}
}
