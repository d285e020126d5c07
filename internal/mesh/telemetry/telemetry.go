// Package telemetry defines the metrics and the logger of a node. Per-call events are
// counted; only state changes are logged.
package telemetry

import (
	"io"

	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Metrics holds the metrics of one node. Comments list the labels and units.
type Metrics struct {
	Registry         *prometheus.Registry
	Calls            *prometheus.CounterVec   // side, service, class, outcome, reason
	Retries          *prometheus.CounterVec   // service, class
	LostCalls        *prometheus.CounterVec   // service, reason, connection
	Shed             *prometheus.CounterVec   // level, reason
	AddedLatency     *prometheus.HistogramVec // side; time spent in the node, in seconds
	QueueWait        prometheus.Histogram     // in seconds
	Limit            prometheus.Gauge
	Active           prometheus.Gauge
	Queued           prometheus.Gauge
	Cursor           prometheus.Gauge
	BundleVersion    prometheus.Gauge
	BundlesRejected  prometheus.Counter
	Ejections        *prometheus.CounterVec // service
	Claims           *prometheus.CounterVec // result
	VoterEpoch       prometheus.Gauge
	PlatformRequests *prometheus.CounterVec // request, result
	ControlBytes     *prometheus.CounterVec // message, direction
	StrippedHeaders  prometheus.Counter
}

const namespace = "landingmast"

// NewMetrics creates the metrics and registers them in a new registry.
func NewMetrics() *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	buckets := []float64{.00005, .0001, .0002, .0004, .0008, .0012, .002, .004, .008, .016, .032, .064, .128, .256}
	m := &Metrics{
		Registry:  prometheus.NewRegistry(),
		Calls:     counters("calls_total", "Calls by side (entry, egress, ingress) and how they ended.", "side", "service", "class", "outcome", "reason"),
		Retries:   counters("retries_total", "Calls tried again by this hop.", "service", "class"),
		LostCalls: counters("lost_total", "Calls that were handed over and got no answer, by the connection that they went over (new_connection, rested_connection).", "service", "reason", "connection"),
		Shed:      counters("shed_total", "Calls refused as not run, by importance level.", "level", "reason"),
		AddedLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "added_seconds", Help: "Time that the node itself added to a call.", Buckets: buckets,
		}, []string{"side"}),
		QueueWait:        prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "queue_wait_seconds", Help: "Wait for a slot of the target.", Buckets: buckets}),
		Limit:            gauge("limit", "Learned concurrency limit of the target."),
		Active:           gauge("active", "Calls at the target."),
		Queued:           gauge("queued", "Calls waiting for a slot."),
		Cursor:           gauge("cursor", "Highest rank that is admitted."),
		BundleVersion:    gauge("bundle_version", "Bundle in force."),
		BundlesRejected:  counter("bundles_rejected_total", "Releases refused for signature, signer, digest or rules."),
		Ejections:        counters("ejections_total", "Targets taken out of routing after failures.", "service"),
		Claims:           counters("claims_total", "Claims of at-most-once keys by result.", "result"),
		VoterEpoch:       gauge("voter_epoch", "Epoch that this node votes in; 0 when it does not vote."),
		PlatformRequests: counters("platform_requests_total", "Requests to the platform's service.", "request", "result"),
		ControlBytes:     counters("control_bytes_total", "Bytes of control messages, without headers.", "message", "direction"),
		StrippedHeaders:  counter("stripped_headers_total", "Reserved headers that callers had set."),
	}
	m.Registry.MustRegister(m.Calls, m.Retries, m.LostCalls, m.Shed, m.AddedLatency, m.QueueWait, m.Limit, m.Active, m.Queued, m.Cursor, m.BundleVersion,
		m.BundlesRejected, m.Ejections, m.Claims, m.VoterEpoch, m.PlatformRequests, m.ControlBytes, m.StrippedHeaders)
	return m
}

// timestampFormat includes milliseconds, to order a node's stop and the calls lost to it.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns the logger of a node. An unknown level selects info.
func NewLogger(settings config.Log, node string, output io.Writer) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(output)
	if settings.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	}
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	return log.WithField("node", node)
}
