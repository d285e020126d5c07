// Package heldback keeps a node from sending requests that end the targets that run them.
//
// It owns the node's evidence, which is what targets were running when they ended, and the
// requests that the target beside the node has answered of late. From the evidence it decides
// whether a request may be sent, whether it has to be at a target alone, and whether this
// node is the one that tries a doubtful request; the rule itself is that of package crashes.
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

// Control holds what is known of requests that end the targets that run them: nodes tell
// each other at which requests a target ended, and none sends on what several ended with. It
// is safe for concurrent use.
type Control struct {
	options Options
	good    recentlyGood

	// suspects tells that some request is suspected, so that the prints of all others need
	// not be made while none is.
	suspects atomic.Bool

	mutex     sync.Mutex
	ledger    *crashes.Ledger
	pending   []crashes.Evidence // to be told to the other nodes
	gathering bool               // it is about to be
	held      map[crashes.Content]bool
	trials    map[crashes.Content]bool // doubtful ones that this node has sent
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
	Store   store.Store // nil: none
	Key     string      // of the evidence in the store
	Health  *storehealth.Health
}

// New makes the control of a node that knows of no ends yet.
func New(options Options) *Control {
	return &Control{options: options, ledger: crashes.New(crashes.DefaultConfig()), held: map[crashes.Content]bool{}, trials: map[crashes.Content]bool{}}
}

// state tells what is thought of a request.
func (c *Control) state(r *Request) crashes.State {
	if !c.suspects.Load() || !c.options.Enabled() {
		return crashes.Free
	}
	print := r.Fingerprint()
	recently := c.good.holds(c.options.Now(), print.Variant)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.State(print, recently)
}

// MaySend tells whether the gate lets a request through.
func (c *Control) MaySend(r *Request) bool {
	switch c.state(r) {
	case crashes.Held:
		return false
	case crashes.Doubtful:
		return r.Call.Trial
	}
	return true
}

// Suspected tells that a request is to be at a target alone: a target has ended with it.
func (c *Control) Suspected(r *Request) bool {
	if r.Call.Suspect && c.options.Enabled() && !c.good.holds(c.options.Now(), r.Fingerprint().Variant) {
		return true
	}
	return c.state(r) != crashes.Free
}

// Verdict is what becomes of a request where it begins.
type Verdict struct {
	Refused bool
	Trial   func() // not nil: it is sent as the only one of its content; called at its end
}

// AtStart decides on a request where it begins, by what targets ended with itself. Which of
// its variants end well of late is known where the targets are.
func (c *Control) AtStart(r *Request) Verdict {
	if !c.suspects.Load() || !c.options.Enabled() {
		return Verdict{}
	}
	print := r.Fingerprint()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own := c.ledger.State(print, true)
	switch {
	case own == crashes.Held:
		return Verdict{Refused: true}
	case c.ledger.State(print, false) != crashes.Doubtful:
		return Verdict{}
	case c.trials[print.Content] || !c.options.Nodes.IsFirstFor(print.Content[:]):
		return Verdict{Refused: own == crashes.Doubtful}
	}
	c.trials[print.Content] = true
	return Verdict{Trial: func() { c.endTrial(print.Content) }}
}

func (c *Control) endTrial(content crashes.Content) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.trials, content)
}

// EndedAt takes in the runs that an instance of a service, the target beside the node, ended
// with. One that has ended well here of late is left out: it is not what ended the target.
func (c *Control) EndedAt(instance, service string, runs []Run) {
	at := time.Now().UnixMilli()
	evidence := make([]crashes.Evidence, 0, len(runs))
	for _, run := range runs {
		if !c.good.holds(c.options.Now(), run.Fingerprint.Variant) {
			evidence = append(evidence, crashes.Evidence{Print: run.Fingerprint, Instance: instance, Service: service, Route: run.Route, At: at, Alone: run.Alone})
		}
	}
	c.learn(evidence, crashGather)
}

// EndedWell takes in that the target beside the node answered a request.
func (c *Control) EndedWell(r *Request) {
	if !c.options.Enabled() {
		return
	}
	print := r.Fingerprint()
	c.good.add(c.options.Now(), print.Variant)
	if c.suspects.Load() {
		c.clear(print)
	}
}

func (c *Control) clear(print crashes.Print) {
	c.mutex.Lock()
	cleared := c.ledger.EndedWell(print)
	c.mutex.Unlock()
	c.changed(cleared, clearGather)
}

// learn takes in evidence and tells the other nodes what of it is news here.
func (c *Control) learn(evidence []crashes.Evidence, gather time.Duration) {
	c.mutex.Lock()
	news := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.changed(news, gather)
}

// hear takes in evidence that another node has told to all. What has ended well here of late
// is cleared for all.
func (c *Control) hear(evidence []crashes.Evidence) {
	c.mutex.Lock()
	heard := c.ledger.Add(evidence...)
	c.mutex.Unlock()
	c.note(heard)
	for _, one := range heard {
		if !one.Cleared && c.good.holds(c.options.Now(), one.Variant) {
			c.clear(one.Print)
		}
	}
}

// changed has the other nodes told of evidence that is news.
func (c *Control) changed(news []crashes.Evidence, gather time.Duration) {
	if len(news) == 0 {
		return
	}
	c.note(news)
	c.mutex.Lock()
	c.pending = append(c.pending, news...)
	begun := c.gathering && gather >= clearGather
	c.gathering = true
	c.mutex.Unlock()
	if !begun {
		time.AfterFunc(gather, c.tell)
	}
}

// note logs which contents are held back now and which no longer.
func (c *Control) note(news []crashes.Evidence) {
	if len(news) == 0 {
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

// Count gives how many contents are held back.
func (c *Control) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.held)
}
