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

// Run asks the keeper of a shard for tokens until ctx ends. One message is under way at a
// time, as quota.Report requires.
func (l *Limiter) Run(ctx context.Context, shard int) {
	failed := 0
	for ctx.Err() == nil {
		if l.options.limited() {
			if l.ask(ctx, shard) {
				failed = 0
			} else {
				failed++
			}
		}
		l.unreachable[shard].Store(failed > 1)
		switch {
		case failed == 1:
			wait.For(ctx, retryFirst)
			continue
		case failed > 1:
			l.findKeeper(ctx, shard)
			wait.For(ctx, retryLater)
			continue
		}
		timer := time.NewTimer(askEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.urgent[shard]:
			wait.For(ctx, l.gather(shard))
		}
		timer.Stop()
	}
}

// gather returns how long waiting requests of a shard are collected for one message.
func (l *Limiter) gather(shard int) time.Duration {
	span := min(max(time.Duration(l.options.Membership.Others())*gatherEach, gatherLeast), gatherMost)
	if l.short[shard].Load() {
		span = min(gatherShort*span, gatherMost)
	}
	return span
}

// ask asks the keeper of a shard for shares and tokens, and reports whether it got an answer or
// needed none. A keeper at whose address nobody listens is replaced.
func (l *Limiter) ask(ctx context.Context, shard int) bool {
	keeper := l.keepers.Of(shard)
	if keeper == nil {
		return false
	}
	asked := l.options.Now()
	message := l.newAsk(shard)
	if message == nil {
		return true
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.send(call, keeper.Address, message)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.server.Replace(ctx, keeper)
	}
	if err != nil || !answer.Keeps || !answer.Listed {
		return false // Run counts failures and looks for another keeper
	}
	l.applyAnswer(asked, message, answer)
	return true
}

// send sends a message to the keeper at an address, which may be this node.
func (l *Limiter) send(ctx context.Context, address string, message *wire.QuotaAsk) (*wire.QuotaAnswer, error) {
	if address == l.options.Settings().Listen.Inbound {
		return l.server.Answer(message), nil
	}
	return peer.Ask(ctx, l.options.Peers, address, Path, wire.QuotaAskCodec, message, wire.QuotaAnswerCodec)
}

// newAsk makes the next message about a shard: what its tenants need, and from time to time
// all that the node holds of them. nil: there is nothing to report. Idle tenants are dropped.
func (l *Limiter) newAsk(shard int) *wire.QuotaAsk {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own, now, last := l.options.Settings(), l.options.Now(), l.lastComplete[shard].at
	message := &wire.QuotaAsk{
		Holder: holderName(own.Node, own.Listen.Inbound), Incarnation: l.options.Incarnation, Shard: shard,
		Complete: last == 0 || now-last >= completeEvery, Reports: []wire.QuotaReport{},
	}
	current := l.options.Configuration.Load()
	for name, t := range l.tenants {
		if shardOf(name) != shard {
			continue
		}
		if tenant := current.Tenant(name); tenant != nil {
			t.holder.SetLimit(now, quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst})
		}
		if t.holder.Idle(now) && len(t.waiters) == 0 {
			delete(l.tenants, name)
			continue
		}
		if message.Complete || len(t.waiters) > 0 || t.holder.Low(now) {
			message.Reports = append(message.Reports, reportTo(t.holder.Report(now, name, len(t.waiters))))
		}
	}
	if !message.Complete && len(message.Reports) == 0 {
		return nil
	}
	return message
}

// applyAnswer applies a keeper's answer to a message sent at asked.
func (l *Limiter) applyAnswer(asked time.Duration, message *wire.QuotaAsk, answer *wire.QuotaAnswer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteReportLocked(asked, message, answer.Epoch)
	l.short[message.Shard].Store(slices.ContainsFunc(answer.Allotments, func(a wire.QuotaAllotment) bool { return a.Again > 0 }))
	for index := range answer.Allotments {
		given := allotmentOf(answer.Epoch, &answer.Allotments[index])
		if t := l.tenants[given.Tenant]; t != nil {
			l.allotLocked(t, asked, given)
		}
	}
}

// noteReportLocked notes that the keeper has had a complete report. One that has had none,
// since it has just taken over, gets one at once.
func (l *Limiter) noteReportLocked(asked time.Duration, message *wire.QuotaAsk, epoch int64) {
	last := &l.lastComplete[message.Shard]
	if message.Complete {
		last.at, last.epoch = asked, epoch
		return
	}
	if last.epoch != epoch {
		last.at = 0
		l.askNow(message.Shard)
	}
}

// allotLocked admits waiting requests with what a keeper has allotted and puts the rest into
// the stock. If it was too little, the other requests wait on if the keeper may have more
// tokens within quota.Soon, and are refused if not.
func (l *Limiter) allotLocked(t *tenantState, asked time.Duration, given quota.Allotment) {
	now := l.options.Now()
	tokens := t.holder.Allot(now, asked, given)
	for len(t.waiters) > 0 && (tokens > 0 || t.holder.Take(now)) {
		tokens = max(tokens-1, 0)
		t.waiters[0] <- true
		t.waiters = t.waiters[1:]
	}
	t.holder.Store(now, tokens)
	if len(t.waiters) == 0 {
		return
	}
	if t.holder.MayAsk(now) {
		time.AfterFunc(given.Again, func() { l.askNow(shardOf(given.Tenant)) })
		return
	}
	for _, admitted := range t.waiters {
		admitted <- false
	}
	t.waiters = nil
}

// findKeeper asks the zone's follower, or a node elsewhere, which keepers it knows, and reads
// the store if still none is known for the shard.
func (l *Limiter) findKeeper(ctx context.Context, shard int) {
	address := l.options.Follower.Address()
	if address == "" {
		address = l.options.Membership.AddressElsewhere()
	}
	l.options.AskPeer(ctx, address)
	if l.keepers.Of(shard) == nil {
		l.listStored(ctx)
	}
	l.server.Resume(ctx)
}

// listStored reads all keepers' keys in the store, at most once in listEvery.
func (l *Limiter) listStored(ctx context.Context) {
	if l.options.Store == nil || !l.listDue() {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, _, err := l.options.Store.List(call, l.keepers.prefix)
	l.options.StoreHealth.Note("read", err)
	if err == nil {
		l.keepers.TakeStored(items)
	}
}

// listDue reports whether listEvery has passed, and begins a new interval if so.
func (l *Limiter) listDue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	if l.lastList != 0 && now-l.lastList < listEvery {
		return false
	}
	l.lastList = now
	return true
}
