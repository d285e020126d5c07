// Package broadcast sends a message to many nodes along a tree: the sender divides the nodes
// into branches, and the first node of each branch forwards the message to the rest of it.
//
// The package is stateless; the caller provides the addresses and the transport. Delivery is
// best effort: nodes that do not accept the message are skipped, and callers need another
// mechanism, such as anti-entropy, to repair missed messages.
package broadcast

import (
	"slices"
	"sync"
	"time"
)

// Limits of a broadcast.
const (
	// fanOut is the maximum number of branches that a node sends to. 4,000 nodes in 29 zones are 138 per
	// zone, which are reached in two steps (docs/CAPACITY.md).
	fanOut = 16
	// maxAttempts is the maximum number of nodes of a branch to which a sender tries to send.
	maxAttempts = 3
	// Timeout is the timeout for sending to one node.
	Timeout = 300 * time.Millisecond
)

// Send sends the message to the node at address, which forwards it to the nodes in forward. An
// error means that the node did not accept the message. Calls may be concurrent.
type Send func(address string, forward []string) error

// ToZones sends to nodes grouped by zone. It uses a tree in the sender's own zone, and a single
// branch in each other zone to limit cross-zone traffic. It does not wait for delivery. The result
// is closed when each branch has a node that accepted the message, or was given up.
func ToZones(addresses map[string][]string, ownZone string, send Send) (accepted <-chan struct{}) {
	var list [][]string
	for zone, nodes := range addresses {
		if zone == ownZone {
			list = append(list, branches(nodes)...)
			continue
		}
		list = append(list, nodes)
	}
	return sendAlong(list, send)
}

// ToNodes sends to nodes along a tree. It does not wait for delivery. The result is that of ToZones.
func ToNodes(addresses []string, send Send) (accepted <-chan struct{}) {
	return sendAlong(branches(addresses), send)
}

func sendAlong(list [][]string, send Send) <-chan struct{} {
	accepted := make(chan struct{})
	var group sync.WaitGroup
	for _, branch := range list {
		group.Go(func() { sendAlongBranch(branch, send) })
	}
	go func() {
		group.Wait()
		close(accepted)
	}()
	return accepted
}

// branches divides addresses into at most fanOut branches.
func branches(addresses []string) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	size := (len(addresses) + fanOut - 1) / fanOut
	return slices.Collect(slices.Chunk(addresses, size))
}

// sendAlongBranch sends to the first node of a branch that accepts the message, which forwards
// it to the nodes after it.
func sendAlongBranch(branch []string, send Send) {
	for range min(maxAttempts, len(branch)) {
		if send(branch[0], branch[1:]) == nil {
			return
		}
		branch = branch[1:]
	}
}
