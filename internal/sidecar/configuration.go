package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// restOfConfiguration bounds the calls while configurations come in quick succession.
const restOfConfiguration = 100 * time.Millisecond

// followConfiguration follows the operators' configuration and tells all nodes of a
// new one.
func (f *follower) followConfiguration(ctx context.Context) {
	n := f.node
	f.follow(ctx, n.options.ConfigurationKey, restOfConfiguration, func(items []store.Item, _ bool, _ int64) {
		before := n.configuration.Version()
		for _, item := range items {
			if item.Key == n.options.ConfigurationKey && !item.Gone {
				_, _ = n.freshness.InstallStored(&item) // an error is logged where it occurs
			}
		}
		if n.configuration.Version() > before {
			n.news.SendAll(&wire.News{})
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
	for wait.For(ctx, rest); ctx.Err() == nil && n.configuration.Version() == 0; {
		call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
		found := n.freshness.ReadStored(call, n.now())
		cancel()
		if found {
			return
		}
		wait.For(ctx, configurationAgain+time.Duration(rand.Int64N(int64(configurationSpread))))
	}
}
