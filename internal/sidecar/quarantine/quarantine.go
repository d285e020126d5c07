// Package quarantine blocks poison requests: requests that crash the targets that process them.
//
// A Control collects evidence, which records the requests in flight at a target when it
// crashed, and remembers the requests that the local target has recently completed. From these
// it decides whether a request may be sent, whether it must be the only suspect at its target,
// and whether this node may send a trial of a doubtful one. Package core/crashes implements
// the rules.
//
// Evidence is replicated in three ways: new evidence is broadcast to all nodes, each node
// compares its evidence with a random peer about every second, and the nodes that follow the
// store save the evidence that must survive a restart of all nodes.
//
// The package relies on package broadcast for fan-out and on package peer for connections. All
// types but Request are safe for concurrent use.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
)

// Control decides which requests a node blocks. It is safe for concurrent use.
type Control struct {
	options Options
	recent  recentSuccesses

	// suspects is set while any request is suspected. Otherwise no fingerprints are computed.
	suspects atomic.Bool

	mutex     sync.Mutex
	ledger    *crashes.Ledger
	pending   []crashes.Evidence       // changes for the next broadcast
	scheduled bool                     // a broadcast is scheduled
	held      map[crashes.Content]bool // contents last logged as held back
	trials    map[crashes.Content]bool // contents with a trial in flight
	// delivered is closed when the other nodes have accepted the next broadcast; nil if nothing is
	// pending. crashDelivered is that of the last broadcast with a crash; nil before the first.
	delivered, crashDelivered chan struct{}
	stored                    storedEvidence
}

// Nodes provides the known nodes.
type Nodes interface {
	// RanksFirst reports whether this node ranks first among all nodes for a key.
	RanksFirst(key []byte) bool
	// Addresses returns the addresses of the other nodes by zone.
	Addresses() map[string][]string
	// RandomAddress returns the address of a random other node, or an empty string.
	RandomAddress() string
}

// Options configure a Control and connect it to the other parts of a node.
type Options struct {
	Zone    string               // zone of this node
	Enabled func() bool          // whether requests are blocked at all
	Now     func() time.Duration // time since start, including suspensions of the machine
	Nodes   Nodes
	Peers   *peer.Client
	Events  *eventlog.Log
	Store   store.Store // nil if the node has no store, in which case Save must not be called
	Key     string      // store key of the evidence
	Health  *storehealth.Health
}

// New returns a Control without evidence.
func New(options Options) *Control {
	return &Control{options: options, ledger: crashes.New(crashes.DefaultConfig()), held: map[crashes.Content]bool{}, trials: map[crashes.Content]bool{}}
}

// state returns the state of a request, based on all evidence and on recent local successes.
func (c *Control) state(r *Request) crashes.State {
	if !c.suspects.Load() || !c.options.Enabled() {
		return crashes.Free
	}
	fingerprint := r.Fingerprint()
	recently := c.recent.contains(c.options.Now(), fingerprint.Variant)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.State(fingerprint, recently)
}

// MaySend reports whether a request may be sent to the local target. A doubtful request may be
// sent only if it is marked as a trial.
func (c *Control) MaySend(r *Request) bool {
	switch c.state(r) {
	case crashes.Held:
		return false
	case crashes.Doubtful:
		return r.Call.Trial
	}
	return true
}

// IsSuspected reports whether a request was in flight at a target that crashed, so that it must be
// the only suspect at its target.
func (c *Control) IsSuspected(r *Request) bool {
	if r.Call.Suspect && c.options.Enabled() && !c.recent.contains(c.options.Now(), r.Fingerprint().Variant) {
		return true
	}
	return c.state(r) != crashes.Free
}

// Verdict is the decision on a request at the node where it enters.
type Verdict struct {
	Refused bool
	// EndTrial is set if the request is a trial, and must be called when the request has
	// ended.
	EndTrial func()
}

