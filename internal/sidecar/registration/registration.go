// Package registration registers a node in the store: it writes the node's record under a lease
// and renews the lease.
//
// At startup it also lists the records of all nodes, so that the node discovers its peers. It
// rewrites a record that the store has lost, and retries with randomized delays while the store
// is unavailable. Package storehealth logs the outages.
//
// A Registration is safe for concurrent use, but Run must be called only once.
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

const (
	// renewalsPerTTL is the number of renewals within the TTL of a lease.
	renewalsPerTTL = 3
	// writeJitter and listJitter spread the load on the store when many nodes start at once.
	writeJitter = 300 * time.Millisecond
	listJitter  = 700 * time.Millisecond
	// revokeTimeout bounds the call that revokes the lease in Deregister.
	revokeTimeout = 300 * time.Millisecond
	// The delay after a failed call is retryMinDelay plus a random part of retryJitter. A missing
	// record has to be rewritten within about two seconds after the store becomes available.
	retryMinDelay = 900 * time.Millisecond
	retryJitter   = 400 * time.Millisecond
)

// Registration keeps the record of the local node in the store. Other nodes use the record to
// discover this node; later changes are broadcast between nodes and not written to the store. The
// record is rewritten only if the store has lost it or if its lease has expired.
type Registration struct {
	options     Options
	lease       atomic.Pointer[store.Lease] // nil if no lease is held
	recordLost  chan struct{}               // signaled by MarkLost
	renewNow    chan struct{}               // signaled by RenewNow
	writeFailed atomic.Bool                 // the last attempt to write the record failed
}

// Members holds the records of all nodes.
type Members interface {
	// LocalRecord returns the current record of this node.
	LocalRecord() *wire.NodeRecord
	// AnnounceLocalRecord broadcasts the local record to the other nodes with a new sequence number.
	AnnounceLocalRecord()
	// Supersede makes the local record newer than one of an earlier process of this node.
	Supersede(record *wire.NodeRecord)
	// PeerCount returns the number of other known nodes.
	PeerCount() int
	// MergeStored adds the record of another node that was read from the store.
	MergeStored(record *wire.NodeRecord)
	// MarkStoreListed records that all records of the store have been read.
	MarkStoreListed()
	// Apply updates routing from the current records.
	Apply()
}

// Options holds the configuration and the dependencies of a Registration.
type Options struct {
	Settings      func() *settings.Settings // returns the current settings
	Store         store.Store               // Run must not be called if nil
	Health        *storehealth.Health
	Probe         func(ctx context.Context) bool // reports whether the store answers
	RecordPrefix  string                         // key prefix of all data that nodes keep in the store
	NodePrefix    string                         // key prefix of the node records; starts with RecordPrefix
	Members       Members
	ApplyOther    func(item *store.Item)    // handles a listed item that is not a node record
	SyncWithPeers func(ctx context.Context) // exchanges state with other nodes after they are known
	OnListed      func()                    // called once, after peer discovery
	TargetLeft    func() bool               // reports whether the target has left permanently
	OnRegistered  func()                    // called when the record is in the store; may be nil
}

// New returns a Registration that holds no lease yet.
func New(options Options) *Registration {
	return &Registration{options: options, recordLost: make(chan struct{}, 1), renewNow: make(chan struct{}, 1)}
}

// MarkLost reports that the store has no record of this node. Run rewrites the record.
func (r *Registration) MarkLost() { wait.Notify(r.recordLost) }

// RenewNow makes Run renew the lease immediately. It does not wait for the renewal.
func (r *Registration) RenewNow() { wait.Notify(r.renewNow) }

// StoreUnreachable reports whether the store is unavailable to this node, according to its latest
// calls.
func (r *Registration) StoreUnreachable() bool {
	return r.writeFailed.Load() || r.options.Health.Unavailable()
}

// Lease returns the lease of the record, or 0 if none is held.
func (r *Registration) Lease() int64 {
	if lease := r.lease.Load(); lease != nil {
		return lease.ID
	}
	return 0
}

