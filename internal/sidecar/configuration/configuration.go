// Package configuration holds the operators' configuration that is in force at a node. It
// owns that one version and lets none go back to an older one; what is refused is logged
// and changes nothing. How a configuration is written is known to the reader that it gets.
// Where it comes from, the store or another node, is told by whoever found it.
package configuration

import (
	"sync/atomic"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
)

// Sources of what a node learns, as the log names them.
const (
	FromStore = "store"
	FromPeer  = "peer"
)

// Reader reads a configuration in the operators' form; an error names what to correct.
type Reader func(data []byte) (*intent.Intent, error)

// InForce is the configuration in force. It is safe for concurrent use.
type InForce struct {
	read    Reader
	events  *eventlog.Log
	current atomic.Pointer[intent.Intent]
}

// New makes the place of a configuration; none is in force yet.
func New(read Reader, events *eventlog.Log) *InForce { return &InForce{read: read, events: events} }

// Load gives the configuration in force; nil: none is known.
func (c *InForce) Load() *intent.Intent { return c.current.Load() }

// Version gives the version in force; 0: none is known.
func (c *InForce) Version() uint64 {
	if current := c.current.Load(); current != nil {
		return current.Version
	}
	return 0
}

// Source gives the configuration in force in the operators' form; nil: none is known.
func (c *InForce) Source() []byte {
	if current := c.current.Load(); current != nil {
		return current.Source
	}
	return nil
}

// Install puts a configuration in force unless a newer one is. It gives its version.
func (c *InForce) Install(data []byte, source string) (uint64, error) {
	read, err := c.read(data)
	if err != nil {
		c.events.Add(eventlog.Configuration{Before: c.Version(), Source: source, Error: err.Error()}, eventlog.State)
		return 0, err
	}
	read.Source = data
	for {
		current := c.current.Load()
		if current != nil && current.Version >= read.Version {
			return read.Version, nil
		}
		if c.current.CompareAndSwap(current, read) {
			before := uint64(0)
			if current != nil {
				before = current.Version
			}
			c.events.Add(eventlog.Configuration{Version: read.Version, Before: before, Routes: len(read.Routes), Tenants: len(read.Tenants), Source: source}, eventlog.State)
			return read.Version, nil
		}
	}
}
