// Package departures keeps in the store which instances of the local target have announced that
// they leave. An announcement is acknowledged once it is stored, so that a later process of the node
// does not take the instance for ready: its health checks may succeed until it ends, and the network
// may deliver a heartbeat that it sent before.
//
// The key of a node belongs to the lease of the node's record. If a process does not find the key,
// the store does not tell which instances have left, and only heartbeats say that the target is ready.
package departures

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

const (
	// loadTimeout limits the first read, for which heartbeats of the target wait.
	loadTimeout = 500 * time.Millisecond
	// storeTimeout limits the wait of an announcement for the store. Targets expect an
	// acknowledgement within a second and then send the announcement again.
	storeTimeout = 700 * time.Millisecond
	// The delay after a failed call is retryMinDelay plus a random part of retryJitter.
	retryMinDelay = 200 * time.Millisecond
	retryJitter   = 200 * time.Millisecond
	// writeSpacing is the mean time between the writes of nodes that register at the same time and
	// have nothing to store but that no instance has left.
	writeSpacing = 5 * time.Millisecond
	// maxInstances limits the stored instances of a node. Only one at a time is at its address.
	maxInstances = 16
)

// Events receives the log lines.
type Events interface {
	Add(event eventlog.Event, class eventlog.Class)
}

// Options holds the dependencies of a Recorder.
type Options struct {
	Store  store.Store // nil: announcements are kept in memory only
	Key    string      // store key of this node
	Health *storehealth.Health
	Events Events
	// FirstStart means that the node has had no earlier process.
	FirstStart bool
	// Lease returns the lease of the node's record, or 0 if there is none.
	Lease func() int64
	// OnLeaseExpired is called when the store no longer has that lease.
	OnLeaseExpired func()
	// OnLoaded is called with the instances that are found in the store.
	OnLoaded func(instances []string)
	Nodes    func() int // number of other nodes
}

// Recorder keeps the departures of a node's target. It is safe for concurrent use, but Run must be
// called only once.
type Recorder struct {
	options Options
	loaded  chan struct{} // closed after the first attempt to read the key
	wake    chan struct{}

	mu        sync.Mutex
	instances []string      // have announced that they leave, oldest first
	complete  bool          // instances contains every one that may still be at the address
	known     bool          // whether the key was read: revision, stored and lease are valid
	revision  int64         // of the key; 0: it does not exist
	stored    []string      // instances in the store
	lease     int64         // of the key
	written   chan struct{} // closed and replaced when stored changes
}

// New returns the recorder of a node.
func New(options Options) *Recorder {
	d := &Recorder{options: options, loaded: make(chan struct{}), wake: make(chan struct{}, 1), written: make(chan struct{})}
	if options.FirstStart || options.Store == nil {
		d.complete, d.known = true, true
		close(d.loaded)
	}
	return d
}

// Load reads the departures that earlier processes of the node have stored. It must be called once,
// before Run, unless it is the first start.
func (d *Recorder) Load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := d.read(ctx)
	if !d.Complete() {
		event := eventlog.Node{Change: "departures unknown"}
		if err != nil {
			event.Error = err.Error()
		}
		d.options.Events.Add(event, eventlog.State)
	}
	close(d.loaded)
}

// AwaitLoad waits until Load has returned.
func (d *Recorder) AwaitLoad() { <-d.loaded }

// Complete reports whether the recorder knows all departed instances that may still be at the
// address of the target.
func (d *Recorder) Complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.complete
}

// Confirm records that a heartbeat of the instance at the address has arrived, so that no instance that
// departed earlier is there.
func (d *Recorder) Confirm() {
	d.mu.Lock()
	changed := !d.complete
	d.complete = true
	d.mu.Unlock()
	if changed {
		d.Wake()
	}
}

// Wake makes Run store what is missing under the current lease. It does not wait.
func (d *Recorder) Wake() { wait.Notify(d.wake) }

// Record stores that an instance has announced that it leaves. It returns false if the store has not
// confirmed this soon; the recorder keeps trying.
func (d *Recorder) Record(instance string) bool {
	if d.options.Store == nil {
		return true
	}
	d.mu.Lock()
	if !slices.Contains(d.instances, instance) {
		d.instances = append(d.instances, instance)
		d.instances = d.instances[max(len(d.instances)-maxInstances, 0):]
	}
	d.mu.Unlock()
	d.Wake()
	return d.awaitStored(instance)
}

