package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	"github.com/landingmast/landingmast/internal/sidecar/wait"
)

// identify queries the health endpoint of the target for its instance, and reports whether it
// responded with one.
func (n *Node) identify(ctx context.Context) (roster.Report, bool) {
	current := n.configuration.Load()
	if current == nil {
		return roster.Report{}, false
	}
	service := n.settings().Target.Service
	path := current.Services[service].HealthPath
	if path == "" {
		return roster.Report{}, false
	}
	id := "identify-" + strconv.FormatUint(rand.Uint64(), 36)
	link := n.newLink()
	defer link.Close()
	response, err := link.Do(ctx, &targetlink.Request{
		ID: id, Method: http.MethodGet, URI: path, Host: n.settings().Target.Address,
		Header: http.Header{n.options.Headers.RequestID: {id}},
	})
	if err != nil {
		return roster.Report{}, false
	}
	defer response.Body.Close()
	report := roster.Report{Instance: response.Header.Get(n.options.Headers.Instance), Service: service, Address: n.settings().Target.Address}
	report.Slots = statedSlots(response.Header.Get(n.options.Headers.Load))
	state, _ := n.states.Read(report.Instance, service, response.Status, response.Header)
	report.Draining = response.Status != http.StatusOK || state.Leaving
	return report, report.Instance != ""
}

// statedSlots returns the slots in a list of figures that a target states, in which they are the third,
// or 0. Targets that state their pace have a fourth figure.
func statedSlots(list string) int {
	parts := strings.Split(list, ",")
	if len(parts) < 3 {
		return 0
	}
	count, _ := strconv.Atoi(strings.TrimSpace(parts[2]))
	return count
}

// Timing of target discovery at startup.
const (
	discoveryDelay    = 150 * time.Millisecond // leaves time for a heartbeat
	discoveryInterval = 500 * time.Millisecond
	discoveryAttempts = 4
	// configurationPollInterval is the interval at which discovery checks for a configuration,
	// which defines the health endpoint.
	configurationPollInterval = 10 * time.Millisecond
)

// discoverTarget identifies a target that kept running while the node restarted, as its next
// heartbeat may be seconds away. A target that has announced that it leaves may still respond, so
// that a response is used only if the departures are known.
func (n *Node) discoverTarget(ctx context.Context) {
	wait.Sleep(ctx, discoveryDelay)
	if n.departures.AwaitLoad(); !n.departures.Complete() {
		return
	}
	for n.configuration.Load() == nil && ctx.Err() == nil {
		wait.Sleep(ctx, configurationPollInterval)
	}
	for range discoveryAttempts {
		if n.target.Current() != nil || ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, target.IdentifyTimeout)
		report, known := n.identify(call)
		cancel()
		if known && !report.Draining && report.Slots > 0 {
			n.target.SetIdentified(report)
			return
		}
		wait.Sleep(ctx, discoveryInterval)
	}
}
