// Package store is the port to a key-value service with revisions, leases and
// watches, in which what must outlive every process is kept. Adapters implement
// it; they decide nothing.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Item is one key. Gone tells that an event removed it.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Lease    int64 // 0: none
	Gone     bool
}

// Lease is the right to keep keys for some time.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Write changes one key.
type Write struct {
	Key   string
	Value []byte
	Lease int64
	// IfRevision is the revision that the key must have; nil: any, 0: it must not be there.
	IfRevision *int64
}

// Errors of a store. Callers compare with errors.Is.
const (
	// ErrCompacted means that the history asked for is gone: read anew.
	ErrCompacted = errors.ConstError("history is gone (remedy: read the keys anew)")
	// ErrConflict means that a condition did not hold; nothing was done.
	ErrConflict = errors.ConstError("key has another revision (remedy: read it and decide anew)")
	// ErrLeaseGone means that a lease is over; nothing was done.
	ErrLeaseGone = errors.ConstError("lease is over (remedy: take a new one)")
	// ErrLimited means that the store asks for fewer calls; nothing was done.
	ErrLimited = errors.ConstError("store limits its calls (remedy: call again later)")
	// ErrUnavailable means that the store could not serve the call; nothing was done.
	ErrUnavailable = errors.ConstError("store is not available (remedy: call again later)")
	// ErrUncertain means that no answer came: the call may be done, now or later.
	ErrUncertain = errors.ConstError("store gave no answer (remedy: read before you decide)")
	// ErrRefused means that the store takes the call for wrong.
	ErrRefused = errors.ConstError("store refused the call (remedy: correct it)")
)

// Store is a key-value service. Every method ends with its context. Reads are
// linearizable.
type Store interface {
	// Get gives a key, nil when it is not there, and the revision of the store.
	Get(ctx context.Context, key string) (*Item, int64, error)
	// List gives all keys below a prefix and a revision not later than any of the pages.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes below a prefix after a revision; no events and a
	// revision when none came within wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Unchanged asks whether a key still has a revision; ErrConflict comes with the key as
	// it is then, nil when it is gone.
	Unchanged(ctx context.Context, key string, revision int64) (newer *Item, err error)
	// Probe asks for a sign of life, as cheaply as the service allows.
	Probe(ctx context.Context) error
	// Put writes a key and gives the new revision.
	Put(ctx context.Context, write Write) (int64, error)
	// Grant takes a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
