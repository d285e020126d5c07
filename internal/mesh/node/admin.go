package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/gen/admin"
	adminserver "github.com/landingmast/landingmast/gen/http/admin/server"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	goahttp "goa.design/goa/v3/http"
)

// adminService implements the admin API that design/admin.go describes.
type adminService struct{ node *Node }

var _ admin.Service = (*adminService)(nil)

// adminHandler serves the admin API, /metrics, /healthz (the process is running), /readyz (it has
// a bundle and accepts calls) and profiles under /debug/pprof.
func (n *Node) adminHandler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := admin.NewEndpoints(&adminService{n})
	server := adminserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	adminserver.Mount(mux, server)
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{}).ServeHTTP)
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.Handle(http.MethodGet, "/readyz", n.serveReady)
	mux.Handle(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	mux.Handle(http.MethodGet, "/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	ready := n.installed != nil && n.bootstrapped && n.drainReason == ""
	n.mu.Unlock()
	if !ready {
		http.Error(w, "not ready: no bundle, or draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Status implements admin.Service.
func (s *adminService) Status(context.Context) (*admin.NodeStatus, error) {
	return s.node.status(), nil
}

func (n *Node) status() *admin.NodeStatus {
	limit, active, queued, _ := n.dataPlane.GateState()
	status := &admin.NodeStatus{
		Node: n.settings.Node, Zone: n.settings.Zone, Address: n.settings.Listen.Peers, State: "active", Incarnation: n.incarnation,
		InFlight: active, Queued: queued, Limit: limit, ShedByLevel: map[string]uint64{}, ProgramVersion: Version,
	}
	n.mu.Lock()
	if n.installed != nil {
		status.BundleVersion = n.installed.Bundle.Version
		status.BundleDigest = shortDigest(n.installed.Release.Digest)
		_, status.Service = n.installed.Bundle.Node(n.settings.Node)
	}
	if n.drainReason != "" {
		status.State = "draining"
	}
	n.mu.Unlock()
	if n.claims != nil {
		status.VoterEpoch = n.claims.VoterEpoch()
	}
	n.fillCounters(status)
	return status
}

func shortDigest(digest []byte) string {
	const hexDigits = "0123456789abcdef"
	var text strings.Builder
	for _, b := range digest[:min(len(digest), 6)] {
		text.WriteByte(hexDigits[b>>4])
		text.WriteByte(hexDigits[b&15])
	}
	return text.String()
}

// fillCounters sets the counters of the status from the metrics.
func (n *Node) fillCounters(status *admin.NodeStatus) {
	families, err := n.metrics.Registry.Gather()
	if err != nil {
		return
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			value := uint64(metric.GetCounter().GetValue())
			switch family.GetName() {
			case "landingmast_calls_total":
				if labelValue(metric, "outcome") == "answered" {
					status.Admitted += value
				}
			case "landingmast_shed_total":
				status.Refused += value
				status.ShedByLevel[labelValue(metric, "level")] += value
			case "landingmast_bundles_rejected_total":
				status.BundlesRejected += value
			}
		}
	}
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

const peerQueryTimeout = 2 * time.Second

// Nodes implements admin.Service.
func (s *adminService) Nodes(ctx context.Context) ([]*admin.NodeStatus, error) {
	installed := s.node.currentBundle()
	if installed == nil {
		return []*admin.NodeStatus{s.node.status()}, nil
	}
	nodes := installed.Bundle.Nodes()
	statuses := make([]*admin.NodeStatus, len(nodes))
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var group sync.WaitGroup
	for index, node := range nodes {
		group.Go(func() { statuses[index] = s.nodeStatus(ctx, installed.Bundle, node) })
	}
	group.Wait()
	return statuses, nil
}

func (s *adminService) nodeStatus(ctx context.Context, installed *bundle.Bundle, node bundle.Node) *admin.NodeStatus {
	if node.Name == s.node.settings.Node {
		return s.node.status()
	}
	_, service := installed.Node(node.Name)
	status := &admin.NodeStatus{Node: node.Name, Service: service, Zone: node.Zone, Address: node.Address, State: "unreachable", ShedByLevel: map[string]uint64{}}
	body, err := s.node.controlClient.Status(ctx, node.Address)
	if err != nil {
		return status
	}
	remote := &admin.NodeStatus{}
	if json.Unmarshal(body, remote) != nil {
		return status
	}
	return remote
}

// Services implements admin.Service.
func (s *adminService) Services(context.Context) ([]*admin.ServiceStatus, error) {
	var services []*admin.ServiceStatus
	for name, states := range s.node.dataPlane.Routes() {
		service := &admin.ServiceStatus{Service: name, Targets: []*admin.EndpointStatus{}}
		for _, state := range states {
			cursor := -1
			if state.Known {
				cursor = int(state.Cursor)
			}
			service.Targets = append(service.Targets, &admin.EndpointStatus{
				Node: state.Target.Node, Zone: state.Target.Zone, State: state.State, InFlight: state.InFlight,
				SuccessRate: state.Success, LatencyMs: float64(state.Latency) / float64(time.Millisecond), Cursor: cursor,
			})
		}
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Service < services[j].Service })
	return services, nil
}

// Explain implements admin.Service. It collects the records of all nodes along the call chain: the
// request id contains the name of the entry, and each record names the next peer.
func (s *adminService) Explain(ctx context.Context, payload *admin.ExplainPayload) ([]*admin.Decision, error) {
	decisions := s.node.localDecisions(payload.RequestID)
	if !payload.Local {
		decisions = s.followCallChain(ctx, payload.RequestID, decisions)
	}
	if len(decisions) == 0 {
		return nil, notFound("no record of request "+payload.RequestID, "nodes keep only the records of recent requests; use the metrics for older ones")
	}
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].At < decisions[j].At })
	return decisions, nil
}

