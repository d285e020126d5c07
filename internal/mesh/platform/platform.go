// Package platform defines access to the platform's key-value store and machine list,
// and implements it over Consul's HTTP API.
package platform

import (
	"context"
)

// Entry is the value of a key with the index to pass to CompareAndSwap.
type Entry struct {
	Value []byte
	Index uint64 // 0 if the key does not exist
}

// Machine is an entry of the machine list, which is eventually consistent.
type Machine struct {
	Node    string
	Leaving bool
}

// Store is the subset of the platform's API that landingmast uses. Errors are of kind
// Unavailable, Limited, Uncertain (the write may have taken effect) or BadInput.
type Store interface {
	// Get reads a key. A key that does not exist has index 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the key if its index equals the given one. It returns
	// false if the key was modified concurrently.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Machines reads the machine list and its index. The list may be stale.
	Machines(ctx context.Context) ([]Machine, uint64, error)
}

// ReleaseKey returns the key of a mesh's current release.
func ReleaseKey(mesh string) string { return "landingmast/" + mesh + "/release" }

// VotersKey returns the key of a service's voter set.
func VotersKey(mesh, service string) string { return "landingmast/" + mesh + "/voters/" + service }
