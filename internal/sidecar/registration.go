package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the node's own record in the store.
const (
	callTimeout    = time.Second // of one call
	keepShare      = 3           // a lease is renewed each third of its time
	spreadOfWrites = 300 * time.Millisecond
	spreadOfReads  = 700 * time.Millisecond // of the lists at the first start of all
	revokeTimeout  = 300 * time.Millisecond
)

// Pauses after a call that failed. A node whose record is missing has to have it
// back within about two seconds of the store's return.
const (
	registerAgainLeast  = 900 * time.Millisecond
	registerAgainSpread = 400 * time.Millisecond
)

// registration keeps the node's own record in the store. The record is written
// once in the life of a machine: others find each other by it, and tell each other
// what changes. It is written anew when the store has lost it.
type registration struct {
	node    *Node
	lease   atomic.Pointer[store.Lease] // nil: none
	missing chan struct{}               // the store has lost the record
	renew   chan struct{}               // the lease is to be renewed now
	failing atomic.Bool                 // the last try to write it failed
}

func newRegistration(node *Node) *registration {
	return &registration{node: node, missing: make(chan struct{}, 1), renew: make(chan struct{}, 1)}
}

// Lost notes that the store has no record of the node: it is written anew.
func (r *registration) Lost() {
	wait.Signal(r.missing)
}

// RenewNow has the lease renewed before its time.
func (r *registration) RenewNow() { wait.Signal(r.renew) }

// TurnedAway tells that the store does not serve the node.
func (r *registration) TurnedAway() bool { return r.failing.Load() || r.node.storeHealth.Away() }

// Run finds the other nodes and keeps the own record and its lease until ctx ends.
func (r *registration) Run(ctx context.Context) {
	if r.node.settings().FirstStart {
		wait.For(ctx, time.Duration(rand.Int64N(int64(spreadOfWrites))))
		r.register(ctx)
		wait.For(ctx, time.Duration(rand.Int64N(int64(spreadOfReads))))
		r.findOthers(ctx)
		r.node.follower.Begin()
	} else {
		r.findOthers(ctx)
		r.node.follower.Begin()
		r.register(ctx)
	}
	for ctx.Err() == nil {
		if r.keep(ctx) || ctx.Err() != nil {
			continue
		}
		r.lease.Store(nil)
		r.node.membership.Changed()
		r.register(ctx)
	}
}

// findOthers reads the records of all nodes, unless one of them has told them.
func (r *registration) findOthers(ctx context.Context) {
	m := r.node.membership
	for ctx.Err() == nil && m.Others() == 0 {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		items, _, err := r.node.store.List(call, r.node.options.RecordPrefix)
		cancel()
		r.node.storeHealth.Note("read", err)
		if err != nil {
			r.pause(ctx)
			continue
		}
		r.take(items)
		break
	}
	r.Meet(ctx)
}

// take learns the records that the store has. The lease of the own one, of the
// process before, is taken over.
func (r *registration) take(items []store.Item) {
	m := r.node.membership
	for _, item := range items {
		if item.Key == r.node.options.CrashKey {
			r.node.heldBack.TakeStored(&item)
		}
		name, is := strings.CutPrefix(item.Key, r.node.options.NodePrefix)
		if !is {
			continue
		}
		record, err := wire.NodeRecordCodec.Decode(item.Value)
		if err != nil {
			continue
		}
		if name == r.node.settings().Node {
			m.Outrank(record)
			if record.Address == r.node.settings().Listen.Inbound && record.Zone == r.node.settings().Zone {
				r.lease.Store(&store.Lease{ID: item.Lease, TTL: time.Duration(r.node.settings().Store.Lease)})
			}
			continue
		}
		m.Put(record)
	}
	m.SetListed()
	m.Apply()
}

// meetings is how many nodes a new one asks for what they know.
const meetings = 2

// Meet asks some nodes for what they know and tells all of them of this one.
func (r *registration) Meet(ctx context.Context) {
	for range meetings {
		if address := r.node.membership.AnyAddress(); address != "" {
			go r.node.exchanger.With(ctx, address)
			go r.node.heldBack.Compare(ctx, address)
		}
	}
	r.node.news.TellOwn()
}

// pause waits after a call that failed until the store answers a probe.
func (r *registration) pause(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, registerAgainLeast+time.Duration(rand.Int64N(int64(registerAgainSpread))))
		if ctx.Err() != nil || r.node.probe(ctx) {
			return
		}
	}
}

// register writes the own record, again and again until the store takes it. A
// lease that was taken over is renewed in its place.
func (r *registration) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.write(ctx)
		r.node.storeHealth.Note("record", err)
		r.failing.Store(err != nil)
		if err == nil {
			r.found()
			return
		}
		r.pause(ctx)
	}
}

// found drops what was heard of a loss before the record was written.
func (r *registration) found() {
	select {
	case <-r.missing:
	default:
	}
}

func (r *registration) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := r.node.store
	if lease := r.lease.Load(); lease != nil {
		err := s.Keep(ctx, lease.ID)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
	}
	lease, err := s.Grant(ctx, time.Duration(r.node.settings().Store.Lease))
	if err != nil {
		return err
	}
	value, err := wire.NodeRecordCodec.Encode(r.node.membership.Own())
	if err != nil {
		return err
	}
	if _, err = s.Put(ctx, store.Write{Key: r.node.options.NodePrefix + r.node.settings().Node, Value: value, Lease: lease.ID}); err != nil {
		return err
	}
	r.lease.Store(&lease)
	return nil
}

// keep renews the lease until it is over or the record is lost (false).
func (r *registration) keep(ctx context.Context) bool {
	lease := r.lease.Load()
	timer := time.NewTimer(lease.TTL / keepShare)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.missing:
		return false
	case <-r.renew:
	case <-timer.C:
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.node.store.Keep(call, lease.ID)
	r.node.storeHealth.Note("lease", err)
	return !errors.Is(err, store.ErrLeaseGone)
}

// Withdraw takes the record out of the store when the target has left for good: the
// machine goes with it.
func (r *registration) Withdraw() {
	lease := r.lease.Load()
	if lease == nil || !r.node.target.HasLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	r.node.storeHealth.Note("revoke", r.node.store.Revoke(ctx, lease.ID))
}
