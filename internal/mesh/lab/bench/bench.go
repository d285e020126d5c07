// Package bench measures what landingmast itself costs: the time that entry and
// ingress add to a call, calls a second for a core, and memory.
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

// Options set a bench.
type Options struct {
	Cluster     cluster.Options
	Rate        float64 // calls a second of each kind while latency is measured
	Duration    time.Duration
	Connections int
}

// Latency is a distribution of answer times.
type Latency struct {
	Calls         int
	P50, P99, Max time.Duration
}

// Usage is what one process used.
type Usage struct {
	Name          string
	ResidentIdle  int64 // bytes
	ResidentLoad  int64 // bytes
	ProcessorTime time.Duration
}

// Result is what a bench came to.
type Result struct {
	Direct     Latency
	Through    Latency
	Once       Latency // at-most-once requests: the claim included
	Throughput float64 // calls a second, saturated
	PerCore    float64 // calls for a second of processor time of all landingmastd
	Usages     []Usage
}

// Run runs the bench.
func Run(ctx context.Context, options Options) (*Result, error) {
	options.Cluster.Deployment = deployment.Bench()
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	time.Sleep(2 * time.Second) // voter set, idle state
	result := &Result{}
	for _, process := range running.Nodes {
		result.Usages = append(result.Usages, Usage{Name: process.Name, ResidentIdle: cluster.Resident(running.Pid(process))})
	}
	result.latencies(ctx, running, options)
	result.saturate(ctx, running, options)
	return result, nil
}

// ways of a measured call.
const (
	direct = iota
	through
	once
	ways
)

// latencies sends the three kinds of call in turn, as one open loop, so that
// whatever else the machine does hits all alike.
func (r *Result) latencies(ctx context.Context, running *cluster.Cluster, options Options) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Connections, MaxConnsPerHost: options.Connections, DisableCompression: true}}
	var mutex sync.Mutex
	histograms := make([]*hdrhistogram.Histogram, ways)
	for way := range histograms {
		histograms[way] = hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	}
	target := running.Nodes[len(running.Nodes)-1].Target
	ping := &deployment.Traffic{Class: "ping", Service: "echo", Method: http.MethodGet, Path: "/ping"}
	keyed := &deployment.Traffic{Class: "once", Service: "echo", Method: http.MethodPost, Path: "/once", Keyed: true}
	var group sync.WaitGroup
	began := time.Now()
	warm := began.Add(time.Second)
	interval := time.Duration(float64(time.Second) / (options.Rate * ways))
	for number := 0; time.Since(began) < options.Duration+time.Second && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(began.Add(time.Duration(number) * interval)))
		way := number % ways
		address, traffic, key := target, ping, ""
		switch way {
		case through:
			address = running.Entries()[number%deployment.Entries]
		case once:
			address, traffic, key = running.Entries()[number%deployment.Entries], keyed, "k"+strconv.Itoa(number)
		}
		group.Go(func() {
			answer := load.Send(ctx, client, address, traffic, "user", key, "t-"+strconv.Itoa(number)+"-0")
			if !answer.Whole || answer.Sent.Before(warm) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			_ = histograms[way].RecordValue(int64(answer.Took / time.Microsecond))
		})
	}
	group.Wait()
	r.Direct, r.Through, r.Once = latency(histograms[direct]), latency(histograms[through]), latency(histograms[once])
}

func latency(histogram *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Latency{Calls: int(histogram.TotalCount()), P50: at(50), P99: at(99), Max: at(100)}
}

const saturateFor = 4 * time.Second

// saturate keeps many connections busy and counts calls and processor time.
func (r *Result) saturate(ctx context.Context, running *cluster.Cluster, options Options) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Connections, DisableCompression: true}}
	ping := &deployment.Traffic{Class: "ping", Service: "echo", Method: http.MethodGet, Path: "/ping"}
	before := make([]time.Duration, len(running.Nodes))
	for index, process := range running.Nodes {
		before[index] = cluster.ProcessorTime(running.Pid(process))
	}
	counts := make([]int, options.Connections)
	var group sync.WaitGroup
	began := time.Now()
	for worker := range options.Connections {
		group.Go(func() {
			entry := running.Entries()[worker%deployment.Entries]
			for time.Since(began) < saturateFor && ctx.Err() == nil {
				if load.Send(ctx, client, entry, ping, "u"+strconv.Itoa(worker), "", "t-1-0").Whole {
					counts[worker]++
				}
			}
		})
	}
	group.Wait()
	took := time.Since(began)
	calls := 0
	for _, count := range counts {
		calls += count
	}
	var used time.Duration
	for index, process := range running.Nodes {
		r.Usages[index].ProcessorTime = cluster.ProcessorTime(running.Pid(process)) - before[index]
		r.Usages[index].ResidentLoad = cluster.Resident(running.Pid(process))
		used += r.Usages[index].ProcessorTime
	}
	r.Throughput = float64(calls) / took.Seconds()
	r.PerCore = float64(calls) / used.Seconds()
}
