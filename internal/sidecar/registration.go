package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the node's own record in the store.
const (
	callTimeout    = time.Second // of one call
	keepShare      = 3           // a lease is renewed each third of its time
	spreadOfWrites = 300 * time.Millisecond
)

// run keeps the own record and its lease in the store until ctx ends.
func (m *membership) run(ctx context.Context) {
	lifetime := time.Duration(m.node.settings().Store.Lease)
	var lease store.Lease
	pause(ctx, time.Duration(rand.Int64N(int64(spreadOfWrites))))
	for ctx.Err() == nil {
		err := m.write(ctx, &lease, lifetime)
		m.node.storeResult("record", err)
		if err != nil {
			pause(ctx, retryAtLeast+time.Duration(rand.Int64N(int64(retryAtMost))))
			continue
		}
		if !m.keep(ctx, lease) {
			lease = store.Lease{}
		}
	}
}

// write writes the own record under a lease.
func (m *membership) write(ctx context.Context, lease *store.Lease, lifetime time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease.ID == 0 {
		granted, err := m.node.store.Grant(ctx, lifetime)
		if err != nil {
			return err
		}
		*lease = granted
	}
	value, err := wire.NodeRecordCodec.Encode(m.own())
	if err != nil {
		return err
	}
	_, err = m.node.store.Put(ctx, store.Write{Key: m.node.options.NodePrefix + m.node.settings().Node, Value: value, Lease: lease.ID})
	if errors.Is(err, store.ErrLeaseGone) {
		*lease = store.Lease{}
	}
	return err
}

// keep renews the lease until the own record changes (true) or the lease is over.
func (m *membership) keep(ctx context.Context, lease store.Lease) bool {
	timer := time.NewTicker(lease.TTL / keepShare)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-m.wake:
			return true
		case <-timer.C:
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := m.node.store.Keep(call, lease.ID)
		cancel()
		m.node.storeResult("lease", err)
		if errors.Is(err, store.ErrLeaseGone) {
			return false
		}
	}
}