func (d *Recorder) awaitStored(instance string) bool {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	for {
		d.mu.Lock()
		stored, written := slices.Contains(d.stored, instance), d.written
		d.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-written:
		case <-timer.C:
			return false
		}
	}
}

// Run stores departures until ctx is done.
func (d *Recorder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		if !d.pending() {
			d.spreadWrites(ctx)
		}
		for ctx.Err() == nil && d.synchronize(ctx) != nil {
			wait.Sleep(ctx, retryMinDelay+time.Duration(rand.Int64N(int64(retryJitter))))
		}
	}
}

// spreadWrites waits for a random time that grows with the number of nodes, or until an announcement
// arrives.
func (d *Recorder) spreadWrites(ctx context.Context) {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(writeSpacing) * int64(d.options.Nodes()+1))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.wake:
	}
}

// pending reports whether an announcement waits for the store.
func (d *Recorder) pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pendingLocked()
}

func (d *Recorder) pendingLocked() bool {
	return slices.ContainsFunc(d.instances, func(instance string) bool { return !slices.Contains(d.stored, instance) })
}

// synchronize brings the key up to date.
func (d *Recorder) synchronize(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
	defer cancel()
	d.mu.Lock()
	known := d.known
	d.mu.Unlock()
	if !known {
		if err := d.read(ctx); err != nil {
			return err
		}
	}
	write, instances, err := d.nextWrite()
	if write == nil || err != nil {
		return err
	}
	revision, err := d.options.Store.Put(ctx, *write)
	if !errors.Is(err, store.ErrConflict) {
		d.options.Health.Record("departures", err)
	}
	if err != nil {
		d.forget()
		if errors.Is(err, store.ErrLeaseExpired) {
			d.options.OnLeaseExpired()
		}
		return err
	}
	d.setStored(revision, write.Lease, instances)
	return nil
}

// nextWrite returns the write that brings the key up to date, with the instances that it stores, or nil
// if none is needed or possible now.
func (d *Recorder) nextWrite() (*store.Write, []string, error) {
	lease := d.options.Lease()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = d.complete || d.pendingLocked() // an instance that leaves is the only one at the address
	if lease == 0 || !d.complete || d.revision != 0 && d.lease == lease && slices.Equal(d.stored, d.instances) {
		return nil, nil, nil
	}
	instances, revision := slices.Clone(d.instances), d.revision
	value, err := wire.DeparturesCodec.Encode(&wire.Departures{Instances: instances})
	if err != nil {
		return nil, nil, err
	}
	return &store.Write{Key: d.options.Key, Value: value, Lease: lease, IfRevision: &revision}, instances, nil
}

// read reads the key and adds the instances in it.
func (d *Recorder) read(ctx context.Context) error {
	item, _, err := d.options.Store.Get(ctx, d.options.Key)
	d.options.Health.Record("departures", err)
	if err != nil {
		return err
	}
	if item == nil {
		d.setStored(0, 0, nil)
		return nil
	}
	message, err := wire.DeparturesCodec.Decode(item.Value)
	if err != nil {
		// Written by a later release; the key is replaced when the target is known.
		d.setStored(item.Revision, 0, nil)
		return err
	}
	d.add(message.Instances)
	d.setStored(item.Revision, item.Lease, message.Instances)
	d.options.OnLoaded(message.Instances)
	return nil
}

// add adds stored instances, which are older than those that the process has recorded.
func (d *Recorder) add(stored []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := slices.Clone(stored)
	for _, instance := range d.instances {
		if !slices.Contains(all, instance) {
			all = append(all, instance)
		}
	}
	d.instances = all[max(len(all)-maxInstances, 0):]
	d.complete = true
}

func (d *Recorder) setStored(revision, lease int64, instances []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known, d.revision, d.lease, d.stored = true, revision, lease, instances
	close(d.written)
	d.written = make(chan struct{})
}

// forget makes the next synchronization read the key, after a write whose effect is unknown.
func (d *Recorder) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = false
}
