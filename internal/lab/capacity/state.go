package capacity

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/control"
	"github.com/landingmast/landingmast/internal/core/bundle"
	"github.com/landingmast/landingmast/internal/core/claim"
	"github.com/landingmast/landingmast/internal/core/routing"
	"github.com/landingmast/landingmast/internal/explain"
	"github.com/landingmast/landingmast/internal/telemetry"
	"github.com/landingmast/landingmast/internal/wire"
)

// Claims measures the memory of voters and executors and the carrying over of
// claims to a new epoch.
func Claims(sizes []int) ([]*Series, error) {
	voter := &Series{Name: "memory of a voter", Unit: "bytes", Per: "key"}
	table := &Series{Name: "memory of an executor, answers of 512 bytes kept", Unit: "bytes", Per: "key"}
	carry := &Series{Name: "claims carried to one voter of a new epoch", Unit: "bytes", Per: "key"}
	moved := &Series{Name: "processor time to seal, merge three lists and install", Unit: "ms", Per: "key"}
	for _, size := range sizes {
		var filled *claim.Voter
		voter.add(size, held(func() any {
			filled = fillVoter(size)
			return filled
		}))
		table.add(size, held(func() any { return fillTable(size) }))
		entries, _, _ := filled.Seal(1)
		encoded, err := wire.InstallCodec.Encode(&wire.InstallRequest{Service: "service-1", Epoch: 2, Voter: "1a2b3c4d5e6f7", Entries: entries})
		if err != nil {
			return nil, err
		}
		carry.add(size, float64(len(encoded)))
		moved.add(size, repeat(func() {
			sealed, _, _ := filled.Seal(1)
			claim.NewVoter(size).Install(2, claim.Merge(sealed, sealed, sealed))
		}))
	}
	return []*Series{voter, table, carry, moved}, nil
}

func key(number int) string { return "order-2026-11-30-" + strconv.Itoa(number) }

func fillVoter(keys int) *claim.Voter {
	voter := claim.NewVoter(keys)
	voter.Install(1, nil)
	self := claim.Executor{Node: "service-1-3", Incarnation: "1a2b3c4d5e6f7"}
	for number := range keys {
		voter.Handle(claim.NewProposal(key(number), 1, 5, self, true, uint64(number)).Request())
	}
	return voter
}

func fillTable(keys int) *claim.Table {
	table := claim.NewTable(keys, 8<<20, 64<<10)
	for number := range keys {
		name := key(number)
		table.Begin(name)
		table.Grant(name)
		table.Complete(name, &claim.Answer{Status: 200, Headers: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 512)})
	}
	return table
}

// Records measures the memory of the decision records.
func Records(sizes []int) *Series {
	series := &Series{Name: "memory of decision records, four decisions with six numbers each", Unit: "bytes", Per: "request"}
	for _, size := range sizes {
		series.add(size, held(func() any {
			recorder := explain.NewRecorder(size)
			for number := range size {
				for range 4 {
					recorder.Add("entry-1-"+strconv.Itoa(number), explain.Decision{
						CallID: strconv.Itoa(number), At: time.Now(), Action: explain.Admit, Reason: "slot_free", Service: "service-1", Class: "class",
						Level: "high", Peer: "service-1-3", Numbers: []explain.Number{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}, {Name: "f"}},
					})
				}
			}
			return recorder
		}))
	}
	return series
}

// Routes measures the memory of routes to called services, of ten targets each.
func Routes(sizes []int) *Series {
	series := &Series{Name: "memory of routes", Unit: "bytes", Per: "called service of 10 targets"}
	for _, size := range sizes {
		mesh := Mesh(size*targetsPerService, 1)
		series.add(size, held(func() any {
			var routes []*routing.Route
			for _, service := range mesh.Services {
				balancer := routing.New(routing.DefaultConfig(), "self", "zone-1", nil)
				balancer.Update(0, routeTargets(service))
				routes = append(routes, routing.NewRoute(balancer, false))
			}
			return routes
		}))
	}
	return series
}

func routeTargets(service bundle.Service) []routing.Target {
	var targets []routing.Target
	for _, node := range service.Targets {
		targets = append(targets, routing.Target{Node: node.Name, Address: node.Address, Zone: node.Zone})
	}
	return targets
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(piece []byte) (int, error) {
	count, err := c.Conn.Read(piece)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c countingConn) Write(piece []byte) (int, error) {
	count, err := c.Conn.Write(piece)
	c.bytes.Add(int64(count))
	return count, err
}

// Wire is what control messages cost on a real connection with mutual TLS.
type Wire struct {
	Overhead
	TellTime time.Duration // processor and waiting time of one, both sides in one process
}

// tellHandler answers version messages only.
type tellHandler struct{ control.Handler }

// Tell implements control.Handler.
func (tellHandler) Tell(message *wire.Tell) (*wire.Tell, error) { return message, nil }

const measuredTells = 2000

// MeasureWire sends version messages over a real connection.
func MeasureWire(server, client *tls.Config) (Wire, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return Wire{}, err
	}
	metrics := telemetry.NewMetrics()
	serving := &http.Server{Handler: control.NewServer(tellHandler{}, metrics)}
	go func() { _ = serving.Serve(listener) }()
	defer serving.Close()
	var bytes atomic.Int64
	transport := &http.Transport{DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(countingConn{raw, &bytes}, client)
		return secured, secured.HandshakeContext(ctx)
	}}
	defer transport.CloseIdleConnections()
	peers := control.NewClient(transport, metrics)
	address := listener.Addr().String()
	message := &wire.Tell{From: "service-123-4", Incarnation: "1a2b3c4d5e6f7", Topic: wire.TopicBundle, Version: 19000}
	if _, err := peers.Tell(context.Background(), address, message); err != nil {
		return Wire{}, fmt.Errorf("first message: %w", err)
	}
	first := bytes.Load()
	began := time.Now()
	for range measuredTells {
		if _, err := peers.Tell(context.Background(), address, message); err != nil {
			return Wire{}, err
		}
	}
	took := time.Since(began) / measuredTells
	each := float64(bytes.Load()-first) / measuredTells
	return Wire{Overhead: Overhead{Tell: each, Handshake: float64(first) - each}, TellTime: took}, nil
}
