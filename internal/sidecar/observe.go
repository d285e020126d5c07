package sidecar

import (
	"bytes"
	"log"
	"net/http"

	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
)

// gauges are the figures that are read when the metrics are.
func (n *Node) gauges() metrics.Gauges {
	return metrics.Gauges{
		Version:  func() float64 { return float64(n.configuration.Version()) },
		Peers:    func() float64 { return float64(n.membership.Others()) },
		Slots:    func() float64 { return float64(n.gateLoad().Slots) },
		Running:  func() float64 { return float64(n.gateLoad().Running) },
		Waiting:  func() float64 { return float64(n.gateLoad().Waiting) },
		HeldBack: func() float64 { return float64(n.heldBack.Count()) },
		InFlight: func() float64 { return float64(n.inFlight.Load()) },
		StoreAge: func() float64 { return n.storeHealth.Age().Seconds() },
	}
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	return mux
}

// serverLog takes what net/http says: a panic is a fault of the program, the
// rest is about single connections.
func (n *Node) serverLog() *log.Logger { return log.New(panicWriter{n}, "", 0) }

type panicWriter struct{ node *Node }

// Write implements io.Writer.
func (p panicWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		p.node.events.Add(eventlog.Node{Change: "panic", Incarnation: p.node.incarnation, Error: string(line)}, eventlog.State)
	}
	return len(line), nil
}

// targetChanged logs what has become of the target and tells the other nodes.
func (n *Node) targetChanged() {
	report, _ := n.target.Report()
	change := "ready"
	switch {
	case report.Instance == "":
		change = "left"
	case report.Draining:
		change = "draining"
	}
	n.events.Add(eventlog.Target{Instance: report.Instance, Service: report.Service, Change: change, Slots: report.Slots, Sequence: report.Sequence}, eventlog.State)
	n.membership.Changed()
}

// silent notes that another node gives no sign of life.
func (n *Node) silent(node string) {
	n.metrics.Silent.Inc()
	n.services.Suspect(node)
	n.events.Add(eventlog.Member{Member: node, Change: "silent"}, eventlog.State)
}

// heardAgain notes that a silent node answers again.
func (n *Node) heardAgain(node string) {
	n.services.Trust(node)
	n.events.Add(eventlog.Member{Member: node, Change: "heard again"}, eventlog.State)
}

// gateLoad is the load of the target beside the node.
func (n *Node) gateLoad() slots.Load {
	if gate := n.target.Current(); gate != nil {
		load, _ := gate.Load()
		return load
	}
	return slots.Load{}
}
