// Package lapse decides what becomes of a node whose record the store no longer
// has. While the store is away nothing is decided. Once it answers, a node that
// lives and reaches it has its record back within the grace; one whose record is
// still missing then is gone, whoever answers at its address. A node that says
// that the store turns it away alone cannot write its record: it stays as long as
// it says so. It is a state machine without locks, clocks or sockets.
package lapse

import "time"

// Config sets the times.
type Config struct {
	// Grace is how long after the store's return, or after the loss of the record,
	// the record may be missing.
	Grace time.Duration
	// AskEvery is the pause between two questions to a node whose record is missing.
	AskEvery time.Duration
	// Silent is the number of questions without an answer after which it is gone.
	Silent int
}

// DefaultConfig leaves a node whose record is missing two seconds to write it anew, and half
// a second until the others have heard of it.
func DefaultConfig() Config {
	return Config{Grace: 2500 * time.Millisecond, AskEvery: 500 * time.Millisecond, Silent: 3}
}

// Answer is what a node said of itself.
type Answer int

// The answers.
const (
	// NoAnswer means that nobody, or another node, answered at the address.
	NoAnswer Answer = iota + 1
	// Reaches means that the node lives and the store serves it.
	Reaches
	// TurnedAway means that the node lives and the store does not serve it.
	TurnedAway
)

type missing struct {
	since  time.Duration // from here on the record might have come back
	asked  time.Duration
	silent int // questions in a row without an answer
}

// Tracker holds the nodes whose records are missing. It is not safe for
// concurrent use.
type Tracker struct {
	config  Config
	away    bool // the store
	missing map[string]*missing
}

// New makes a tracker of a store that answers.
func New(config Config) *Tracker {
	return &Tracker{config: config, missing: map[string]*missing{}}
}

// Lapsed notes that the store no longer has the record of a node.
func (t *Tracker) Lapsed(now time.Duration, node string) {
	if t.missing[node] == nil {
		t.missing[node] = &missing{since: now, asked: now - t.config.AskEvery}
	}
}

// Back notes that the store has the record of a node.
func (t *Tracker) Back(node string) { delete(t.missing, node) }

// Store notes whether the store answers. With its return every grace begins anew.
func (t *Tracker) Store(now time.Duration, answers bool) {
	if answers && t.away {
		for _, one := range t.missing {
			one.since = now
		}
	}
	t.away = !answers
}

// Answered takes in the answer of a node to a question.
func (t *Tracker) Answered(now time.Duration, node string, answer Answer) {
	one := t.missing[node]
	if one == nil {
		return
	}
	switch answer {
	case NoAnswer:
		one.silent++
	case TurnedAway:
		one.silent, one.since = 0, now
	default:
		one.silent = 0
	}
}

// Due gives the nodes to ask now and those that are gone. The latter are missing no more.
func (t *Tracker) Due(now time.Duration) (ask, gone []string) {
	if t.away {
		return nil, nil
	}
	for node, one := range t.missing {
		switch {
		case one.silent >= t.config.Silent || now-one.since >= t.config.Grace:
			gone = append(gone, node)
			delete(t.missing, node)
		case now-one.asked >= t.config.AskEvery:
			one.asked = now
			ask = append(ask, node)
		}
	}
	return ask, gone
}

// Missing gives the nodes whose records are missing.
func (t *Tracker) Missing() []string {
	nodes := make([]string, 0, len(t.missing))
	for node := range t.missing {
		nodes = append(nodes, node)
	}
	return nodes
}
