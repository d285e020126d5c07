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
	// renewals is the number of renewals of a lease in the time for which it is granted.
	renewals = 3
	// writeSpread and readSpread are the times over which nodes that all start at once spread
	// the writes of their records and the lists of all records.
	writeSpread = 300 * time.Millisecond
	readSpread  = 700 * time.Millisecond
	// revokeTimeout bounds the withdrawal of a record.
	revokeTimeout = 300 * time.Millisecond
	// retryLeast and retrySpread are the pause after a call that failed. A node whose record
	// is missing has to have it back within about two seconds of the store's return.
	retryLeast  = 900 * time.Millisecond
	retrySpread = 400 * time.Millisecond
)

// Registration keeps the node's own record in the store. The record is written once in the
// life of a machine: other nodes find this one by it, and nodes send each other what changes.
// It is written anew when the store has lost it.
type Registration struct {
	options  Options
	lease    atomic.Pointer[store.Lease] // nil: none
	lost     chan struct{}               // the store has lost the record
	renewNow chan struct{}               // the lease is to be renewed before its time
	failing  atomic.Bool                 // the last try to write the record failed
}

// Members are the records of all nodes.
type Members interface {
	// LocalRecord is the record of this node as it is now.
	LocalRecord() *wire.NodeRecord
	// Changed sends the own record to the other nodes with a new sequence number.
	Changed()
	// Supersede makes the own record newer than one of an earlier process of this node.
	Supersede(record *wire.NodeRecord)
	// Others is the number of other nodes that are known.
	Others() int
	// MergeStored takes in the record of another node that the store has.
	MergeStored(record *wire.NodeRecord)
	// MarkStoreListed notes that the store has listed all records.
	MarkStoreListed()
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
	return &Registration{options: options, lost: make(chan struct{}, 1), renewNow: make(chan struct{}, 1)}
}

// Lost notes that the store has no record of the node; it is written anew.
func (r *Registration) Lost() { wait.Signal(r.lost) }

// RenewNow renews the lease before its time. It does not wait for the end.
func (r *Registration) RenewNow() { wait.Signal(r.renewNow) }

// TurnedAway reports whether the store does not serve the node, as far as its last calls show.
func (r *Registration) TurnedAway() bool { return r.failing.Load() || r.options.Health.Away() }

// Run finds the other nodes and keeps the own record and its lease until ctx ends.
func (r *Registration) Run(ctx context.Context) {
	if r.options.Settings().FirstStart {
		wait.For(ctx, time.Duration(rand.Int64N(int64(writeSpread))))
		r.register(ctx)
		wait.For(ctx, time.Duration(rand.Int64N(int64(readSpread))))
		r.findOthers(ctx)
		r.options.Listed()
	} else {
		r.findOthers(ctx)
		r.options.Listed()
		r.register(ctx)
	}
	for ctx.Err() == nil {
		if r.renew(ctx) || ctx.Err() != nil {
			continue
		}
		r.lease.Store(nil)
		r.options.Members.Changed()
		r.register(ctx)
	}
}

// findOthers lists the records of all nodes, unless another node has sent them, and asks some
// nodes for what they know.
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
		r.takeListed(items)
		break
	}
	r.options.Meet(ctx)
}

// takeListed takes over the records that the store has. If the own one is among them, written by
// an earlier process of the node, its lease is taken over too.
func (r *Registration) takeListed(items []store.Item) {
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
			m.Supersede(record)
			r.takeLease(record, item.Lease)
			continue
		}
		m.MergeStored(record)
	}
	m.MarkStoreListed()
	m.Apply()
}

// takeLease takes over the lease of an earlier process of the node, unless its record has
// another address or zone and must be written anew.
func (r *Registration) takeLease(record *wire.NodeRecord, lease int64) {
	settings := r.options.Settings()
	if record.Address == settings.Listen.Inbound && record.Zone == settings.Zone {
		r.lease.Store(&store.Lease{ID: lease, TTL: time.Duration(settings.Store.Lease)})
	}
}

// pause waits after a call that failed until the store answers a probe.
func (r *Registration) pause(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, retryLeast+time.Duration(rand.Int64N(int64(retrySpread))))
		if ctx.Err() != nil || r.options.Probe(ctx) {
			return
		}
	}
}

// register writes the own record until the store takes it or ctx ends.
func (r *Registration) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.write(ctx)
		r.options.Health.Note("record", err)
		r.failing.Store(err != nil)
		if err == nil {
			r.clearLost()
			return
		}
		r.pause(ctx)
	}
}

// clearLost drops a signal of Lost from before the record was written.
func (r *Registration) clearLost() {
	select {
	case <-r.lost:
	default:
	}
}

// write writes the own record under a new lease. A lease that was taken over is renewed
// instead: the record is there then.
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
	value, err := wire.NodeRecordCodec.Encode(r.options.Members.LocalRecord())
	if err != nil {
		return err
	}
	if _, err = s.Put(ctx, store.Write{Key: r.options.NodePrefix + r.options.Settings().Node, Value: value, Lease: lease.ID}); err != nil {
		return err
	}
	r.lease.Store(&lease)
	return nil
}

// renew waits until the lease is to be renewed and renews it. It returns false if the record
// has to be written anew: it is lost, or the lease is over.
func (r *Registration) renew(ctx context.Context) bool {
	lease := r.lease.Load()
	timer := time.NewTimer(lease.TTL / renewals)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.lost:
		return false
	case <-r.renewNow:
	case <-timer.C:
	}
	call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	err := r.options.Store.Keep(call, lease.ID)
	r.options.Health.Note("lease", err)
	return !errors.Is(err, store.ErrLeaseGone)
}

// Withdraw takes the record out of the store if the target has left for good: the machine goes
// with it. A failure is logged by the store's health; the lease then runs out.
func (r *Registration) Withdraw() {
	lease := r.lease.Load()
	if lease == nil || !r.options.TargetLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	r.options.Health.Note("revoke", r.options.Store.Revoke(ctx, lease.ID))
}