// Run discovers the other nodes, then keeps the local record and its lease until ctx is done.
func (r *Registration) Run(ctx context.Context) {
	if r.options.Settings().FirstStart {
		wait.Sleep(ctx, time.Duration(rand.Int64N(int64(writeJitter))))
		r.register(ctx)
		wait.Sleep(ctx, time.Duration(rand.Int64N(int64(listJitter))))
		r.discoverPeers(ctx)
		r.options.OnListed()
	} else {
		r.discoverPeers(ctx)
		r.options.OnListed()
		r.register(ctx)
	}
	for ctx.Err() == nil {
		if r.renew(ctx) || ctx.Err() != nil {
			continue
		}
		r.lease.Store(nil)
		r.options.Members.AnnounceLocalRecord()
		r.register(ctx)
	}
}

// discoverPeers lists the records of all nodes, unless other nodes are already known, and then
// exchanges state with some of them.
func (r *Registration) discoverPeers(ctx context.Context) {
	for ctx.Err() == nil && r.options.Members.PeerCount() == 0 {
		callCtx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
		items, _, err := r.options.Store.List(callCtx, r.options.RecordPrefix)
		cancel()
		r.options.Health.Record("read", err)
		if err != nil {
			r.waitForStore(ctx)
			continue
		}
		r.loadListed(items)
		break
	}
	r.options.SyncWithPeers(ctx)
}

// loadListed merges the records read from the store. If an earlier process of this node wrote one
// of them, its lease is adopted.
func (r *Registration) loadListed(items []store.Item) {
	m := r.options.Members
	for _, item := range items {
		name, found := strings.CutPrefix(item.Key, r.options.NodePrefix)
		if !found {
			r.options.ApplyOther(&item)
			continue
		}
		record, err := wire.NodeRecordCodec.Decode(item.Value)
		if err != nil {
			continue
		}
		if name == r.options.Settings().Node {
			m.Supersede(record)
			r.adoptLease(record, item.Lease)
			continue
		}
		m.MergeStored(record)
	}
	m.MarkStoreListed()
	m.Apply()
}

// adoptLease adopts the lease of an earlier process of this node, unless its record has another
// address or zone and has to be rewritten.
func (r *Registration) adoptLease(record *wire.NodeRecord, lease int64) {
	settings := r.options.Settings()
	if record.Address == settings.Listen.Inbound && record.Zone == settings.Zone {
		r.lease.Store(&store.Lease{ID: lease, TTL: time.Duration(settings.Store.Lease)})
	}
}

// waitForStore waits after a failed call until the store answers a probe or ctx is done.
func (r *Registration) waitForStore(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, retryMinDelay+time.Duration(rand.Int64N(int64(retryJitter))))
		if ctx.Err() != nil || r.options.Probe(ctx) {
			return
		}
	}
}

// register writes the local record, with retries, until it succeeds or ctx is done.
func (r *Registration) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.writeRecord(ctx)
		r.options.Health.Record("record", err)
		r.writeFailed.Store(err != nil)
		if err == nil {
			r.clearLost()
			if r.options.OnRegistered != nil {
				r.options.OnRegistered()
			}
			return
		}
		r.waitForStore(ctx)
	}
}

// clearLost discards a signal of MarkLost that precedes the write of the record.
func (r *Registration) clearLost() {
	select {
	case <-r.recordLost:
	default:
	}
}

// writeRecord writes the local record under a new lease. If a lease was adopted and is still valid,
// it renews that lease instead, because the record still exists.
func (r *Registration) writeRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	s := r.options.Store
	if lease := r.lease.Load(); lease != nil {
		err := s.KeepAlive(ctx, lease.ID)
		if !errors.Is(err, store.ErrLeaseExpired) {
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

// renew waits until the lease is due for renewal and renews it. It returns false if the record has
// been lost or the lease has expired, so that the record has to be rewritten, or if ctx is done.
func (r *Registration) renew(ctx context.Context) bool {
	lease := r.lease.Load()
	timer := time.NewTimer(lease.TTL / renewalsPerTTL)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.recordLost:
		return false
	case <-r.renewNow:
	case <-timer.C:
	}
	callCtx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	err := r.options.Store.KeepAlive(callCtx, lease.ID)
	r.options.Health.Record("lease", err)
	return !errors.Is(err, store.ErrLeaseExpired)
}

// Deregister revokes the lease, and thereby deletes the record, if the target has left permanently.
// The machine is then about to be shut down. If the call fails, the lease expires on its own.
func (r *Registration) Deregister() {
	lease := r.lease.Load()
	if lease == nil || !r.options.TargetLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	r.options.Health.Record("revoke", r.options.Store.Revoke(ctx, lease.ID))
}
