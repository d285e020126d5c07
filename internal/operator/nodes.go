package operator

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/landingmast/landingmast/gen/admin"
	"github.com/landingmast/landingmast/internal/mesh/adminapi"
)

func (c *cli) registerNodes() {
	c.add(c.application.Command("nodes", "Show the state of every node in the bundle."), c.nodes)
	c.add(c.application.Command("services", "Show services and targets in the routing table of the node at --admin."), c.services)
	explain := c.application.Command("explain", "Show the admission, routing and retry decisions about a request at every hop.")
	requestID := explain.Arg("request-id", "Request ID, from the X-Request-Id header of the response.").Required().String()
	c.add(explain, func(ctx context.Context) error { return c.explain(ctx, *requestID) })
	c.add(c.application.Command("drain", "Make the node at --admin refuse new work and finish requests in flight."), c.drain)
	c.add(c.application.Command("version", "Show the version of the node at --admin."), c.version)
	top := c.application.Command("top", "Show a live view of limits, load, refusals by level and bundle versions.")
	interval := top.Flag("interval", "Refresh interval.").Default("2s").Duration()
	count := top.Flag("count", "Number of refreshes; 0 for no limit.").Default("0").Int()
	c.add(top, func(ctx context.Context) error { return c.top(ctx, *interval, *count) })
}

func (c *cli) nodes(ctx context.Context) error {
	nodes, err := c.client().Nodes(ctx)
	if err != nil {
		return err
	}
	return c.print(nodes, func(table *tabwriter.Writer) { writeNodeTable(table, nodes, nil) })
}

// writeNodeTable writes a row per node. Counters are relative to previous for nodes found
// there with the same incarnation.
func writeNodeTable(table io.Writer, nodes []*admin.NodeStatus, previous map[string]*admin.NodeStatus) {
	writeRow(table, "NODE", "SERVICE", "ZONE", "STATE", "BUNDLE", "LIMIT", "ACTIVE", "QUEUED", "ANSWERED", "NOT RUN", "BY LEVEL", "VOTER EPOCH")
	for _, node := range nodes {
		answered, refused, levels := node.Admitted, node.Refused, node.ShedByLevel
		if old := previous[node.Node]; old != nil && old.Incarnation == node.Incarnation {
			answered, refused, levels = answered-old.Admitted, refused-old.Refused, counterDeltas(levels, old.ShedByLevel)
		}
		writeRow(table, node.Node, orDash(node.Service), node.Zone, node.State, node.BundleVersion, node.Limit, node.InFlight, node.Queued, answered, refused, formatLevels(levels), node.VoterEpoch)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// counterDeltas returns the increments of the counters that have increased.
func counterDeltas(current, previous map[string]uint64) map[string]uint64 {
	deltas := map[string]uint64{}
	for level, count := range current {
		if count > previous[level] {
			deltas[level] = count - previous[level]
		}
	}
	return deltas
}

func formatLevels(levels map[string]uint64) string {
	names := make([]string, 0, len(levels))
	for name := range levels {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", name, levels[name]))
	}
	return orDash(strings.Join(parts, " "))
}

func (c *cli) services(ctx context.Context) error {
	services, err := c.client().Services(ctx)
	if err != nil {
		return err
	}
	return c.print(services, func(table *tabwriter.Writer) {
		writeRow(table, "SERVICE", "TARGET", "ZONE", "STATE", "IN FLIGHT", "SUCCESS", "LATENCY MS", "ADMITS UP TO RANK")
		for _, service := range services {
			for _, target := range service.Targets {
				cursor := "all"
				if target.Cursor >= 0 {
					cursor = fmt.Sprint(target.Cursor)
				}
				writeRow(table, service.Service, target.Node, target.Zone, target.State, target.InFlight, fmt.Sprintf("%.3f", target.SuccessRate), fmt.Sprintf("%.1f", target.LatencyMs), cursor)
			}
		}
	})
}

func (c *cli) explain(ctx context.Context, requestID string) error {
	decisions, err := c.client().Explain(ctx, requestID)
	if err != nil {
		return err
	}
	return c.print(decisions, func(table *tabwriter.Writer) {
		for _, decision := range decisions {
			writeRow(table, adminapi.FormatDecision(decision))
		}
	})
}

func (c *cli) drain(ctx context.Context) error {
	status, err := c.client().Drain(ctx)
	if err != nil {
		return err
	}
	return c.print(status, func(table *tabwriter.Writer) { writeRow(table, status.Node, status.State) })
}

func (c *cli) version(ctx context.Context) error {
	version, err := c.client().Version(ctx)
	if err != nil {
		return err
	}
	return c.print(version, func(table *tabwriter.Writer) { writeRow(table, version) })
}

const clearScreen = "\x1b[2J\x1b[H"

// top refreshes the node table until ctx is done, or count times if count is positive.
// Counters are relative to the previous refresh.
func (c *cli) top(ctx context.Context, interval time.Duration, count int) error {
	var previous map[string]*admin.NodeStatus
	for view := 1; ; view++ {
		nodes, err := c.client().Nodes(ctx)
		if err != nil {
			return err
		}
		err = c.print(nodes, func(table *tabwriter.Writer) {
			fmt.Fprint(table, clearScreen)
			writeRow(table, time.Now().Format(time.TimeOnly), "counters since the last refresh")
			writeNodeTable(table, nodes, previous)
		})
		if err != nil || view == count {
			return err
		}
		previous = map[string]*admin.NodeStatus{}
		for _, node := range nodes {
			previous[node.Node] = node
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}