// CheckAtEntry decides on a request at the node where it enters. Recent successes are known only at
// the nodes of the targets, so a request that could be cleared by one is not refused here.
func (c *Control) CheckAtEntry(r *Request) Verdict {
	if !c.suspects.Load() || !c.options.Enabled() {
		return Verdict{}
	}
	fingerprint := r.Fingerprint()
	content := fingerprint.Content
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own := c.ledger.State(fingerprint, true)
	switch {
	case own == crashes.Held:
		return Verdict{Refused: true}
	case c.ledger.State(fingerprint, false) != crashes.Doubtful:
		return Verdict{}
	case c.trials[content] || !c.options.Nodes.RanksFirst(content[:]):
		return Verdict{Refused: own == crashes.Doubtful}
	}
	c.trials[content] = true
	return Verdict{EndTrial: func() { c.endTrial(content) }}
}

func (c *Control) endTrial(content crashes.Content) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.trials, content)
}

// RecordCrash adds evidence against the requests that were in flight at the local target, an
// instance of a service, when it crashed. Requests that have recently succeeded are skipped.
func (c *Control) RecordCrash(instance, service string, runs []Run) {
	at := time.Now().UnixMilli()
	evidence := make([]crashes.Evidence, 0, len(runs))
	for _, run := range runs {
		if !c.recent.contains(c.options.Now(), run.Fingerprint.Variant) {
			evidence = append(evidence, crashes.Evidence{Fingerprint: run.Fingerprint, Instance: instance, Service: service, Route: run.Route, CrashedAtMillis: at, Isolated: run.Isolated})
		}
	}
	c.add(evidence)
}

// RecordSuccess records that the local target completed a request, and clears the evidence against
// the request at all nodes.
func (c *Control) RecordSuccess(r *Request) {
	if !c.options.Enabled() {
		return
	}
	fingerprint := r.Fingerprint()
	c.recent.add(c.options.Now(), fingerprint.Variant)
	if c.suspects.Load() {
		c.clear(fingerprint)
	}
}

func (c *Control) clear(fingerprint crashes.Fingerprint) {
	c.mutex.Lock()
	cleared := c.ledger.RecordSuccess(fingerprint)
	c.mutex.Unlock()
	c.publish(cleared, clearBatchDelay)
}

// add adds new evidence and broadcasts it.
func (c *Control) add(evidence []crashes.Evidence) {
	c.mutex.Lock()
	added := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.publish(added, crashBatchDelay)
}

// merge adds evidence received from another node. It clears evidence against requests that have
// recently succeeded here.
func (c *Control) merge(evidence []crashes.Evidence) {
	c.mutex.Lock()
	added := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.updateHeld(added)
	for _, e := range added {
		if !e.Cleared && c.recent.contains(c.options.Now(), e.Variant) {
			c.clear(e.Fingerprint)
		}
	}
}

// publish applies changes of the evidence and schedules a broadcast of them. The delay allows
// further changes to be sent in the same broadcast.
func (c *Control) publish(changed []crashes.Evidence, delay time.Duration) {
	if len(changed) == 0 {
		return
	}
	c.updateHeld(changed)
	c.mutex.Lock()
	c.pending = append(c.pending, changed...)
	if c.delivered == nil {
		c.delivered = make(chan struct{})
	}
	if delay == crashBatchDelay {
		c.crashDelivered = c.delivered
	}
	sendScheduled := c.scheduled && delay >= clearBatchDelay
	c.scheduled = true
	c.mutex.Unlock()
	if !sendScheduled {
		time.AfterFunc(delay, c.broadcastPending)
	}
}

// updateHeld updates the blocked contents after a change of the evidence and logs the difference.
func (c *Control) updateHeld(changed []crashes.Evidence) {
	if len(changed) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.suspects.Store(c.ledger.HasSuspects())
	held := c.ledger.HeldBack()
	for content, evidence := range held {
		if !c.held[content] {
			c.held[content] = true
			c.options.Events.Add(eventlog.HeldBack{Change: "held back", Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route, Crashes: len(evidence)}, eventlog.State)
		}
	}
	for content := range c.held {
		if held[content] == nil {
			delete(c.held, content)
			c.options.Events.Add(eventlog.HeldBack{Change: "let go", Digest: content.String()}, eventlog.State)
		}
	}
}

// Count returns the number of blocked contents.
func (c *Control) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.held)
}
