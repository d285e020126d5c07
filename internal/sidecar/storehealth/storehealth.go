// Package storehealth follows whether the platform's store answers a node. It owns the
// time of the last answer and of the first failure since; every part that calls the store
// notes the end of its calls here, so that an outage is one line in the log however many
// parts run into it. It is safe for concurrent use.
package storehealth

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/prometheus/client_golang/prometheus"
)

// CallTimeout bounds one call of the store, but for watches and for calls that are to end
// sooner.
const CallTimeout = time.Second

// Health is whether the store answers.
type Health struct {
	events *eventlog.Log
	calls  *prometheus.CounterVec // call, result

	mutex  sync.Mutex
	worked time.Time
	lost   time.Time // zero: it answers
}

// New makes the health of a store that has not been called yet.
func New(events *eventlog.Log, calls *prometheus.CounterVec) *Health {
	return &Health{events: events, calls: calls}
}

// Age is the time since the store last answered; 0: it never has.
func (h *Health) Age() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.worked.IsZero() {
		return 0
	}
	return time.Since(h.worked)
}

// Away tells that the last call failed.
func (h *Health) Away() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.lost.IsZero()
}

// Note takes in the end of a call of the store; the first failure of a row,
// and the first success after it, are logged.
func (h *Health) Note(call string, err error) {
	h.calls.WithLabelValues(call, resultOf(err)).Inc()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrLeaseGone) {
		h.worked = now
		if !h.lost.IsZero() {
			h.events.Add(eventlog.Store{Change: "regained", Call: call, AwayMS: eventlog.Milliseconds(now.Sub(h.lost))}, eventlog.State)
			h.lost = time.Time{}
		}
		return
	}
	if !h.lost.IsZero() {
		return
	}
	h.lost = now
	change := "lost"
	if errors.Is(err, store.ErrLimited) {
		change = "limited"
	}
	h.events.Add(eventlog.Store{Change: change, Call: call, Error: err.Error()}, eventlog.State)
}

// resultOf gives the word for the end of a call of the store.
func resultOf(err error) string {
	for _, one := range []struct {
		is   error
		word string
	}{
		{store.ErrCompacted, "compacted"},
		{store.ErrLeaseGone, "lease_gone"},
		{store.ErrLimited, "limited"},
		{store.ErrUnavailable, "unavailable"},
		{store.ErrConflict, "conflict"},
		{store.ErrRefused, "refused"},
	} {
		if errors.Is(err, one.is) {
			return one.word
		}
	}
	if err != nil {
		return "no_answer"
	}
	return "ok"
}

// probeTimeout bounds a probe; after it the store is taken for away.
const probeTimeout = 400 * time.Millisecond

// Probe reports whether the store answers.
func (h *Health) Probe(ctx context.Context, s store.Store) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := s.Probe(ctx)
	h.Note("probe", err)
	return err == nil
}
