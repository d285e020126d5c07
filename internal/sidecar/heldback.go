package sidecar

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

// heldBack holds what is known of requests that end the targets that run them: nodes tell
// each other at which requests a target ended, and none sends on what several ended with. It
// is safe for concurrent use.
type heldBack struct {
	options heldBackOptions
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

// heldBackNodes are the other nodes, as membership knows them.
type heldBackNodes interface {
	// IsFirstFor is whether this node comes before all others for a key.
	IsFirstFor(key []byte) bool
	// Addresses are those of the other nodes by zone.
	Addresses() map[string][]string
	// AnyAddress is that of another node chosen at random; empty: none is known.
	AnyAddress() string
}

// heldBackOptions are what the parts of a node bring in.
type heldBackOptions struct {
	Zone    string               // of the node
	Enabled func() bool          // requests are held back at all
	Now     func() time.Duration // the clock that counts suspensions
	Nodes   heldBackNodes
	Peers   *peer.Client
	Events  *eventlog.Log
	Store   store.Store // nil: none
	Key     string      // of the evidence in the store
	Health  *storehealth.Health
}

func newHeldBack(options heldBackOptions) *heldBack {
	return &heldBack{options: options, ledger: crashes.New(crashes.DefaultConfig()), held: map[crashes.Content]bool{}, trials: map[crashes.Content]bool{}}
}

// state tells what is thought of a request.
func (h *heldBack) state(r *heldBackRequest) crashes.State {
	if !h.suspects.Load() || !h.options.Enabled() {
		return crashes.Free
	}
	print := r.Fingerprint()
	recently := h.good.holds(h.options.Now(), print.Variant)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.State(print, recently)
}

// MaySend tells whether the gate lets a request through.
func (h *heldBack) MaySend(r *heldBackRequest) bool {
	switch h.state(r) {
	case crashes.Held:
		return false
	case crashes.Doubtful:
		return r.Call.Trial
	}
	return true
}

// Suspected tells that a request is to be at a target alone: a target has ended with it.
func (h *heldBack) Suspected(r *heldBackRequest) bool {
	if r.Call.Suspect && h.options.Enabled() && !h.good.holds(h.options.Now(), r.Fingerprint().Variant) {
		return true
	}
	return h.state(r) != crashes.Free
}

// verdict is what becomes of a request where it begins.
type verdict struct {
	Refused bool
	Trial   func() // not nil: it is sent as the only one of its content; called at its end
}

// AtStart decides on a request where it begins, by what targets ended with itself. Which of
// its variants end well of late is known where the targets are.
func (h *heldBack) AtStart(r *heldBackRequest) verdict {
	if !h.suspects.Load() || !h.options.Enabled() {
		return verdict{}
	}
	print := r.Fingerprint()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	own := h.ledger.State(print, true)
	switch {
	case own == crashes.Held:
		return verdict{Refused: true}
	case h.ledger.State(print, false) != crashes.Doubtful:
		return verdict{}
	case h.trials[print.Content] || !h.options.Nodes.IsFirstFor(print.Content[:]):
		return verdict{Refused: own == crashes.Doubtful}
	}
	h.trials[print.Content] = true
	return verdict{Trial: func() { h.endTrial(print.Content) }}
}

func (h *heldBack) endTrial(content crashes.Content) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.trials, content)
}

// EndedAt takes in the runs that an instance of a service, the target beside the node, ended
// with. One that has ended well here of late is left out: it is not what ended the target.
func (h *heldBack) EndedAt(instance, service string, runs []heldBackRun) {
	at := time.Now().UnixMilli()
	evidence := make([]crashes.Evidence, 0, len(runs))
	for _, run := range runs {
		if !h.good.holds(h.options.Now(), run.Fingerprint.Variant) {
			evidence = append(evidence, crashes.Evidence{Print: run.Fingerprint, Instance: instance, Service: service, Route: run.Route, At: at, Alone: run.Alone})
		}
	}
	h.learn(evidence, crashGather)
}

