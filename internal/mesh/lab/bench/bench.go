// Package bench measures the overhead of landingmast: the latency that entry and
// ingress add to a call, throughput per core, and memory.
package bench

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
)

// Options configures a benchmark.
type Options struct {
	Cluster     cluster.Options
	Rate        float64 // calls per second of each kind while latency is measured
	Duration    time.Duration
	Connections int
}

// Latency is a distribution of response times.
type Latency struct {
	Calls         int
	P50, P99, Max time.Duration
}

// Usage is the resource usage of one process.
type Usage struct {
	Name         string
	ResidentIdle int64 // bytes
	ResidentLoad int64 // bytes
	CPUTime      time.Duration
}

// Result holds the measurements of a benchmark.
type Result struct {
	Direct            Latency
	Proxied           Latency // through entry and ingress
	AtMostOnce        Latency // as Proxied, including the claim of the key
	Throughput        float64 // calls per second at saturation
	CallsPerCPUSecond float64 // CPU time of all landingmastd processes
	Usages            []Usage
}

// Run starts the benchmark deployment and measures it.
func Run(ctx context.Context, options Options) (*Result, error) {
	options.Cluster.Deployment = deployment.Bench()
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	time.Sleep(2 * time.Second) // let the voter set form and the nodes become idle
	result := &Result{}
	for _, process := range running.Nodes {
		result.Usages = append(result.Usages, Usage{Name: process.Name, ResidentIdle: cluster.ResidentMemory(running.Pid(process))})
	}
	result.measureLatency(ctx, running, options)
	result.measureThroughput(ctx, running, options)
	return result, nil
}

// Kinds of measured calls.
const (
	direct = iota
	proxied
	atMostOnce
	callKinds
)

// measureLatency interleaves the kinds of calls in one open loop, so that other
// load on the machine affects all of them equally.
func (r *Result) measureLatency(ctx context.Context, running *cluster.Cluster, options Options) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Connections, MaxConnsPerHost: options.Connections, DisableCompression: true}}
	var mutex sync.Mutex
	histograms := make([]*hdrhistogram.Histogram, callKinds)
	for kind := range histograms {
		histograms[kind] = hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	}
	target := running.Nodes[len(running.Nodes)-1].Target
	ping := &deployment.Traffic{Class: "ping", Service: "echo", Method: http.MethodGet, Path: "/ping"}
	keyed := &deployment.Traffic{Class: "once", Service: "echo", Method: http.MethodPost, Path: "/once", Keyed: true}
	var group sync.WaitGroup
	start := time.Now()
	warmUpEnd := start.Add(time.Second)
	interval := time.Duration(float64(time.Second) / (options.Rate * callKinds))
	for number := 0; time.Since(start) < options.Duration+time.Second && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(start.Add(time.Duration(number) * interval)))
		kind := number % callKinds
		address, traffic, key := target, ping, ""
		switch kind {
		case proxied:
			address = running.Entries()[number%deployment.EntryCount]
		case atMostOnce:
			address, traffic, key = running.Entries()[number%deployment.EntryCount], keyed, "k"+strconv.Itoa(number)
		}
		group.Go(func() {
			answer := load.Send(ctx, client, address, traffic, "user", key, "t-"+strconv.Itoa(number)+"-0")
			if !answer.Complete || answer.Sent.Before(warmUpEnd) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			_ = histograms[kind].RecordValue(int64(answer.Latency / time.Microsecond))
		})
	}
	group.Wait()
	r.Direct, r.Proxied, r.AtMostOnce = newLatency(histograms[direct]), newLatency(histograms[proxied]), newLatency(histograms[atMostOnce])
}

func newLatency(histogram *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Latency{Calls: int(histogram.TotalCount()), P50: at(50), P99: at(99), Max: at(100)}
}

const throughputDuration = 4 * time.Second

// measureThroughput saturates the mesh with a closed loop on every connection and
// measures throughput and resource usage.
func (r *Result) measureThroughput(ctx context.Context, running *cluster.Cluster, options Options) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Connections, DisableCompression: true}}
	ping := &deployment.Traffic{Class: "ping", Service: "echo", Method: http.MethodGet, Path: "/ping"}
	before := make([]time.Duration, len(running.Nodes))
	for index, process := range running.Nodes {
		before[index] = cluster.CPUTime(running.Pid(process))
	}
	counts := make([]int, options.Connections)
	var group sync.WaitGroup
	start := time.Now()
	for worker := range options.Connections {
		group.Go(func() {
			entry := running.Entries()[worker%deployment.EntryCount]
			for time.Since(start) < throughputDuration && ctx.Err() == nil {
				if load.Send(ctx, client, entry, ping, "u"+strconv.Itoa(worker), "", "t-1-0").Complete {
					counts[worker]++
				}
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	calls := 0
	for _, count := range counts {
		calls += count
	}
	var used time.Duration
	for index, process := range running.Nodes {
		r.Usages[index].CPUTime = cluster.CPUTime(running.Pid(process)) - before[index]
		r.Usages[index].ResidentLoad = cluster.ResidentMemory(running.Pid(process))
		used += r.Usages[index].CPUTime
	}
	r.Throughput = float64(calls) / elapsed.Seconds()
	r.CallsPerCPUSecond = float64(calls) / used.Seconds()
}
