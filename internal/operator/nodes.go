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

func (s *shell) registerNodes() {
	s.add(s.application.Command("nodes", "State of every node that the bundle names."), s.nodes)
	s.add(s.application.Command("services", "Services and their targets as the asked node routes to them."), s.services)
	explain := s.application.Command("explain", "Why a request was admitted, refused, retried and sent where it went, at every hop.")
	requestID := explain.Arg("request-id", "Request id, from the X-Request-Id header of the answer.").Required().String()
	s.add(explain, func(ctx context.Context) error { return s.explain(ctx, *requestID) })
	s.add(s.application.Command("drain", "Have the node at --admin refuse new work; what is in flight goes on."), s.drain)
	s.add(s.application.Command("version", "Version of the node at --admin."), s.version)
	top := s.application.Command("top", "Live view: limits, load, refusals by level, bundle version.")
	interval := top.Flag("interval", "Time between two views.").Default("2s").Duration()
	count := top.Flag("count", "End after so many views; 0 goes on.").Default("0").Int()
	s.add(top, func(ctx context.Context) error { return s.top(ctx, *interval, *count) })
}

func (s *shell) nodes(ctx context.Context) error {
	nodes, err := s.client().Nodes(ctx)
	if err != nil {
		return err
	}
	return s.print(nodes, func(table *tabwriter.Writer) { nodeTable(table, nodes, nil) })
}

func nodeTable(table io.Writer, nodes []*admin.NodeStatus, before map[string]*admin.NodeStatus) {
	row(table, "NODE", "SERVICE", "ZONE", "STATE", "BUNDLE", "LIMIT", "ACTIVE", "QUEUED", "ANSWERED", "NOT RUN", "BY LEVEL", "VOTER EPOCH")
	for _, node := range nodes {
		answered, refused, levels := node.Admitted, node.Refused, node.ShedByLevel
		if old := before[node.Node]; old != nil && old.Incarnation == node.Incarnation {
			answered, refused, levels = answered-old.Admitted, refused-old.Refused, difference(levels, old.ShedByLevel)
		}
		row(table, node.Node, dash(node.Service), node.Zone, node.State, node.BundleVersion, node.Limit, node.InFlight, node.Queued, answered, refused, levelText(levels), node.VoterEpoch)
	}
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func difference(now, before map[string]uint64) map[string]uint64 {
	changed := map[string]uint64{}
	for level, count := range now {
		if count > before[level] {
			changed[level] = count - before[level]
		}
	}
	return changed
}

func levelText(levels map[string]uint64) string {
	names := make([]string, 0, len(levels))
	for name := range levels {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", name, levels[name]))
	}
	return dash(strings.Join(parts, " "))
}

func (s *shell) services(ctx context.Context) error {
	services, err := s.client().Services(ctx)
	if err != nil {
		return err
	}
	return s.print(services, func(table *tabwriter.Writer) {
		row(table, "SERVICE", "TARGET", "ZONE", "STATE", "IN FLIGHT", "SUCCESS", "LATENCY MS", "ADMITS UP TO RANK")
		for _, service := range services {
			for _, target := range service.Targets {
				cursor := "all"
				if target.Cursor >= 0 {
					cursor = fmt.Sprint(target.Cursor)
				}
				row(table, service.Service, target.Node, target.Zone, target.State, target.InFlight, fmt.Sprintf("%.3f", target.SuccessRate), fmt.Sprintf("%.1f", target.LatencyMs), cursor)
			}
		}
	})
}

func (s *shell) explain(ctx context.Context, requestID string) error {
	decisions, err := s.client().Explain(ctx, requestID)
	if err != nil {
		return err
	}
	return s.print(decisions, func(table *tabwriter.Writer) {
		for _, decision := range decisions {
			row(table, adminapi.DecisionLine(decision))
		}
	})
}

func (s *shell) drain(ctx context.Context) error {
	status, err := s.client().Drain(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func(table *tabwriter.Writer) { row(table, status.Node, status.State) })
}

func (s *shell) version(ctx context.Context) error {
	version, err := s.client().Version(ctx)
	if err != nil {
		return err
	}
	return s.print(version, func(table *tabwriter.Writer) { row(table, version) })
}

const clearScreen = "\x1b[2J\x1b[H"

// top shows the nodes again and again, counters as differences to the view before.
func (s *shell) top(ctx context.Context, interval time.Duration, count int) error {
	var before map[string]*admin.NodeStatus
	for view := 1; ; view++ {
		nodes, err := s.client().Nodes(ctx)
		if err != nil {
			return err
		}
		err = s.print(nodes, func(table *tabwriter.Writer) {
			fmt.Fprint(table, clearScreen)
			row(table, time.Now().Format(time.TimeOnly), "counters since the last view")
			nodeTable(table, nodes, before)
		})
		if err != nil || view == count {
			return err
		}
		before = map[string]*admin.NodeStatus{}
		for _, node := range nodes {
			before[node.Node] = node
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}
