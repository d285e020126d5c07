// Package targetstate reads what targets state about themselves in the headers of their responses,
// for the node next to the target and for the nodes where requests begin. Statements that cannot
// be read are counted, logged and ignored. The decisions are in core/ratelimit, core/slots and
// core/balancer. A Reader is safe for concurrent use.
package targetstate

import (
	"net/http"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
)

// Events receives the log lines.
type Events interface {
	Add(event eventlog.Event, class eventlog.Class)
}

// Counter counts statements that cannot be read.
type Counter interface{ Inc() }

// Options holds the dependencies of a Reader.
type Options struct {
	Now     func() time.Duration
	Enabled func() bool // whether statements are followed
	// PaceEnabled reports whether the pace that targets state is used.
	PaceEnabled func() bool
	Headers     headers.Names
	Events      Events
	Invalid     Counter
}

// Reader reads the state of targets from the headers of their responses.
type Reader struct {
	options Options

	mu       sync.Mutex
	loggedAt map[string]time.Duration // last line about an invalid statement, by instance
}

// New returns a Reader.
func New(options Options) *Reader {
	return &Reader{options: options, loggedAt: map[string]time.Duration{}}
}

// Enabled reports whether the node follows what targets state.
func (r *Reader) Enabled() bool { return r.options.Enabled() }

// Read returns what an instance states in the header of a response. rateValid is false if the
// response says nothing about the instance's rate: it was written by another instance, the rate cannot
// be read, or statements are not followed.
func (r *Reader) Read(instance, service string, status int, header http.Header) (state outcome.TargetState, rateValid bool) {
	if status == http.StatusMisdirectedRequest || !r.options.Enabled() {
		return outcome.TargetState{}, false
	}
	state, err := r.options.Headers.TargetState(header)
	state.Instance = instance
	if err == nil {
		return state, true
	}
	r.options.Invalid.Inc()
	if r.mayLog(instance) {
		r.options.Events.Add(eventlog.Target{Instance: instance, Service: service, Change: "state invalid", Error: err.Error()}, eventlog.State)
	}
	return state, false
}

// Pace returns the factor of package pace that a target states in the header of a response, or false
// if it states none that can be used.
func (r *Reader) Pace(status int, header http.Header) (factor float64, valid bool) {
	if status == http.StatusMisdirectedRequest || !r.options.PaceEnabled() {
		return pace.Usual, false
	}
	return pace.Parse(header.Get(r.options.Headers.Load))
}

const (
	// logInterval is the time between two lines about invalid statements of one instance.
	logInterval = time.Minute
	// maxLogged limits the instances whose last line is remembered.
	maxLogged = 256
)

// mayLog reports whether a line about an invalid statement of an instance may be written now.
func (r *Reader) mayLog(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	if at, logged := r.loggedAt[instance]; logged && now-at < logInterval {
		return false
	}
	if len(r.loggedAt) >= maxLogged {
		clear(r.loggedAt)
	}
	r.loggedAt[instance] = now
	return true
}
