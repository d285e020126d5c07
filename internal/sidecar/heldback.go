package sidecar

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// heldBack holds what is known of requests that end the targets that run them: nodes tell
// each other at which requests a target ended, and none sends on what several ended with. It
// is safe for concurrent use.
type heldBack struct {
	node *Node
	good recentlyGood

	// suspects tells that some request is suspected, so that the prints of all others need
	// not be made while none is.
	suspects atomic.Bool

	mutex   sync.Mutex
	ledger  *crashes.Ledger
	pending []crashes.Evidence // to be told to the other nodes
	telling bool               // they are about to be told
	held    map[crashes.Content]bool
	stored  storedEvidence
}

func newHeldBack(node *Node) *heldBack {
	return &heldBack{node: node, ledger: crashes.New(crashes.DefaultConfig()), held: map[crashes.Content]bool{}, good: recentlyGood{seed: maphash.MakeSeed()}}
}

// state tells what is thought of a request.
func (h *heldBack) state(call *wire.SidecarCall, body *payload) crashes.State {
	if !h.suspects.Load() || !h.node.policyOn(settings.HoldBack) {
		return crashes.Free
	}
	print, recently := printOf(call, body), h.good.holds(call, body)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.State(print, recently)
}

// suspected tells that a request is to be at a target alone: a target has ended with it.
func (h *heldBack) suspected(call *wire.SidecarCall, body *payload) bool {
	if call.Suspect && h.node.policyOn(settings.HoldBack) && !h.good.holds(call, body) {
		return true
	}
	return h.state(call, body) == crashes.Suspected
}

// heldAtStart tells whether a request is held back where it begins: only for what it was at
// itself. Which of its variants end well of late is known where the targets are.
func (h *heldBack) heldAtStart(call *wire.SidecarCall, body *payload) bool {
	if !h.suspects.Load() || !h.node.policyOn(settings.HoldBack) {
		return false
	}
	print := printOf(call, body)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.State(print, true) == crashes.Held
}

// endedAt takes in the runs that the target beside the node ended with. One that has ended
// well here of late is left out: it is not what ended the target.
func (h *heldBack) endedAt(gate *gate, runs []unansweredRun) {
	now := time.Now().UnixMilli()
	evidence := make([]crashes.Evidence, 0, len(runs))
	for _, run := range runs {
		if !h.good.take(run.good) {
			evidence = append(evidence, crashes.Evidence{Print: run.print, Instance: gate.instance, Service: gate.service, Route: run.route, At: now})
		}
	}
	h.learn(evidence, crashGather)
}

// endedWell takes in that the target beside the node answered a request.
func (h *heldBack) endedWell(call *wire.SidecarCall, body *payload) {
	h.good.add(call, body)
	if !h.suspects.Load() {
		return
	}
	print := printOf(call, body)
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

// hear takes in evidence that another node has told to all.
func (h *heldBack) hear(evidence []crashes.Evidence) (news int) {
	h.mutex.Lock()
	heard := h.ledger.Add(evidence...)
	h.mutex.Unlock()
	h.note(heard)
	return len(heard)
}

// changed has the other nodes told of evidence that is news.
func (h *heldBack) changed(news []crashes.Evidence, gather time.Duration) {
	if len(news) == 0 {
		return
	}
	h.note(news)
	h.mutex.Lock()
	h.pending = append(h.pending, news...)
	soon := !h.telling
	h.telling = true
	h.mutex.Unlock()
	if soon {
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
			h.node.events.Add(eventlog.HeldBack{Change: "held back", Digest: content.String(), Service: evidence[0].Service, Route: evidence[0].Route, Ends: len(evidence)}, eventlog.State)
		}
	}
	for content := range h.held {
		if held[content] == nil {
			delete(h.held, content)
			h.node.events.Add(eventlog.HeldBack{Change: "let go", Digest: content.String()}, eventlog.State)
		}
	}
}

// count gives how many contents are held back.
func (h *heldBack) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.held)
}

// goodKept is how many answered requests a node remembers: those of some seconds at the
// rates of one target, about 100 KB.
const goodKept = 4096

// recentlyGood remembers requests that the target beside the node answered. Targets that end
// by themselves have popular requests in flight; those are not suspected.
type recentlyGood struct {
	seed  maphash.Seed
	mutex sync.Mutex
	known map[uint64]bool
	ring  []uint64
	next  int
}

func (r *recentlyGood) key(call *wire.SidecarCall, body *payload) uint64 {
	var sum maphash.Hash
	sum.SetSeed(r.seed)
	for _, part := range []string{call.Method, call.Host, call.URI, call.Caller, call.Tenant} {
		_, _ = sum.WriteString(part) // a hash takes all that is written
		_ = sum.WriteByte(0)
	}
	begin, _ := body.begin()
	_, _ = sum.Write(begin)
	return sum.Sum64()
}

func (r *recentlyGood) add(call *wire.SidecarCall, body *payload) {
	key := r.key(call, body)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known == nil {
		r.known = make(map[uint64]bool, goodKept)
	}
	if r.known[key] {
		return
	}
	if len(r.ring) < goodKept {
		r.ring = append(r.ring, key)
	} else {
		delete(r.known, r.ring[r.next])
		r.ring[r.next] = key
		r.next = (r.next + 1) % goodKept
	}
	r.known[key] = true
}

func (r *recentlyGood) holds(call *wire.SidecarCall, body *payload) bool {
	key := r.key(call, body)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.known[key]
}

// take tells whether a request is remembered, and forgets it: when it ends the next target
// too it is suspected.
func (r *recentlyGood) take(key uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.known[key]
	delete(r.known, key)
	return known
}
