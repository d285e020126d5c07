package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// Timing of the initial configuration fetch.
const (
	configurationFetchDelay     = 200 * time.Millisecond // leaves time for another node to provide it
	configurationRetryInterval  = 1500 * time.Millisecond
	configurationRetryJitter    = time.Second
	configurationBootstrapDelay = 4 * time.Second // at the initial start of the deployment
)

// fetchConfiguration reads the configuration from the store unless another node provides it first.
func (n *Node) fetchConfiguration(ctx context.Context) {
	delay := configurationFetchDelay
	if n.settings().FirstStart {
		delay = configurationBootstrapDelay
	}
	for wait.Sleep(ctx, delay); ctx.Err() == nil && n.configuration.Version() == 0; {
		call, cancel := context.WithTimeout(ctx, storehealth.CallTimeout)
		found := n.freshness.ReadStored(call, n.now())
		cancel()
		if found {
			return
		}
		wait.Sleep(ctx, configurationRetryInterval+time.Duration(rand.Int64N(int64(configurationRetryJitter))))
	}
}

// knowsService reports whether a target here may belong to a service: the configuration in force names it,
// or the settings do. Without a configuration any is possible.
func (n *Node) knowsService(service string) bool {
	current := n.configuration.Load()
	if current == nil || service == n.settings().Target.Service {
		return true
	}
	_, named := current.Services[service]
	return named
}
