// Package metrics defines the Prometheus metrics of a sidecar node. Label values are
// constants or names from the configuration, which bounds their cardinality.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the metrics of one node.
type Metrics struct {
	registry *prometheus.Registry
	// Requests counts requests that entered at this node, by service, outcome and reason.
	Requests *prometheus.CounterVec
	// RequestDuration is the time from a request's arrival to its response in seconds, by service.
	RequestDuration *prometheus.HistogramVec
	// Shed counts requests refused by admission control, by route and by the service that was overloaded.
	Shed *prometheus.CounterVec
	// ShedOverShare counts those that would have been admitted if their tenant were within its fair share, by route.
	ShedOverShare *prometheus.CounterVec
	// StartWait is the wait at the start of a chain while a price decides, in seconds; requests that are
	// decided on arrival are not counted.
	StartWait prometheus.Histogram
	// Returning counts requests that return after a refusal while a service that they need has a price,
	// by route and outcome.
	Returning *prometheus.CounterVec
	// Attempts counts attempts by service, outcome and reason.
	Attempts *prometheus.CounterVec
	// Retries counts retries by service; RetriesDenied counts retries rejected by the retry budget.
	Retries, RetriesDenied *prometheus.CounterVec
	// SlotWait is the wait for a slot of the target, TargetDuration the time at the target, in seconds.
	SlotWait, TargetDuration prometheus.Histogram
	// ConnectionWait is the wait of an admitted request for a connection to the target, in seconds.
	ConnectionWait prometheus.Histogram
	// TargetRequests counts requests sent to the target by sender, "local" or "remote".
	TargetRequests *prometheus.CounterVec
	// InvalidStates counts responses of targets whose stated rate cannot be read.
	InvalidStates prometheus.Counter
	// Connections counts new connections to the target.
	Connections prometheus.Counter
	// LateResponses counts responses of the target to earlier requests, which are discarded.
	LateResponses prometheus.Counter
	// StoreCalls counts store calls by call and result.
	StoreCalls *prometheus.CounterVec
	// Crashes counts exits of the target while it ran requests.
	Crashes prometheus.Counter
	// Resumes counts resumptions after a suspension of the machine.
	Resumes prometheus.Counter
	// SilentNodes counts how often another node was found unresponsive.
	SilentNodes prometheus.Counter
	// Omitted counts dropped log lines by kind.
	Omitted *prometheus.CounterVec
}

// Gauges holds callbacks that are evaluated on each scrape.
type Gauges struct {
	Version, Peers, Slots, Running, Waiting, InFlight, HeldBack func() float64
	// BodyBytes is the memory that is reserved for the bodies of requests.
	BodyBytes func() float64
	// RateLimit is the rate that the target states, in requests per second; -1: none. RateLimitAge is
	// the time since its last response in seconds, while it states one; -1: it states none.
	RateLimit, RateLimitAge func() float64
	// Pace is the time that work takes at the target now, relative to the usual; -1: it states none.
	Pace func() float64
	// StartWaiting is the number of requests that wait at the start of their chains, StartOldestWait how
	// long the oldest of them has waited, in seconds.
	StartWaiting, StartOldestWait func() float64
	// StoreAge is the time since the last response of the store in seconds.
	StoreAge func() float64
	// PipelinedRequests is the number of requests read ahead since the start, PipelinesAtLimit that of
	// connections whose further requests wait because of a limit.
	PipelinedRequests, PipelinesAtLimit func() float64
	// EachPrice calls f for each service with a congestion price, with its offered load.
	EachPrice func(f func(service string, price, offered float64))
}

const namespace = "landingmast_sidecar"

var durationBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// New registers the metrics of a node.
func New(gauges Gauges) *Metrics {
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets})
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: counters("requests_total", "Requests that began at this node, by how they ended.", "service", "outcome", "reason"),
		RequestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: durationBuckets,
		}, []string{"service"}),
		Shed:           counters("shed_total", "Requests refused by admission control, by the overloaded service.", "route", "overloaded"),
		ShedOverShare:  counters("shed_over_share_total", "Requests refused by admission control because their tenant asked for more than its fair share of a scarce service.", "route"),
		StartWait:      histogram("start_wait_seconds", "Wait at the start of a call chain for admission by price; requests decided at once are not counted."),
		Returning:      counters("returning_requests_total", "Requests that returned after a refusal while a service that they need has a price, by how they ended.", "route", "outcome"),
		Attempts:       counters("sends_total", "Sendings to targets' nodes, by how they ended.", "service", "outcome", "reason"),
		Retries:        counters("repeats_total", "Requests sent to a second target.", "service"),
		RetriesDenied:  counters("repeats_denied_total", "Repeats that the budget did not allow.", "service"),
		SlotWait:       histogram("slot_wait_seconds", "Wait for a slot of the target."),
		ConnectionWait: histogram("connection_wait_seconds", "Wait of an admitted request for a connection to the target."),
		TargetDuration: histogram("target_seconds", "Time of a request at the target."),
		TargetRequests: counters("target_requests_total", "Requests sent to the target, by where they began.", "sender"),
		InvalidStates:  counter("target_state_invalid_total", "Answers of targets that name a rate limit which cannot be read."),
		Connections:    counter("target_connections_total", "New connections to the target."),
		LateResponses:  counter("target_late_responses_total", "Answers of the target that belong to an earlier request on the connection; they are discarded."),
		StoreCalls:     counters("store_calls_total", "Calls of the store.", "call", "result"),
		Crashes:        counter("target_crashes_total", "Ends of the target while it ran requests."),
		Resumes:        counter("wakes_total", "Suspensions of the machine that the node woke from."),
		SilentNodes:    counter("silent_nodes_total", "Times that another node was taken for dead."),
		Omitted:        counters("log_lines_omitted_total", "Log lines that were left out.", "kind"),
	}
	m.registry.MustRegister(m.Requests, m.RequestDuration, m.Shed, m.ShedOverShare, m.StartWait, m.Returning, m.Attempts, m.Retries, m.RetriesDenied, m.SlotWait, m.ConnectionWait, m.TargetDuration, m.TargetRequests, m.InvalidStates, m.Connections, m.LateResponses, m.StoreCalls, m.Crashes, m.Resumes, m.SilentNodes, m.Omitted)
	for _, gauge := range []struct {
		name, help string
		read       func() float64
	}{
		{"configuration_version", "Configuration in force; 0: none.", gauges.Version},
		{"held_back", "Requests that are not sent since targets ended with them.", gauges.HeldBack},
		{"peers", "Other nodes that are known.", gauges.Peers},
		{"slots", "Usable slots of the target; 0: no target.", gauges.Slots},
		{"target_rate_limit", "Requests a second that the target states as its limit; -1: none.", gauges.RateLimit},
		{"target_rate_limit_age_seconds", "Time since the target's last answer while it states a limit; -1: none.", gauges.RateLimitAge},
		{"target_pace", "Time that work takes at the target now, as it states, relative to the usual; -1: not stated of late.", gauges.Pace},
		{"running", "Requests at the target.", gauges.Running},
		{"waiting", "Requests that wait for a slot.", gauges.Waiting},
		{"start_waiting", "Requests that wait at the start of their call chains for admission by price.", gauges.StartWaiting},
		{"start_oldest_wait_seconds", "Wait of the oldest of these requests; 0: none waits.", gauges.StartOldestWait},
		{"body_bytes", "Memory reserved for the bodies of requests in progress.", gauges.BodyBytes},
		{"in_flight", "Requests that the node is serving.", gauges.InFlight},
		{"store_age_seconds", "Time since the store last answered.", gauges.StoreAge},
		{"pipelines_at_limit", "Connections of clients whose requests ahead, or their answers, wait because of a limit.", gauges.PipelinesAtLimit},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: gauge.name, Help: gauge.help}, gauge.read))
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "pipelined_requests_total", Help: "Requests that were handled before an earlier one on their connection was answered.",
	}, gauges.PipelinedRequests))
	m.registry.MustRegister(&priceCollector{each: gauges.EachPrice})
	return m
}

// priceCollector collects the prices of services. A service without a price has no metrics.
type priceCollector struct {
	each func(f func(service string, price, offered float64))
}

var (
	priceDesc   = prometheus.NewDesc(namespace+"_service_price", "Congestion price of a service at this node.", []string{"service"}, nil)
	offeredDesc = prometheus.NewDesc(namespace+"_service_offered_load", "Offered load of a service with a price, as this node sees it: above 1 it is asked for more than it can do.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (*priceCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- priceDesc
	descs <- offeredDesc
}

// Collect implements prometheus.Collector. It sends after each has returned, since the channel may
// block and each holds the lock of the admission control.
func (c *priceCollector) Collect(metrics chan<- prometheus.Metric) {
	var collected []prometheus.Metric
	c.each(func(service string, price, offered float64) {
		collected = append(collected,
			prometheus.MustNewConstMetric(priceDesc, prometheus.GaugeValue, price, service),
			prometheus.MustNewConstMetric(offeredDesc, prometheus.GaugeValue, offered, service))
	})
	for _, metric := range collected {
		metrics <- metric
	}
}

// Handler serves the metrics in the Prometheus exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
