// Package configuration holds the active configuration of a node. Versions only increase: an
// older configuration never replaces a newer one. A configuration that cannot be parsed is logged
// and discarded.
package configuration

import (
	"sync/atomic"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
)

// Values of the source field in log entries.
const (
	SourceStore = "store"
	SourcePeer  = "peer"
)

// ParseFunc parses a configuration from the format that operators write. Its error names what to
// correct.
type ParseFunc func(data []byte) (*intent.Intent, error)

// Active holds the active configuration. It is safe for concurrent use.
type Active struct {
	parse   ParseFunc
	events  *eventlog.Log
	current atomic.Pointer[intent.Intent]
}

// New returns an Active without a configuration. Install parses with parse and logs to events.
func New(parse ParseFunc, events *eventlog.Log) *Active {
	return &Active{parse: parse, events: events}
}

// Load returns the active configuration, or nil if there is none.
func (a *Active) Load() *intent.Intent { return a.current.Load() }

// Version returns the version of the active configuration, or 0 if there is none.
func (a *Active) Version() uint64 {
	if current := a.current.Load(); current != nil {
		return current.Version
	}
	return 0
}

// Source returns the active configuration as received, or nil if there is none.
func (a *Active) Source() []byte {
	if current := a.current.Load(); current != nil {
		return current.Source
	}
	return nil
}

// Install parses data and activates it unless the active version is the same or newer. It returns
// the parsed version either way. source is SourceStore or SourcePeer.
func (a *Active) Install(data []byte, source string) (uint64, error) {
	parsed, err := a.parse(data)
	if err != nil {
		a.events.Add(eventlog.Configuration{Previous: a.Version(), Source: source, Error: err.Error()}, eventlog.State)
		return 0, err
	}
	parsed.Source = data
	for {
		current := a.current.Load()
		if current != nil && current.Version >= parsed.Version {
			return parsed.Version, nil
		}
		if a.current.CompareAndSwap(current, parsed) {
			before := uint64(0)
			if current != nil {
				before = current.Version
			}
			a.events.Add(eventlog.Configuration{Version: parsed.Version, Previous: before, Routes: len(parsed.Routes), Tenants: len(parsed.Tenants), Source: source}, eventlog.State)
			return parsed.Version, nil
		}
	}
}
