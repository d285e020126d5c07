package sidecar

import (
	"bytes"
	"log"
	"net/http"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/core/roster"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/target"
)

// gauges returns the gauge callbacks of the metrics.
func (n *Node) gauges() metrics.Gauges {
	return metrics.Gauges{
		Version:      func() float64 { return float64(n.configuration.Version()) },
		Peers:        func() float64 { return float64(n.membership.PeerCount()) },
		Slots:        func() float64 { return float64(n.gateLoad().Slots) },
		Running:      func() float64 { return float64(n.gateLoad().Running) },
		Waiting:      func() float64 { return float64(n.gateLoad().Waiting) },
		RateLimit:    func() float64 { rate, _ := n.targetRateLimit(); return rate },
		RateLimitAge: func() float64 { _, age := n.targetRateLimit(); return age },
		Pace:         n.targetPace,
		HeldBack:     func() float64 { return float64(n.heldBack.Count()) },
		BodyBytes:    func() float64 { return float64(n.BodyBytes()) },
		InFlight:     func() float64 { return float64(n.inFlight.Load()) },
		StoreAge:     func() float64 { return n.storeHealth.Age().Seconds() },
		PipelinedRequests: func() float64 {
			if n.pipelines == nil {
				return 0
			}
			return float64(n.pipelines.Total())
		},
		PipelinesAtLimit: func() float64 {
			if n.pipelines == nil {
				return 0
			}
			return float64(n.pipelines.Limited())
		},
		StartWaiting:    func() float64 { count, _ := n.admission.Waiting(); return float64(count) },
		StartOldestWait: func() float64 { _, oldest := n.admission.Waiting(); return oldest.Seconds() },
		EachPrice:       func(f func(service string, price, offered float64)) { n.admission.EachPrice(f) },
	}
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	return mux
}

// serverLog returns the error log of the HTTP servers. It records panics and discards errors of
// single connections.
func (n *Node) serverLog() *log.Logger { return log.New(panicWriter{n}, "", 0) }

type panicWriter struct{ node *Node }

// Write implements io.Writer.
func (p panicWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		p.node.events.Add(eventlog.Node{Change: "panic", Incarnation: p.node.incarnation, Error: string(line)}, eventlog.State)
	}
	return len(line), nil
}

// targetChanged logs a change of the target and propagates it to the other nodes.
func (n *Node) targetChanged(change target.Change) {
	report, _ := n.target.Report()
	event := eventlog.Target{Instance: report.Instance, Service: report.Service, Change: "ready", Slots: report.Slots, Sequence: report.Sequence, Source: string(change.Source)}
	if change.Departed != "" && change.Departed != report.Instance {
		n.events.Add(eventlog.Target{Instance: change.Departed, Change: "left", Source: event.Source}, eventlog.State)
	}
	if report.Draining {
		event.Change = "draining"
	}
	if report.Instance != "" {
		n.events.Add(event, eventlog.State)
	}
	n.membership.AnnounceLocalRecord()
}

// heartbeatIgnored logs a heartbeat that has no effect.
func (n *Node) heartbeatIgnored(report roster.Report, reason target.IgnoredReason) {
	change := "heartbeat ignored"
	if report.Draining {
		change = "draining heartbeat ignored"
	}
	n.events.Add(eventlog.Target{Instance: report.Instance, Service: report.Service, Change: change, Slots: report.Slots, Sequence: report.Sequence, Source: string(reason)}, eventlog.State)
}

// peerSilent records that another node is unresponsive.
func (n *Node) peerSilent(node string) {
	n.metrics.SilentNodes.Inc()
	n.services.Suspect(node)
	n.events.Add(eventlog.Member{Member: node, Change: "silent"}, eventlog.State)
}

// peerRecovered records that an unresponsive node responds again.
func (n *Node) peerRecovered(node string) {
	n.services.ClearSuspicion(node)
	n.events.Add(eventlog.Member{Member: node, Change: "heard again"}, eventlog.State)
}

// noRateLimit is the value of the metrics of the rate limit if the target states none.
const noRateLimit = -1

// targetRateLimit returns the rate that the target states, in requests per second, and the time since
// its last response in seconds.
func (n *Node) targetRateLimit() (rate, age float64) {
	gate := n.target.Current()
	if gate == nil {
		return noRateLimit, noRateLimit
	}
	rate, since := gate.RateLimit()
	if rate == ratelimit.Unlimited {
		return noRateLimit, noRateLimit
	}
	return rate, since.Seconds()
}

// noPace is the value of the metric of the pace if the target states none.
const noPace = -1

// targetPace returns the time that work takes at the target now, relative to the usual.
func (n *Node) targetPace() float64 {
	if factor := n.gateLoad().Pace; factor > 0 {
		return factor
	}
	return noPace
}

// gateLoad returns the load of the local target.
func (n *Node) gateLoad() slots.Load {
	if gate := n.target.Current(); gate != nil {
		load, _ := gate.Load()
		return load
	}
	return slots.Load{}
}
