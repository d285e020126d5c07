// Package platform is the port to the platform's key-value service and machine
// list, with the adapter to Consul's published HTTP protocol.
package platform

import (
	"context"
)

// Entry is one key with its value and the index that compare-and-swap takes.
type Entry struct {
	Value []byte
	Index uint64 // 0: the key is absent
}

// Machine is one machine of the lagging machine list.
type Machine struct {
	Node    string
	Leaving bool
}

// Store is what landingmast needs of the platform. Errors are of kind
// Unavailable, Limited, Uncertain (the write may have taken effect) or BadInput.
type Store interface {
	// Get reads a key; an absent key has index 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the key if its index still is the given one; false
	// tells that another write came first.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Machines reads the machine list and its index. It may lag.
	Machines(ctx context.Context) ([]Machine, uint64, error)
}

// ReleaseKey is where the release in force of a mesh stands.
func ReleaseKey(mesh string) string { return "landingmast/" + mesh + "/release" }

// VotersKey is where the voter set of a service stands.
func VotersKey(mesh, service string) string { return "landingmast/" + mesh + "/voters/" + service }
