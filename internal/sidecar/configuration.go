package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

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
