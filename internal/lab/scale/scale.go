// Package scale runs many hollow nodes, which share this process, beside the real
// processes of a deployment. A hollow node is the daemon's own code without
// traffic: it has its listeners, its keys, its bundle and its part in the
// dissemination.
package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/adminapi"
	"github.com/landingmast/landingmast/internal/config"
	"github.com/landingmast/landingmast/internal/core/bundle"
	"github.com/landingmast/landingmast/internal/lab/cluster"
	"github.com/landingmast/landingmast/internal/lab/load"
	"github.com/landingmast/landingmast/internal/node"
)

// Options set a scale run.
type Options struct {
	Cluster   cluster.Options
	Hollow    int // hollow nodes
	Changes   int // bundles rolled
	Pause     time.Duration
	FirstPort int // of three ports for each hollow node
}

// Result is what a scale run came to.
type Result struct {
	Nodes        int
	Everywhere   []time.Duration    // for each change, sorted
	ControlBytes []float64          // a second, of each real node, both ways, without headers
	Resident     []int64            // of each real node, bytes
	Processor    []float64          // share of a core of each real node
	Messages     map[string]float64 // control bytes a second by message, mean of the real nodes
}

// Run runs the deployment's processes and the hollow nodes, rolls changes and
// measures the real nodes.
func Run(ctx context.Context, options Options) (*Result, error) {
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	hollow, err := start(ctx, running, options)
	if err != nil {
		return nil, err
	}
	defer hollow.stop()
	result := &Result{Nodes: len(running.Nodes) + options.Hollow, Messages: map[string]float64{}}
	if _, err := hollow.change(ctx, running, 2); err != nil { // the bundle that names them
		return nil, err
	}
	time.Sleep(5 * time.Second)
	before := usages(running)
	began := time.Now()
	for number := range options.Changes {
		took, err := hollow.change(ctx, running, int64(number+3))
		if err != nil {
			return nil, err
		}
		result.Everywhere = append(result.Everywhere, took)
		time.Sleep(options.Pause)
	}
	span := time.Since(began).Seconds()
	for index, after := range usages(running) {
		result.ControlBytes = append(result.ControlBytes, (after.control-before[index].control)/span)
		result.Processor = append(result.Processor, (after.processor-before[index].processor).Seconds()/span)
		result.Resident = append(result.Resident, after.resident)
		for name, bytes := range after.messages {
			result.Messages[name] += (bytes - before[index].messages[name]) / span / float64(len(running.Nodes))
		}
	}
	sort.Slice(result.Everywhere, func(i, j int) bool { return result.Everywhere[i] < result.Everywhere[j] })
	return result, nil
}

// hollowNodes are the nodes in this process.
type hollowNodes struct {
	described []bundle.Node
	admins    []string
	cancel    context.CancelFunc
	group     sync.WaitGroup
}

func start(ctx context.Context, running *cluster.Cluster, options Options) (*hollowNodes, error) {
	ctx, cancel := context.WithCancel(ctx)
	hollow := &hollowNodes{cancel: cancel}
	ports := load.NewPorts(options.FirstPort)
	template, err := config.Load(filepath.Join(options.Cluster.Directory, "entry-1.yaml"))
	if err != nil {
		cancel()
		return nil, err
	}
	for number := range options.Hollow {
		settings := *template
		settings.Node = "hollow-" + strconv.Itoa(number)
		settings.Listen = config.Listen{Callers: ports.Next(), Peers: ports.Next(), Admin: ports.Next()}
		settings.Log.Level = "error"
		made, err := node.New(&settings, io.Discard)
		if err != nil {
			hollow.stop()
			return nil, err
		}
		hollow.group.Go(func() { _ = made.Run(ctx, ctx) })
		hollow.admins = append(hollow.admins, settings.Listen.Admin)
		zone := running.Deployment.Zones[number%len(running.Deployment.Zones)]
		hollow.described = append(hollow.described, bundle.Node{Name: settings.Node, Address: settings.Listen.Peers, Zone: zone, State: bundle.Active})
	}
	return hollow, nil
}

func (h *hollowNodes) stop() {
	h.cancel()
	h.group.Wait()
}

const changeLimit = 30 * time.Second

// change rolls a version and gives the time until it is in force everywhere.
func (h *hollowNodes) change(ctx context.Context, running *cluster.Cluster, version int64) (time.Duration, error) {
	next := running.Bundle(version)
	next.Entries = append(next.Entries, h.described...)
	next.Classes[0].Retries = int(version % 4)
	began := time.Now()
	if _, err := running.Roll(ctx, next); err != nil {
		return 0, err
	}
	admins := append([]string(nil), h.admins...)
	for _, process := range running.Nodes {
		admins = append(admins, process.Admin)
	}
	for time.Since(began) < changeLimit {
		admins = behind(ctx, admins, version)
		if len(admins) == 0 {
			return time.Since(began), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("version %d is not in force on %d nodes after %s", version, len(admins), changeLimit)
}

// behind gives the nodes that do not have the version yet. Only those are asked
// again, so that the asking costs little.
func behind(ctx context.Context, admins []string, version int64) []string {
	var left []string
	for _, admin := range admins {
		status, err := adminapi.New(admin).Status(ctx)
		if err != nil || status.BundleVersion < version {
			left = append(left, admin)
		}
	}
	return left
}

type usage struct {
	control   float64
	processor time.Duration
	resident  int64
	messages  map[string]float64
}

func usages(running *cluster.Cluster) []usage {
	list := make([]usage, 0, len(running.Nodes))
	for _, process := range running.Nodes {
		one := usage{messages: map[string]float64{}, processor: cluster.ProcessorTime(running.Pid(process)), resident: cluster.Resident(running.Pid(process))}
		response, err := http.Get("http://" + process.Admin + "/metrics")
		if err == nil {
			for _, sample := range adminapi.ParseMetrics(response.Body) {
				if strings.HasPrefix(sample.Name, "landingmast_control_bytes") {
					one.control += sample.Value
					one.messages[sample.Labels["message"]] += sample.Value
				}
			}
			_ = response.Body.Close()
		}
		list = append(list, one)
	}
	return list
}