// EndedWell takes in that the target beside the node answered a request.
func (h *heldBack) EndedWell(r *heldBackRequest) {
	if !h.options.Enabled() {
		return
	}
	print := r.Fingerprint()
	h.good.add(h.options.Now(), print.Variant)
	if h.suspects.Load() {
		h.clear(print)
	}
}

func (h *heldBack) clear(print crashes.Print) {
	h.mutex.Lock()
	cleared := h.ledger.EndedWell(print)
	h.mutex.Unlock()
	h.changed(cleared, clearGather)
}

// learn takes in evidence and tells the other nodes what of it is news here.
func (h *heldBack) learn(evidence []crashes.Evidence, gather time.Duration) {
	h.mutex.Lock()
	news := h.ledger.Add(evidence...)
	h.mutex.Unlock()
	h.changed(news, gather)
}

// hear takes in evidence that another node has told to all. What has ended well here of late
// is cleared for all.
func (h *heldBack) hear(evidence []crashes.Evidence) {
	h.mutex.Lock()
	heard := h.ledger.Add(evidence...)
	h.mutex.Unlock()
	h.note(heard)
	for _, one := range heard {
		if !one.Cleared && h.good.holds(h.options.Now(), one.Variant) {
			h.clear(one.Print)
		}
	}
}

// changed has the other nodes told of evidence that is news.
func (h *heldBack) changed(news []crashes.Evidence, gather time.Duration) {
	if len(news) == 0 {
		return
	}
	h.note(news)
	h.mutex.Lock()
	h.pending = append(h.pending, news...)
	begun := h.gathering && gather >= clearGather
	h.gathering = true
	h.mutex.Unlock()
	if !begun {
		time.AfterFunc(gather, h.tell)
	}
}

// note logs which contents are held back now and which no longer.
func (h *heldBack) note(news []crashes.Evidence) {
	if len(news) == 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.suspects.Store(h.ledger.Suspects())
	held := h.ledger.Held()
	for content, evidence := range held {
		if !h.held[content] {
			h.held[content] = true
			h.options.Events.Add(eventlog.HeldBack{Change: "held back", Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route, Ends: len(evidence)}, eventlog.State)
		}
	}
	for content := range h.held {
		if held[content] == nil {
			delete(h.held, content)
			h.options.Events.Add(eventlog.HeldBack{Change: "let go", Digest: content.String()}, eventlog.State)
		}
	}
}

// Count gives how many contents are held back.
func (h *heldBack) Count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.held)
}

// Bounds of what a node remembers of requests that ended well.
const (
	// goodKept is more than the answers of one target within goodFor; about 150 KB.
	goodKept = 4096
	// goodFor is the time after which the users count a node as knowing what happened: a
	// request that turns harmful is not vouched for longer.
	goodFor = 3 * time.Second
)

// recentlyGood remembers requests that the target beside the node answered. Targets that end
// by themselves, or with another request, have popular ones in flight; those are not
// suspected.
type recentlyGood struct {
	mutex sync.Mutex
	at    map[crashes.Variant]time.Duration // when it ended well last
	ring  []crashes.Variant                 // in the order in which they came
	next  int
}

func (r *recentlyGood) add(now time.Duration, variant crashes.Variant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.at == nil {
		r.at = make(map[crashes.Variant]time.Duration, goodKept)
	}
	if _, known := r.at[variant]; !known {
		r.place(variant)
	}
	r.at[variant] = now
}

// place puts a variant into the ring, in the place of the one that came first.
func (r *recentlyGood) place(variant crashes.Variant) {
	if len(r.ring) < goodKept {
		r.ring = append(r.ring, variant)
		return
	}
	delete(r.at, r.ring[r.next])
	r.ring[r.next] = variant
	r.next = (r.next + 1) % goodKept
}

func (r *recentlyGood) holds(now time.Duration, variant crashes.Variant) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, known := r.at[variant]
	return known && now-at < goodFor
}
