// Package store defines the interface to a key-value service with revisions, leases and watches.
// It holds the state that must outlive every process.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Item is a key with its value, or an event of a watch.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last change
	Lease    int64 // 0: none
	Deleted  bool  // the key was deleted
}

// Lease keeps the keys attached to it alive until its TTL expires without a renewal.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Write describes a change of one key.
type Write struct {
	Key   string
	Value []byte
	Lease int64
	// IfRevision is the revision that the key must have; nil: any, 0: the key must not exist.
	IfRevision *int64
}

// Errors returned by a Store. Compare them with errors.Is.
const (
	// ErrCompacted is returned by a watch whose start revision has been compacted.
	ErrCompacted = errors.ConstError("requested revision has been compacted (remedy: list the keys again)")
	// ErrConflict is returned if a key does not have the expected revision. The store is unchanged.
	ErrConflict = errors.ConstError("key has a different revision (remedy: read the key and retry)")
	// ErrLeaseExpired is returned if a lease has expired or was revoked. The store is unchanged.
	ErrLeaseExpired = errors.ConstError("lease has expired or was revoked (remedy: request a new lease)")
	// ErrRateLimited is returned if the store rejects a call because of its rate limit. The store is
	// unchanged.
	ErrRateLimited = errors.ConstError("store rate limit exceeded (remedy: retry later)")
	// ErrUnavailable is returned if the store cannot serve a call. The store is unchanged.
	ErrUnavailable = errors.ConstError("store is unavailable (remedy: retry later)")
	// ErrNoResponse is returned if no valid response was received. A write may have been applied,
	// or may still be.
	ErrNoResponse = errors.ConstError("no valid response from the store (remedy: read the key before retrying)")
	// ErrInvalidCall is returned if a call is invalid.
	ErrInvalidCall = errors.ConstError("store rejected the call as invalid (remedy: correct the call)")
)

// Store is a key-value service. Methods return when their context is done. Get, List and
// CheckRevision are linearizable.
type Store interface {
	// Get returns a key, or nil if it does not exist, and the revision of the store.
	Get(ctx context.Context, key string) (*Item, int64, error)
	// List returns all keys with a prefix, and a store revision that is not newer than any page
	// of the listing.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes of keys with a prefix after a revision. If none occur within wait,
	// it returns no events and the current revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// CheckRevision checks that a key still has a revision. Otherwise it returns ErrConflict and the
	// current item, or nil if the key does not exist.
	CheckRevision(ctx context.Context, key string, revision int64) (newer *Item, err error)
	// Probe checks that the service responds, using the cheapest available call.
	Probe(ctx context.Context) error
	// Put writes a key and returns its new revision.
	Put(ctx context.Context, write Write) (int64, error)
	// Grant creates a lease. The TTL of the result may differ from the requested one.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}
