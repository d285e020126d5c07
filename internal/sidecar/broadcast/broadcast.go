// Package broadcast sends a message to many nodes along a tree: the sender lays out the
// branches, and the first node of each branch passes the message on to the rest of it.
//
// It owns no state. It relies on its caller for the addresses of the nodes and for the
// sending itself. A node that does not take the message is passed over; whoever a lost
// message leaves out has to learn it another way, by comparing what it knows with others.
package broadcast

import (
	"slices"
	"time"
)

// Bounds of a broadcast.
const (
	// fanOut is the number of nodes that one node sends to itself. 4,000 nodes in 29 zones
	// are 138 a zone; all of them are reached in three steps.
	fanOut = 16
	// tries is the number of nodes of a branch that are tried in turn.
	tries = 3
	// Timeout bounds the sending to one node.
	Timeout = 300 * time.Millisecond
)

// Send sends the message to the node at an address, which passes it on to those at forward.
// An error means that the node has not taken it. Branches call it at the same time.
type Send func(address string, forward []string) error

// ToZones sends to nodes by their zone: in the own zone along a tree, in each other one along
// a single branch, so that a message crosses into a zone once. It does not wait for the end.
func ToZones(addresses map[string][]string, own string, send Send) {
	for zone, there := range addresses {
		if zone == own {
			ToNodes(there, send)
			continue
		}
		go alongBranch(there, send)
	}
}

// ToNodes sends to nodes along a tree. It does not wait for the end.
func ToNodes(addresses []string, send Send) {
	for _, branch := range branches(addresses) {
		go alongBranch(branch, send)
	}
}

// branches divides nodes among the branches of a tree.
func branches(addresses []string) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	size := (len(addresses) + fanOut - 1) / fanOut
	return slices.Collect(slices.Chunk(addresses, size))
}

// alongBranch sends to the first node of a branch that takes the message and leaves the others to it.
func alongBranch(branch []string, send Send) {
	for range min(tries, len(branch)) {
		if send(branch[0], branch[1:]) == nil {
			return
		}
		branch = branch[1:]
	}
}
