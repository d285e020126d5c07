// Package registration keeps a node's own record in the store, under a lease.
//
// It owns that lease. At the start of a process it also lists the records of all nodes, so
// that the node knows others before any of them knows it. A record that the store has lost is
// written anew; while the store does not serve the node, it is tried again after a pause.
//
// It relies on the membership for the records, on package storehealth for the log of outages
// and on its maker for the question whether the store answers. A Registration is safe for
// concurrent use; Run is called once.
package registration

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Times of the node's own record in the store.
const (
	keepShare      = 3 // a lease is renewed each third of its time
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

// Registration keeps the node's own record in the store. The record is written
// once in the life of a machine: others find each other by it, and tell each other
// what changes. It is written anew when the store has lost it.
type Registration struct {
	options Options
	lease   atomic.Pointer[store.Lease] // nil: none
	missing chan struct{}               // the store has lost the record
	renew   chan struct{}               // the lease is to be renewed now
	failing atomic.Bool                 // the last try to write it failed
}

// Members are the records of all nodes.
type Members interface {
	// Own is the record of this node as it is now.
	Own() *wire.NodeRecord
	// Changed sends the own record to the other nodes with a new sequence number.
	Changed()
	// Outrank makes the own record newer than one of an earlier process of this node.
	Outrank(record *wire.NodeRecord)
	// Others is the number of other nodes that are known.
	Others() int
	// Put takes in the record of another node that the store has.
	Put(record *wire.NodeRecord)
	// SetListed notes that the store has listed all records.
	SetListed()
	// Apply brings the records into routing.
	Apply()
}

// Options are what the parts of a node bring in.
type Options struct {
	Settings     func() *settings.Settings // in force
	Store        store.Store               // nil: none; Run must not be called then
	Health       *storehealth.Health
	Probe        func(ctx context.Context) bool // whether the store answers
	RecordPrefix string                         // where all that the nodes keep in the store lies
	NodePrefix   string                         // below it, where the nodes' records lie
	Members      Members
	TakeOther    func(item *store.Item)    // takes what is listed besides the nodes' records
	Meet         func(ctx context.Context) // asks other nodes for what they know
	Listed       func()                    // called once, when the other nodes are known
	TargetLeft   func() bool               // the target has left for good
}

// New makes the registration of a node that has no lease.
func New(options Options) *Registration {
	return &Registration{options: options, missing: make(chan struct{}, 1), renew: make(chan struct{}, 1)}
}

// Lost notes that the store has no record of the node: it is written anew.
func (r *Registration) Lost() {
	wait.Signal(r.missing)
}

// RenewNow has the lease renewed before its time.
func (r *Registration) RenewNow() { wait.Signal(r.renew) }

// TurnedAway tells that the store does not serve the node.
func (r *Registration) TurnedAway() bool { return r.failing.Load() || r.options.Health.Away() }

// Run finds the other nodes and keeps the own record and its lease until ctx ends.
func (r *Registration) Run(ctx context.Context) {
	if r.options.Settings().FirstStart {
		wait.For(ctx, time.Duration(rand.Int64N(int64(spreadOfWrites))))
		r.register(ctx)
		wait.For(ctx, time.Duration(rand.Int64N(int64(spreadOfReads))))
		r.findOthers(ctx)
		r.options.Listed()
	} else {
		r.findOthers(ctx)
		r.options.Listed()
		r.register(ctx)
	}
	for ctx.Err() == nil {
		if r.keep(ctx) || ctx.Err() != nil {
			continue
		}
		r.lease.Store(nil)
		r.options.Members.Changed()
		r.register(ctx)
	}
}

// findOthers reads the records of all nodes, unless one of them has told them.
func (r *Registration) findOthers(ctx context.Context) {
	for ctx.Err() == nil && r.options.Members.Others() == 0 {
		call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
		items, _, err := r.options.Store.List(call, r.options.RecordPrefix)
		cancel()
		r.options.Health.Note("read", err)
		if err != nil {
			r.pause(ctx)
			continue
		}
		r.take(items)
		break
	}
	r.options.Meet(ctx)
}

// take learns the records that the store has. The lease of the own one, of the
// process before, is taken over.
func (r *Registration) take(items []store.Item) {
	m := r.options.Members
	for _, item := range items {
		name, is := strings.CutPrefix(item.Key, r.options.NodePrefix)
		if !is {
			r.options.TakeOther(&item)
			continue
		}
		record, err := wire.NodeRecordCodec.Decode(item.Value)
		if err != nil {
			continue
		}
		if name == r.options.Settings().Node {
			m.Outrank(record)
			if record.Address == r.options.Settings().Listen.Inbound && record.Zone == r.options.Settings().Zone {
				r.lease.Store(&store.Lease{ID: item.Lease, TTL: time.Duration(r.options.Settings().Store.Lease)})
			}
			continue
		}
		m.Put(record)
	}
	m.SetListed()
	m.Apply()
}

// pause waits after a call that failed until the store answers a probe.
func (r *Registration) pause(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, registerAgainLeast+time.Duration(rand.Int64N(int64(registerAgainSpread))))
		if ctx.Err() != nil || r.options.Probe(ctx) {
			return
		}
	}
}

// register writes the own record, again and again until the store takes it. A
// lease that was taken over is renewed in its place.
func (r *Registration) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.write(ctx)
		r.options.Health.Note("record", err)
		r.failing.Store(err != nil)
		if err == nil {
			r.found()
			return
		}
		r.pause(ctx)
	}
}

// found drops what was heard of a loss before the record was written.
func (r *Registration) found() {
	select {
	case <-r.missing:
	default:
	}
}

func (r *Registration) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	s := r.options.Store
	if lease := r.lease.Load(); lease != nil {
		err := s.Keep(ctx, lease.ID)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
	}
	lease, err := s.Grant(ctx, time.Duration(r.options.Settings().Store.Lease))
	if err != nil {
		return err
	}
	value, err := wire.NodeRecordCodec.Encode(r.options.Members.Own())
	if err != nil {
		return err
	}
	if _, err = s.Put(ctx, store.Write{Key: r.options.NodePrefix + r.options.Settings().Node, Value: value, Lease: lease.ID}); err != nil {
		return err
	}
	r.lease.Store(&lease)
	return nil
}

// keep renews the lease until it is over or the record is lost (false).
func (r *Registration) keep(ctx context.Context) bool {
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
	call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	err := r.options.Store.Keep(call, lease.ID)
	r.options.Health.Note("lease", err)
	return !errors.Is(err, store.ErrLeaseGone)
}

// Withdraw takes the record out of the store when the target has left for good: the
// machine goes with it.
func (r *Registration) Withdraw() {
	lease := r.lease.Load()
	if lease == nil || !r.options.TargetLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	r.options.Health.Note("revoke", r.options.Store.Revoke(ctx, lease.ID))
}
