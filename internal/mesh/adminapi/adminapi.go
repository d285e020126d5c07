// Package adminapi is the client of the nodes' admin API, over the client that
// goa made from design/admin.go.
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

// Client talks to the admin address of one node.
type Client struct {
	address string
	client  *admin.Client
}

// New makes a client of the node at IP:port.
func New(address string) *Client {
	raw := httpclient.NewClient("http", address, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{address: address, client: admin.NewClient(raw.Status(), raw.Nodes(), raw.Services(), raw.Explain(), raw.Drain(), raw.Bundle(), raw.Version())}
}

// explainError gives an error its kind.
func (c *Client) typed(err error) error {
	if err == nil {
		return nil
	}
	var problem *admin.Problem
	if errors.As(err, &problem) {
		kind := failure.BadInput
		if problem.Name == "not_found" {
			kind = failure.Missing
		}
		return failure.New(kind, problem.Remedy, "%s", problem.Message)
	}
	return failure.Wrap(err, failure.Unavailable, "name the admin address of a running node with --admin", "node at %s does not answer", c.address)
}

// Status gives the state of the node.
func (c *Client) Status(ctx context.Context) (*admin.NodeStatus, error) {
	status, err := c.client.Status(ctx)
	return status, c.typed(err)
}

// Nodes gives the state of every node that the bundle names.
func (c *Client) Nodes(ctx context.Context) ([]*admin.NodeStatus, error) {
	nodes, err := c.client.Nodes(ctx)
	return nodes, c.typed(err)
}

// Services gives services and targets as the node's routing sees them.
func (c *Client) Services(ctx context.Context) ([]*admin.ServiceStatus, error) {
	services, err := c.client.Services(ctx)
	return services, c.typed(err)
}

// Explain gives the decisions about a request at every hop, oldest first.
func (c *Client) Explain(ctx context.Context, requestID string) ([]*admin.Decision, error) {
	decisions, err := c.client.Explain(ctx, &admin.ExplainPayload{RequestID: requestID})
	return decisions, c.typed(err)
}

// Drain has the node refuse new work.
func (c *Client) Drain(ctx context.Context) (*admin.NodeStatus, error) {
	status, err := c.client.Drain(ctx)
	return status, c.typed(err)
}

// Version gives the version of the node's program.
func (c *Client) Version(ctx context.Context) (string, error) {
	version, err := c.client.Version(ctx)
	return version, c.typed(err)
}

// DecisionLine writes a decision on one line.
func DecisionLine(decision *admin.Decision) string {
	names := make([]string, 0, len(decision.Numbers))
	for name := range decision.Numbers {
		names = append(names, name)
	}
	sort.Strings(names)
	var numbers strings.Builder
	for _, name := range names {
		fmt.Fprintf(&numbers, " %s=%.4g", name, decision.Numbers[name])
	}
	at := decision.At
	if start := strings.IndexByte(at, 'T'); start >= 0 {
		at = strings.TrimSuffix(at[start+1:], "Z")
	}
	line := fmt.Sprintf("%s depth %d %-16s %-8s %-18s %s", at, decision.Depth, decision.Node, decision.Action, decision.Reason, decision.Service)
	if decision.Peer != "" && decision.Peer != decision.Node {
		line += " -> " + decision.Peer
	}
	return line + numbers.String()
}

// Sample is one value of a node's metrics.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// ParseMetrics reads counters and gauges out of the Prometheus text format.
func ParseMetrics(source io.Reader) []Sample {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(source)
	if err != nil {
		return nil
	}
	var samples []Sample
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			sample := Sample{Name: name, Labels: labels(metric)}
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

func labels(metric *dto.Metric) map[string]string {
	found := map[string]string{}
	for _, pair := range metric.GetLabel() {
		found[pair.GetName()] = pair.GetValue()
	}
	return found
}
