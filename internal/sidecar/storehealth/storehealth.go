// Package storehealth tracks the availability of the platform's store. All parts of a node that
// call the store report their results here, so that an outage is logged once. All types are safe
// for concurrent use.
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

// CallTimeout is the default timeout of store calls other than watches.
const CallTimeout = time.Second

// Health tracks whether the store answers.
type Health struct {
	events *eventlog.Log
	calls  *prometheus.CounterVec // labels: call, result

	mutex       sync.Mutex
	lastSuccess time.Time
	failedSince time.Time // first failure since lastSuccess; zero if none
}

// New returns a Health without reported calls.
func New(events *eventlog.Log, calls *prometheus.CounterVec) *Health {
	return &Health{events: events, calls: calls}
}

// Age returns the time since the last successful call, or 0 if there was none.
func (h *Health) Age() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.lastSuccess.IsZero() {
		return 0
	}
	return time.Since(h.lastSuccess)
}

// Unavailable reports whether the last call failed.
func (h *Health) Unavailable() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.failedSince.IsZero()
}

// Record records the result of a store call. It logs the first failure in a row and the first
// success after failures.
func (h *Health) Record(call string, err error) {
	h.calls.WithLabelValues(call, resultLabel(err)).Inc()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrLeaseExpired) {
		h.lastSuccess = now
		if !h.failedSince.IsZero() {
			h.events.Add(eventlog.Store{Change: "regained", Call: call, OutageMS: eventlog.Milliseconds(now.Sub(h.failedSince))}, eventlog.State)
			h.failedSince = time.Time{}
		}
		return
	}
	if !h.failedSince.IsZero() {
		return
	}
	h.failedSince = now
	change := "lost"
	if errors.Is(err, store.ErrRateLimited) {
		change = "limited"
	}
	h.events.Add(eventlog.Store{Change: change, Call: call, Error: err.Error()}, eventlog.State)
}

// resultLabel returns the value of the result label for a store call.
func resultLabel(err error) string {
	for _, r := range []struct {
		err   error
		label string
	}{
		{store.ErrCompacted, "compacted"},
		{store.ErrLeaseExpired, "lease_gone"},
		{store.ErrRateLimited, "limited"},
		{store.ErrUnavailable, "unavailable"},
		{store.ErrConflict, "conflict"},
		{store.ErrInvalidCall, "refused"},
	} {
		if errors.Is(err, r.err) {
			return r.label
		}
	}
	if err != nil {
		return "no_answer"
	}
	return "ok"
}

// probeTimeout is the time after which a probe counts as failed.
const probeTimeout = 400 * time.Millisecond

// Probe pings the store, records the result, and reports whether the store answered.
func (h *Health) Probe(ctx context.Context, s store.Store) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := s.Probe(ctx)
	h.Record("probe", err)
	return err == nil
}
