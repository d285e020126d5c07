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

// identify asks the target at the address who it is.
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
	answer, err := link.Do(ctx, &targetlink.Request{
		ID: id, Method: http.MethodGet, URI: path, Host: n.settings().Target.Address,
		Header: http.Header{n.options.Headers.RequestID: {id}},
	})
	if err != nil {
		return roster.Report{}, false
	}
	defer answer.Body.Close()
	report := roster.Report{Instance: answer.Header.Get(n.options.Headers.Instance), Service: service, Address: n.settings().Target.Address}
	if parts := strings.Split(answer.Header.Get(n.options.Headers.Load), ","); len(parts) == 3 {
		report.Slots, _ = strconv.Atoi(strings.TrimSpace(parts[2]))
	}
	report.Draining = answer.Status != http.StatusOK
	return report, report.Instance != ""
}

// Times of the search for the target at a start.
const (
	searchAfter = 150 * time.Millisecond // a heartbeat may come first
	searchEvery = 500 * time.Millisecond
	searchTries = 4
	// intentPoll is the pause between two looks for a configuration, without which it
	// is not known how to ask.
	intentPoll = 10 * time.Millisecond
)

// findTarget asks who stands at the target's address when the node has come back
// and the target was running all along: the next heartbeat may be seconds away.
func (n *Node) findTarget(ctx context.Context) {
	wait.For(ctx, searchAfter)
	for n.configuration.Load() == nil && ctx.Err() == nil {
		wait.For(ctx, intentPoll)
	}
	for range searchTries {
		if n.target.Current() != nil || ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, target.IdentifyTimeout)
		report, known := n.identify(call)
		cancel()
		if known && !report.Draining && report.Slots > 0 {
			n.target.Found(report)
			return
		}
		wait.For(ctx, searchEvery)
	}
}
