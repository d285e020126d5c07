package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Sources of what a node learns.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// restOfConfiguration bounds the calls while configurations come in quick succession.
const restOfConfiguration = 100 * time.Millisecond

// followConfiguration follows the operators' configuration and tells all nodes of a
// new one.
func (f *follower) followConfiguration(ctx context.Context) {
	n := f.node
	f.follow(ctx, n.options.ConfigurationKey, restOfConfiguration, func(items []store.Item, _ bool, _ int64) {
		before := n.version()
		for _, item := range items {
			if item.Key == n.options.ConfigurationKey && !item.Gone {
				_, _ = n.installStored(&item) // an error is logged where it occurs
			}
		}
		if n.version() > before {
			n.news.tellAll(&wire.News{})
		}
	})
}

// Times of a node that knows no configuration.
const (
	configurationFirst     = 200 * time.Millisecond // other nodes may tell it
	configurationAgain     = 1500 * time.Millisecond
	configurationSpread    = time.Second
	configurationBootstrap = 4 * time.Second // at the first start of all
)

// findConfiguration reads the configuration when no other node has told it.
func (n *Node) findConfiguration(ctx context.Context) {
	rest := configurationFirst
	if n.settings().FirstStart {
		rest = configurationBootstrap
	}
	for wait.For(ctx, rest); ctx.Err() == nil && n.version() == 0; {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		found := n.freshness.read(call, n.now())
		cancel()
		if found {
			return
		}
		wait.For(ctx, configurationAgain+time.Duration(rand.Int64N(int64(configurationSpread))))
	}
}

// installStored puts a configuration of the store in force unless a newer one is. It gives
// its version.
func (n *Node) installStored(item *store.Item) (uint64, error) {
	version, err := n.install(item.Value, sourceStore)
	if err == nil {
		n.freshness.stored(version, item.Revision)
	}
	return version, err
}

// install puts a configuration in force unless a newer one is. It gives its version.
func (n *Node) install(data []byte, source string) (uint64, error) {
	read, err := n.options.ReadIntent(data)
	if err != nil {
		n.events.Add(eventlog.Configuration{Before: n.version(), Source: source, Error: err.Error()}, eventlog.State)
		return 0, err
	}
	read.Source = data
	for {
		current := n.intent.Load()
		if current != nil && current.Version >= read.Version {
			return read.Version, nil
		}
		if n.intent.CompareAndSwap(current, read) {
			before := uint64(0)
			if current != nil {
				before = current.Version
			}
			n.events.Add(eventlog.Configuration{Version: read.Version, Before: before, Routes: len(read.Routes), Tenants: len(read.Tenants), Source: source}, eventlog.State)
			return read.Version, nil
		}
	}
}
