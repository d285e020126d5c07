package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// World is a small deployment: the store, targets with a node each, and what they record.
type World struct {
	Root, Folder string
	StoreAddress string
	Store        *Store
	Record       *Record
	Nodes        []*Node
	Targets      []*Target
	version      int
}

// NewWorld starts the store.
func NewWorld(root, recordPath string) (*World, error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "landingmast-review-")
	if err != nil {
		return nil, err
	}
	w := &World{Root: root, Folder: folder, Record: record, Store: NewStore()}
	w.StoreAddress = freeAddress()
	listener, err := net.Listen("tcp", w.StoreAddress)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w.Store) }()
	return w, nil
}

// AddMachine adds a machine with a target and its node; neither is started.
func (w *World) AddMachine(name, zone, service string, slots int) (*Node, *Target) {
	n := &Node{
		Name: name, Zone: zone, Service: service, App: freeAddress(), Outbound: freeAddress(), Inbound: freeAddress(),
		Ready: freeAddress(), Control: freeAddress(), Metrics: freeAddress(), world: w, firstStart: true,
	}
	t := &Target{
		ID: "i-" + name, Service: service, Zone: zone, Address: n.App, Control: n.Control, Outbound: n.Outbound, Slots: slots, record: w.Record,
	}
	w.Nodes, w.Targets = append(w.Nodes, n), append(w.Targets, t)
	return n, t
}

// Route is a route of the configuration; all have one host.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout, Objective          time.Duration
	Priority, MaxAttempts       int
}

// Host is the host of all routes.
const Host = "review.example"

// Configure writes the next version of the configuration, as the operator does.
func (w *World) Configure(services []string, routes []Route) {
	w.version += 3
	milliseconds := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }
	serviceRows, routeRows := []map[string]any{}, []map[string]any{}
	for _, service := range services {
		serviceRows = append(serviceRows, map[string]any{"name": service, "health_path": "/health", "max_connections": 2368})
	}
	for _, route := range routes {
		routeRows = append(routeRows, map[string]any{
			"name": route.Name, "path_prefix": route.Prefix, "kind": route.Kind, "service": route.Service, "timeout": milliseconds(route.Timeout),
			"slo": milliseconds(route.Objective), "priority": route.Priority, "max_attempts": route.MaxAttempts,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(w.version), "services": serviceRows,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "5000ms", "idle_timeout": "15s"},
		"virtual_hosts": []map[string]any{{"host": Host, "path_routes": routeRows}},
	})
	if err != nil {
		panic(err)
	}
	w.Store.Write("op/config", data)
	w.Record.Add("operator: configuration r%d acknowledged", w.version)
}

// Start starts all targets and nodes and waits until the nodes are ready and targets were heard.
func (w *World) Start() error {
	for _, target := range w.Targets {
		if err := target.Start(); err != nil {
			return err
		}
	}
	for _, node := range w.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for index, node := range w.Nodes {
			ready = ready && node.IsReady() && w.Targets[index].Acknowledged()
		}
		if ready {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the nodes did not become ready")
}

// Close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *World) Close() {
	for _, node := range w.Nodes {
		node.Kill()
	}
	for _, target := range w.Targets {
		target.Stop()
	}
	w.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Folder)
	} else {
		fmt.Println("logs are kept in", w.Folder)
	}
}