func (s *adminService) followCallChain(ctx context.Context, requestID string, decisions []*admin.Decision) []*admin.Decision {
	installed := s.node.currentBundle()
	if installed == nil {
		return decisions
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	queried := map[string]bool{s.node.settings.Node: true}
	var pending []string
	if dash := strings.LastIndexByte(requestID, '-'); dash > 0 {
		pending = append(pending, requestID[:dash])
	}
	for _, decision := range decisions {
		pending = append(pending, decision.Peer)
	}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		node, _ := installed.Bundle.Node(name)
		if node == nil || queried[name] {
			continue
		}
		queried[name] = true
		body, err := s.node.controlClient.Explain(ctx, node.Address, requestID)
		if err != nil {
			continue
		}
		var remote []*admin.Decision
		if json.Unmarshal(body, &remote) != nil {
			continue
		}
		for _, decision := range remote {
			pending = append(pending, decision.Peer)
		}
		decisions = append(decisions, remote...)
	}
	return decisions
}

const decisionTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

func (n *Node) localDecisions(requestID string) []*admin.Decision {
	records := n.recorder.Get(requestID)
	decisions := make([]*admin.Decision, 0, len(records))
	for _, record := range records {
		numbers := map[string]float64{}
		for _, number := range record.Numbers {
			numbers[number.Name] = number.Value
		}
		decisions = append(decisions, &admin.Decision{
			RequestID: requestID, CallID: record.CallID, Node: n.settings.Node, Depth: record.Depth, At: record.At.UTC().Format(decisionTimeFormat),
			Action: string(record.Action), Reason: record.Reason, Service: record.Service, Class: record.Class, Level: record.Level,
			Peer: record.Peer, Numbers: numbers,
		})
	}
	return decisions
}

func notFound(message, remedy string) error {
	return &admin.Problem{Name: "not_found", Message: message, Remedy: remedy}
}

// Drain implements admin.Service.
func (s *adminService) Drain(context.Context) (*admin.NodeStatus, error) {
	s.node.drain("requested by an operator")
	return s.node.status(), nil
}

// Bundle implements admin.Service.
func (s *adminService) Bundle(context.Context) (*admin.BundleResult, error) {
	installed := s.node.currentBundle()
	if installed == nil {
		return nil, notFound("no bundle is in force on this node", "roll a bundle")
	}
	data, err := json.Marshal(installed.Release)
	if err != nil {
		return nil, err
	}
	return &admin.BundleResult{
		Version: installed.Bundle.Version, Digest: shortDigest(installed.Release.Digest), Signer: installed.Release.Signer, Release: data,
	}, nil
}

// Version implements admin.Service.
func (s *adminService) Version(context.Context) (string, error) { return Version, nil }
