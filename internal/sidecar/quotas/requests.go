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

// Run requests tokens from the keeper of a shard until ctx is done. At most one request per
// shard is in flight, as quota.Report requires.
func (l *Limiter) Run(ctx context.Context, shard int) {
	failures := 0
	for ctx.Err() == nil {
		limited := l.options.anyTenantLimited()
		if limited {
			if l.requestTokens(ctx, shard) {
				failures = 0
			} else {
				failures++
			}
		}
		l.unreachable[shard].Store(failures > 1)
		switch {
		case failures == 1:
			wait.Sleep(ctx, firstRetryDelay)
			continue
		case failures > 1:
			l.findKeeper(ctx, shard)
			wait.Sleep(ctx, retryDelay)
			continue
		}
		interval := requestInterval
		if !limited {
			// The shards check the configuration at the same time, so that the process wakes up once.
			interval -= l.options.Now() % requestInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake[shard]:
			wait.Sleep(ctx, l.batchDelay(shard))
		}
		timer.Stop()
	}
}

// batchDelay returns how long to collect waiters of a shard before requesting tokens for all
// of them.
func (l *Limiter) batchDelay(shard int) time.Duration {
	delay := min(max(time.Duration(l.options.Membership.PeerCount())*batchDelayPerNode, minBatchDelay), maxBatchDelay)
	if l.shortage[shard].Load() {
		delay = min(shortageFactor*delay, maxBatchDelay)
	}
	return delay
}

// requestTokens sends one request to the keeper of a shard and applies the answer. It returns
// true if the keeper answered or there was nothing to send. If the connection is refused, it
// tries to replace the keeper.
func (l *Limiter) requestTokens(ctx context.Context, shard int) bool {
	keeper := l.keepers.Get(shard)
	if keeper == nil {
		return false
	}
	sentAt := l.options.Now()
	request := l.newRequest(shard)
	if request == nil {
		return true
	}
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := l.send(call, keeper.Address, request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.server.Replace(ctx, keeper)
	}
	if err != nil || !answer.Keeps || !answer.Listed {
		return false // Run counts the failure and looks up the keeper again
	}
	l.applyAnswer(sentAt, request, answer)
	return true
}

// send sends a request to the keeper at address, calling the local server directly if the
// address is this node's own.
func (l *Limiter) send(ctx context.Context, address string, request *wire.QuotaRequest) (*wire.QuotaResponse, error) {
	if address == l.options.Settings().Listen.Inbound {
		return l.server.Answer(request), nil
	}
	return peer.RoundTrip(ctx, l.options.Peers, address, Path, wire.QuotaRequestCodec, request, wire.QuotaResponseCodec)
}

// newRequest builds the next request for a shard. It reports the tenants that need tokens or,
// if a full report is due, all tenants. It returns nil if there is nothing to report, and
// removes idle tenants.
func (l *Limiter) newRequest(shard int) *wire.QuotaRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own, now, last := l.options.Settings(), l.options.Now(), l.lastFullReport[shard].sentAt
	request := &wire.QuotaRequest{
		Holder: holderName(own.Node, own.Listen.Inbound), Incarnation: l.options.Incarnation, Shard: shard,
		Complete: last == 0 || now-last >= fullReportInterval, Reports: []wire.QuotaReport{},
	}
	current := l.options.Configuration.Load()
	for name, t := range l.tenants {
		if shardOf(name) != shard {
			continue
		}
		if tenant := current.TenantByName(name); tenant != nil {
			t.bucket.SetLimit(now, quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst})
		}
		if t.bucket.Idle(now) && len(t.waiters) == 0 {
			delete(l.tenants, name)
			continue
		}
		if request.Complete || len(t.waiters) > 0 || t.bucket.NeedsTokens(now) {
			request.Reports = append(request.Reports, reportToWire(t.bucket.Report(now, name, len(t.waiters))))
		}
	}
	if !request.Complete && len(request.Reports) == 0 {
		return nil
	}
	return request
}

// applyAnswer applies the keeper's answer to a request sent at sentAt.
func (l *Limiter) applyAnswer(sentAt time.Duration, request *wire.QuotaRequest, answer *wire.QuotaResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recordFullReportLocked(sentAt, request, answer.Epoch)
	l.shortage[request.Shard].Store(slices.ContainsFunc(answer.Allotments, func(a wire.QuotaAllotment) bool { return a.RetryAfter > 0 }))
	for i := range answer.Allotments {
		allotment := allotmentFromWire(answer.Epoch, &answer.Allotments[i])
		if t := l.tenants[allotment.Tenant]; t != nil {
			l.applyAllotmentLocked(t, sentAt, allotment)
		}
	}
}

// recordFullReportLocked records which keeper received the last full report. If a different
// keeper has answered a partial report, it schedules a full one immediately.
func (l *Limiter) recordFullReportLocked(sentAt time.Duration, request *wire.QuotaRequest, epoch int64) {
	last := &l.lastFullReport[request.Shard]
	if request.Complete {
		last.sentAt, last.epoch = sentAt, epoch
		return
	}
	if last.epoch != epoch {
		last.sentAt = 0
		l.requestNow(request.Shard)
	}
}

// applyAllotmentLocked admits waiters with the allotted tokens and stores the remainder. If
// waiters are left, they keep waiting when the keeper expects to have more tokens soon, and
// are rejected otherwise.
func (l *Limiter) applyAllotmentLocked(t *tenantState, sentAt time.Duration, allotment quota.Allotment) {
	now := l.options.Now()
	tokens := t.bucket.Allot(now, sentAt, allotment)
	for len(t.waiters) > 0 && (tokens > 0 || t.bucket.Take(now)) {
		tokens = max(tokens-1, 0)
		t.waiters[0] <- true
		t.waiters = t.waiters[1:]
	}
	t.bucket.Add(now, tokens)
	if len(t.waiters) == 0 {
		return
	}
	if t.bucket.CanRequest(now) {
		time.AfterFunc(allotment.RetryAfter, func() { l.requestNow(shardOf(allotment.Tenant)) })
		return
	}
	for _, admitted := range t.waiters {
		admitted <- false
	}
	t.waiters = nil
}

// findKeeper asks the zone's follower, or a node in another zone, for the keepers it knows. If
// the shard still has no known keeper, it reads the records from the store.
func (l *Limiter) findKeeper(ctx context.Context, shard int) {
	address := l.options.Follower.HealthyPeerAddress()
	if address == "" {
		address = l.options.Membership.RemoteZoneAddress()
	}
	l.options.PollPeer(ctx, address)
	if l.keepers.Get(shard) == nil {
		l.listRecords(ctx)
	}
	l.server.Resume(ctx)
}

// listRecords reads the records of all shards from the store, at most once per listInterval.
func (l *Limiter) listRecords(ctx context.Context) {
	if l.options.Store == nil || !l.listDue() {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, _, err := l.options.Store.List(call, l.keepers.prefix)
	l.options.StoreHealth.Record("read", err)
	if err == nil {
		l.keepers.ApplyStored(items)
	}
}

// listDue reports whether listInterval has elapsed, and starts a new interval if it has.
func (l *Limiter) listDue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	if l.lastListAt != 0 && now-l.lastListAt < listInterval {
		return false
	}
	l.lastListAt = now
	return true
}
