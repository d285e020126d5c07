// Package heldback keeps a node from sending requests that end the targets that run them.
//
// It owns the node's evidence, which is what targets were running when they ended, and the
// requests that the target beside the node has answered of late. From these it decides whether
// a request may be sent, whether it has to be the only suspected one at its target, and
// whether this node is the one that tries a doubtful one; the rule is that of package crashes.
//
// Evidence reaches the other nodes in three ways: by a broadcast as soon as it is new, by a
// comparison with a random node each second, and by the store, where the nodes that follow
// the store keep what has to last when all nodes lose power.
//
// It relies on package broadcast for the tree of a broadcast and on package peer for the
// connections. Which nodes there are, and when a target has ended, it learns from the node
// that makes it. All of it is safe for concurrent use, but for Request.
package heldback

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

// Control decides for one node which requests are held back. It is safe for concurrent use.
type Control struct {
	options Options
	good    recentlyGood

	// suspects is whether any request is suspected. While none is, no fingerprint has to be
	// computed.
	suspects atomic.Bool

	mutex     sync.Mutex
	ledger    *crashes.Ledger
	pending   []crashes.Evidence       // for the next broadcast
	scheduled bool                     // a broadcast is about to begin
	held      map[crashes.Content]bool // as it was logged last
	trials    map[crashes.Content]bool // doubtful contents of which this node has a request under way
	stored    storedEvidence
}

// Nodes are the other nodes, as membership knows them.
type Nodes interface {
	// IsFirstFor is whether this node comes before all others for a key.
	IsFirstFor(key []byte) bool
	// Addresses are those of the other nodes by zone.
	Addresses() map[string][]string
	// AnyAddress is that of another node chosen at random; empty: none is known.
	AnyAddress() string
}

// Options are what the parts of a node bring in.
type Options struct {
	Zone    string               // of the node
	Enabled func() bool          // requests are held back at all
	Now     func() time.Duration // the clock that counts suspensions
	Nodes   Nodes
	Peers   *peer.Client
	Events  *eventlog.Log
	Store   store.Store // nil: none; Save must not be called then
	Key     string      // of the evidence in the store
	Health  *storehealth.Health
}

// New makes the control of a node that has no evidence yet.
func New(options Options) *Control {
	return &Control{options: options, ledger: crashes.New(crashes.DefaultConfig()), held: map[crashes.Content]bool{}, trials: map[crashes.Content]bool{}}
}

// state is the state of a request by all evidence and by what ended well here of late.
func (c *Control) state(r *Request) crashes.State {
	if !c.suspects.Load() || !c.options.Enabled() {
		return crashes.Free
	}
	fingerprint := r.Fingerprint()
	recently := c.good.holds(c.options.Now(), fingerprint.Variant)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.State(fingerprint, recently)
}

// MaySend reports whether a request may be sent to the target beside the node. A doubtful one
// may if it is the trial of the node where it began.
func (c *Control) MaySend(r *Request) bool {
	switch c.state(r) {
	case crashes.Held:
		return false
	case crashes.Doubtful:
		return r.Call.Trial
	}
	return true
}

// Suspected reports whether a request has to be the only suspected one at its target, since a
// target has ended with it.
func (c *Control) Suspected(r *Request) bool {
	if r.Call.Suspect && c.options.Enabled() && !c.good.holds(c.options.Now(), r.Fingerprint().Variant) {
		return true
	}
	return c.state(r) != crashes.Free
}

// Verdict is what becomes of a request at the node where it begins.
type Verdict struct {
	Refused bool
	// EndTrial is called at the end of a request that is sent as the only one of its
	// content; nil: it is sent as any other.
	EndTrial func()
}

// AtStart decides on a request at the node where it begins. What ended well of late is known
// only beside the targets: a request that may have is not refused here.
func (c *Control) AtStart(r *Request) Verdict {
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
	case c.trials[content] || !c.options.Nodes.IsFirstFor(content[:]):
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

// TargetEnded adds the runs that were at the target beside the node when it ended, an instance
// of a service. A run is left out if the same request ended well here of late: it is not what
// ended the target.
func (c *Control) TargetEnded(instance, service string, runs []Run) {
	at := time.Now().UnixMilli()
	evidence := make([]crashes.Evidence, 0, len(runs))
	for _, run := range runs {
		if !c.good.holds(c.options.Now(), run.Fingerprint.Variant) {
			evidence = append(evidence, crashes.Evidence{Print: run.Fingerprint, Instance: instance, Service: service, Route: run.Route, At: at, Alone: run.Alone})
		}
	}
	c.add(evidence)
}

// EndedWell notes that the target beside the node answered a request. Evidence against it is
// cleared at all nodes.
func (c *Control) EndedWell(r *Request) {
	if !c.options.Enabled() {
		return
	}
	fingerprint := r.Fingerprint()
	c.good.add(c.options.Now(), fingerprint.Variant)
	if c.suspects.Load() {
		c.clear(fingerprint)
	}
}

func (c *Control) clear(fingerprint crashes.Print) {
	c.mutex.Lock()
	cleared := c.ledger.EndedWell(fingerprint)
	c.mutex.Unlock()
	c.publish(cleared, clearGather)
}

// add adds evidence that other nodes may not have.
func (c *Control) add(evidence []crashes.Evidence) {
	c.mutex.Lock()
	added := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.publish(added, endGather)
}

// receive adds evidence that another node has sent to all. Evidence against a request that
// ended well here of late is cleared at all nodes.
func (c *Control) receive(evidence []crashes.Evidence) {
	c.mutex.Lock()
	added := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.logChanges(added)
	for _, one := range added {
		if !one.Cleared && c.good.holds(c.options.Now(), one.Variant) {
			c.clear(one.Print)
		}
	}
}

// publish logs evidence that was added or cleared here and sends it to all nodes after a time
// in which more is gathered.
func (c *Control) publish(changed []crashes.Evidence, gather time.Duration) {
	if len(changed) == 0 {
		return
	}
	c.logChanges(changed)
	c.mutex.Lock()
	c.pending = append(c.pending, changed...)
	begun := c.scheduled && gather >= clearGather
	c.scheduled = true
	c.mutex.Unlock()
	if !begun {
		time.AfterFunc(gather, c.broadcastPending)
	}
}

// logChanges logs which contents are held back from now on and which no longer.
func (c *Control) logChanges(changed []crashes.Evidence) {
	if len(changed) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.suspects.Store(c.ledger.Suspects())
	held := c.ledger.Held()
	for content, evidence := range held {
		if !c.held[content] {
			c.held[content] = true
			c.options.Events.Add(eventlog.HeldBack{Change: "held back", Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route, Ends: len(evidence)}, eventlog.State)
		}
	}
	for content := range c.held {
		if held[content] == nil {
			delete(c.held, content)
			c.options.Events.Add(eventlog.HeldBack{Change: "let go", Digest: content.String()}, eventlog.State)
		}
	}
}

// Count is the number of contents that are held back.
func (c *Control) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.held)
}
