// Package recordloss decides whether a node whose record is missing from the store is gone. While the
// store is unavailable nothing is decided. Once it is available, a live node that reaches it
// restores its record within the grace period; a node whose record is still missing then is
// gone, even if something answers at its address. A node that reports that it alone can't
// reach the store is kept for as long as it reports so. The package uses no locks, clocks or
// sockets.
package recordloss

import "time"

// Config sets the timeouts.
type Config struct {
	// GracePeriod is how long a record may be missing after its loss or the store's return.
	GracePeriod time.Duration
	// ProbeInterval is the pause between two probes of a node.
	ProbeInterval time.Duration
	// MaxUnanswered is the number of consecutive unanswered probes after which a node is gone.
	MaxUnanswered int
}

// DefaultConfig allows a node two seconds to rewrite its record, and half a second for the
// other nodes to learn of it.
func DefaultConfig() Config {
	return Config{GracePeriod: 2500 * time.Millisecond, ProbeInterval: 500 * time.Millisecond, MaxUnanswered: 3}
}

// ProbeResult is the result of probing a node.
type ProbeResult int

// Results of a probe.
const (
	// NoAnswer means that nothing, or another node, answered at the address.
	NoAnswer ProbeResult = iota + 1
	// StoreReachable means that the node is alive and reaches the store.
	StoreReachable
	// StoreUnreachable means that the node is alive and can't reach the store.
	StoreUnreachable
)

type missingNode struct {
	graceStart time.Duration
	probedAt   time.Duration
	unanswered int // consecutive unanswered probes
}

// Tracker tracks the nodes whose records are missing. It is not safe for concurrent use.
type Tracker struct {
	config    Config
	storeDown bool
	missing   map[string]*missingNode
}

// New returns a tracker that assumes the store to be available.
func New(config Config) *Tracker {
	return &Tracker{config: config, missing: map[string]*missingNode{}}
}

// RecordMissing records that a node's record is missing from the store.
func (t *Tracker) RecordMissing(now time.Duration, node string) {
	if t.missing[node] == nil {
		t.missing[node] = &missingNode{graceStart: now, probedAt: now - t.config.ProbeInterval}
	}
}

// RecordRestored records that a node's record is in the store.
func (t *Tracker) RecordRestored(node string) { delete(t.missing, node) }

// SetStoreAvailable records whether the store is available. All grace periods restart when it returns.
func (t *Tracker) SetStoreAvailable(now time.Duration, available bool) {
	if available && t.storeDown {
		for _, m := range t.missing {
			m.graceStart = now
		}
	}
	t.storeDown = !available
}

// HandleProbe records the result of a probe.
func (t *Tracker) HandleProbe(now time.Duration, node string, answer ProbeResult) {
	m := t.missing[node]
	if m == nil {
		return
	}
	switch answer {
	case NoAnswer:
		m.unanswered++
	case StoreUnreachable:
		m.unanswered, m.graceStart = 0, now
	default:
		m.unanswered = 0
	}
}

// Poll returns the nodes to probe now and those that are gone. The latter are no longer tracked.
func (t *Tracker) Poll(now time.Duration) (probe, gone []string) {
	if t.storeDown {
		return nil, nil
	}
	for node, m := range t.missing {
		switch {
		case m.unanswered >= t.config.MaxUnanswered || now-m.graceStart >= t.config.GracePeriod:
			gone = append(gone, node)
			delete(t.missing, node)
		case now-m.probedAt >= t.config.ProbeInterval:
			m.probedAt = now
			probe = append(probe, node)
		}
	}
	return probe, gone
}

// Missing returns the nodes whose records are missing.
func (t *Tracker) Missing() []string {
	nodes := make([]string, 0, len(t.missing))
	for node := range t.missing {
		nodes = append(nodes, node)
	}
	return nodes
}
