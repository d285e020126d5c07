// Package adminapi is a client of the nodes' admin API, based on the client that goa
// generates from design/admin.go.
package adminapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/gen/admin"
	httpclient "github.com/landingmast/landingmast/gen/http/admin/client"
	"github.com/landingmast/landingmast/internal/failure"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	goahttp "goa.design/goa/v3/http"
)

// Client accesses the admin API of one node.
type Client struct {
	address string
	client  *admin.Client
}

// New returns a client of the node with the given admin address, IP:port.
func New(address string) *Client {
	raw := httpclient.NewClient("http", address, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{address: address, client: admin.NewClient(raw.Status(), raw.Nodes(), raw.Services(), raw.Explain(), raw.Drain(), raw.Bundle(), raw.Version())}
}

// classifyError converts an error of the generated client to a failure with a kind.
func (c *Client) classifyError(err error) error {
	if err == nil {
		return nil
	}
	var problem *admin.Problem
	if errors.As(err, &problem) {
		kind := failure.BadInput
		if problem.Name == "not_found" {
			kind = failure.NotFound
		}
		return failure.New(kind, problem.Remedy, "%s", problem.Message)
	}
	return failure.Wrap(err, failure.Unavailable, "set --admin to the admin address of a running node", "no response from the node at %s", c.address)
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (*admin.NodeStatus, error) {
	status, err := c.client.Status(ctx)
	return status, c.classifyError(err)
}

// Nodes returns the state of every node in the bundle.
func (c *Client) Nodes(ctx context.Context) ([]*admin.NodeStatus, error) {
	nodes, err := c.client.Nodes(ctx)
	return nodes, c.classifyError(err)
}

// Services returns the services and targets in the node's routing table.
func (c *Client) Services(ctx context.Context) ([]*admin.ServiceStatus, error) {
	services, err := c.client.Services(ctx)
	return services, c.classifyError(err)
}

// Explain returns the decisions about a request at every hop, oldest first.
func (c *Client) Explain(ctx context.Context, requestID string) ([]*admin.Decision, error) {
	decisions, err := c.client.Explain(ctx, &admin.ExplainPayload{RequestID: requestID})
	return decisions, c.classifyError(err)
}

// Drain makes the node refuse new work.
func (c *Client) Drain(ctx context.Context) (*admin.NodeStatus, error) {
	status, err := c.client.Drain(ctx)
	return status, c.classifyError(err)
}

// Version returns the version of the node's program.
func (c *Client) Version(ctx context.Context) (string, error) {
	version, err := c.client.Version(ctx)
	return version, c.classifyError(err)
}

// FormatDecision formats a decision as a single line.
func FormatDecision(decision *admin.Decision) string {
	names := make([]string, 0, len(decision.Numbers))
	for name := range decision.Numbers {
		names = append(names, name)
	}
	sort.Strings(names)
	var values strings.Builder
	for _, name := range names {
		fmt.Fprintf(&values, " %s=%.4g", name, decision.Numbers[name])
	}
	timestamp := decision.At
	if start := strings.IndexByte(timestamp, 'T'); start >= 0 {
		timestamp = strings.TrimSuffix(timestamp[start+1:], "Z")
	}
	line := fmt.Sprintf("%s depth %d %-16s %-8s %-18s %s", timestamp, decision.Depth, decision.Node, decision.Action, decision.Reason, decision.Service)
	if decision.Peer != "" && decision.Peer != decision.Node {
		line += " -> " + decision.Peer
	}
	return line + values.String()
}

// Sample is the value of one time series.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// ParseMetrics returns the counters and gauges of a Prometheus text exposition. It returns
// nil if the text is malformed.
func ParseMetrics(source io.Reader) []Sample {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(source)
	if err != nil {
		return nil
	}
	var samples []Sample
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			sample := Sample{Name: name, Labels: metricLabels(metric)}
			switch {
			case metric.Counter != nil:
				sample.Value = metric.Counter.GetValue()
			case metric.Gauge != nil:
				sample.Value = metric.Gauge.GetValue()
			default:
				continue
			}
			samples = append(samples, sample)
		}
	}
	return samples
}

func metricLabels(metric *dto.Metric) map[string]string {
	labels := map[string]string{}
	for _, pair := range metric.GetLabel() {
		labels[pair.GetName()] = pair.GetValue()
	}
	return labels
}
